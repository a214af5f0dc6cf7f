/**
 * Flow control that upstreams request in their answers: rate limits, backoff periods and notices of departure. The
 * package keeps this state for each upstream instance, that is, one process start of an upstream. It does no I/O, reads
 * no clock and knows no header names.
 */
package org.cuminshelf.backpressure;
