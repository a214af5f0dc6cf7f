package org.cuminshelf.core;

/** Conversions between the milliseconds of messages and the nanoseconds of a core's clock. */
public final class Durations {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private Durations() {}

    /**
     * Converts milliseconds to nanoseconds.
     *
     * @param millis milliseconds
     * @return nanoseconds
     */
    public static long nanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    /**
     * Converts nanoseconds to whole milliseconds, rounding down.
     *
     * @param nanos nanoseconds
     * @return milliseconds
     */
    public static long millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    /**
     * Milliseconds left until a time, never negative.
     *
     * @param now   the time in nanoseconds
     * @param until the end in nanoseconds
     * @return milliseconds left
     */
    public static int millisLeft(long now, long until) {
        return Math.clamp(millis(until - now), 0, Integer.MAX_VALUE);
    }
}
