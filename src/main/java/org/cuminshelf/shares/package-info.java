/**
 * Shares of the calls of one service that are sent, by kind and by organisation, and what follows from them while
 * capacity is scarce: which calls are sent although they are costly, and which yield to more urgent ones. The package
 * does no I/O, reads no clock and sends no messages; times are nanoseconds of the monotonic clock.
 */
package org.cuminshelf.shares;
