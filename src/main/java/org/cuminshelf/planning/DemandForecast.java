package org.cuminshelf.planning;

/**
 * A rate with its trend, from counts that only rise: a fast and a slow exponentially weighted mean, whose difference
 * gives the slope. The trend is followed for a bounded time ahead only, and never below zero.
 */
final class DemandForecast {

    private static final double FAST_SECONDS = 8;
    private static final double SLOW_SECONDS = 24;
    private static final double MOST_AHEAD_SECONDS = 15;

    private boolean started;
    private long lastCount;
    private double lastAt;
    private double fast;
    private double slow;

    void observe(double seconds, long count) {
        if (!started) {
            started = true;
            lastAt = seconds;
            lastCount = count;
            return;
        }
        double elapsed = seconds - lastAt;
        if (elapsed <= 0) {
            return;
        }
        double rate = Math.max(0, count - lastCount) / elapsed;
        boolean first = fast == 0 && slow == 0;
        fast += (rate - fast) * (first ? 1 : 1 - Math.exp(-elapsed / FAST_SECONDS));
        slow += (rate - slow) * (first ? 1 : 1 - Math.exp(-elapsed / SLOW_SECONDS));
        lastAt = seconds;
        lastCount = count;
    }

    double now() {
        return fast;
    }

    /** The rate expected so many seconds ahead. */
    double ahead(double seconds) {
        double slope = (fast - slow) / (SLOW_SECONDS - FAST_SECONDS);
        return Math.max(0, fast + slope * Math.min(seconds, MOST_AHEAD_SECONDS));
    }
}
