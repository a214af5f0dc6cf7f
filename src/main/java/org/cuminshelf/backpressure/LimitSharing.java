package org.cuminshelf.backpressure;

import org.cuminshelf.core.Durations;

/** What part of an upstream's limit one entry may use. */
final class LimitSharing {

    /** Calls a second that an entry counts for at the least, so that one that is idle may send something. */
    static final double MIN_CALLS_PER_SECOND = 0.1;
    /**
     * Requests a second that are sent in all at the least: without any request nobody would hear that an upstream takes
     * more again.
     */
    static final double MIN_TOTAL_REQUESTS_PER_SECOND = 0.25;

    /** Unused permits of all entries together, beside those of one second. */
    private static final double MAX_UNUSED_PERMITS = 3;

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private LimitSharing() {}

    /** Nanoseconds for which a permit stands, where all entries together may send so many requests a second. */
    static double permitLifetimeNanos(double totalPerSecond) {
        return (1 + MAX_UNUSED_PERMITS / Math.max(totalPerSecond, MIN_TOTAL_REQUESTS_PER_SECOND)) * NANOS_PER_SECOND;
    }
}
