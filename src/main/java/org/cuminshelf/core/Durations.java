package org.cuminshelf.core;

/** Converts between the milliseconds used in messages and the nanoseconds of a core's clock. */
public final class Durations {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private Durations() {}

    /**
     * Converts milliseconds to nanoseconds.
     *
     * @param millis duration in milliseconds
     * @return duration in nanoseconds
     */
    public static long nanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    /**
     * Converts nanoseconds to whole milliseconds, rounding down.
     *
     * @param nanos duration in nanoseconds
     * @return duration in milliseconds
     */
    public static long millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    /**
     * Returns the time left until a deadline, in whole milliseconds.
     *
     * @param now   current time in nanoseconds
     * @param until deadline in nanoseconds
     * @return milliseconds left; 0 if the deadline has passed
     */
    public static int millisLeft(long now, long until) {
        return Math.clamp(millis(until - now), 0, Integer.MAX_VALUE);
    }
}
