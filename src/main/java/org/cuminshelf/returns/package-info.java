/**
 * When callers that were refused should send their requests again. The package does no I/O, reads no clock and sends no
 * messages; times are nanoseconds of the monotonic clock.
 */
package org.cuminshelf.returns;
