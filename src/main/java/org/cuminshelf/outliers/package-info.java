/**
 * Detection of upstreams that answer more requests with errors than their peers do, and the trials that show when such
 * an upstream is sound again. The package does no I/O, reads no clock and makes no decision on a call.
 */
package org.cuminshelf.outliers;
