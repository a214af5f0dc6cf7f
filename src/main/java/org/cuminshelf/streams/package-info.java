/**
 * Records of the software versions that began streams, as entries and control processes keep them in memory. The
 * package does no I/O, reads no clock and makes no decision on a stream.
 */
package org.cuminshelf.streams;
