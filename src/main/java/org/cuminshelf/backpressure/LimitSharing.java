package org.cuminshelf.backpressure;

import org.cuminshelf.core.Durations;

/** Parameters by which entries share the rate limit of an upstream. */
final class LimitSharing {

    /** Calls per second that an entry counts for at least, so that an idle entry has a share too. */
    static final double MIN_CALLS_PER_SECOND = 0.1;
    /**
     * Requests per second that all entries together send at least. Without any request no entry would receive an answer
     * which shows that the upstream accepts more again.
     */
    static final double MIN_TOTAL_REQUESTS_PER_SECOND = 0.25;

    /** Unused permits of all entries together, in addition to those of one second. */
    private static final double MAX_UNUSED_PERMITS = 3;

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private LimitSharing() {}

    /** Nanoseconds for which a permit is valid, given the requests per second that all entries together may send. */
    static double permitLifetimeNanos(double totalPerSecond) {
        return (1 + MAX_UNUSED_PERMITS / Math.max(totalPerSecond, MIN_TOTAL_REQUESTS_PER_SECOND)) * NANOS_PER_SECOND;
    }
}
