package org.cuminshelf.backpressure;

import org.cuminshelf.core.Durations;

/** What part of an upstream's limit one entry may use. */
final class RateShare {

    /** Calls a second that an entry counts for at the least, so that one that is idle may send something. */
    static final double LEAST_DEMAND = 0.1;
    /**
     * Requests a second that are sent in all at the least: without any request nobody would hear that an upstream takes
     * more again.
     */
    static final double LEAST_RATE = 0.25;

    /** Unused permits of all entries together, beside those of one second. */
    private static final double MOST_UNUSED = 3;

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private RateShare() {}

    /** Nanoseconds for which a permit stands, where all entries together may send so many requests a second. */
    static double lapseNanos(double perSecond) {
        return (1 + MOST_UNUSED / Math.max(perSecond, LEAST_RATE)) * NANOS_PER_SECOND;
    }
}
