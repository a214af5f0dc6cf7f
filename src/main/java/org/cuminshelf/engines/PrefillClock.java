package org.cuminshelf.engines;

/**
 * Measures for how long one engine prefilled prompts, as far as the queue of its prompts tells. Between two updates the
 * queue at the earlier one is taken to be processed without a break.
 */
public final class PrefillClock {

    private static final double NANOS_PER_MILLI = 1e6;
    /** Time constant of the recent share: about the time that a report of another entry covers. */
    private static final double RECENT_MILLIS = 200;

    private double totalMillis;
    private double queuedMillis;
    private double recentShare;
    private long updatedAt = Long.MIN_VALUE;

    private PrefillClock() {}

    /**
     * Creates a clock at 0.
     *
     * @return the clock
     */
    public static PrefillClock create() {
        return new PrefillClock();
    }

    /**
     * Records the queue.
     *
     * @param now    the time in nanoseconds
     * @param queued milliseconds for which the prompts in the queue still occupy the engine
     * @return milliseconds of prefill since this clock was created
     */
    public double update(long now, double queued) {
        if (updatedAt != Long.MIN_VALUE && now > updatedAt) {
            double elapsedMillis = (now - updatedAt) / NANOS_PER_MILLI;
            double prefillMillis = Math.min(elapsedMillis, queuedMillis);
            totalMillis += prefillMillis;
            double weight = 1 - Math.exp(-elapsedMillis / RECENT_MILLIS);
            recentShare += weight * (prefillMillis / elapsedMillis - recentShare);
        }
        updatedAt = now;
        queuedMillis = queued;
        return totalMillis;
    }

    /**
     * Returns the fraction of the last tenths of a second during which prompts were prefilled.
     *
     * @return a fraction from 0 to 1
     */
    public double recentShare() {
        return recentShare;
    }
}
