package org.cuminshelf.planning;

/**
 * A rate with its trend, from counts that only rise: a fast and a slow exponentially weighted mean, whose difference
 * gives the slope. The trend is followed for a bounded time ahead only, and never below zero.
 */
final class DemandForecast {

    /** Times the memory of the fast mean that the slow one has. */
    private static final double SLOW_FACTOR = 3;

    private static final double MOST_AHEAD_SECONDS = 15;

    private final double fastSeconds;
    private final double slowSeconds;
    private boolean started;
    private long lastCount;
    private double lastAt;
    private double observed;
    private double fast;
    private double slow;

    private DemandForecast(double memorySeconds) {
        this.fastSeconds = memorySeconds;
        this.slowSeconds = SLOW_FACTOR * memorySeconds;
    }

    /**
     * Begins a forecast.
     *
     * @param memorySeconds seconds after which a change of the rate is mostly believed
     * @return a forecast that has seen nothing yet
     */
    static DemandForecast of(double memorySeconds) {
        return new DemandForecast(memorySeconds);
    }

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
        observed += elapsed;
        fast += (rate - fast) * weight(elapsed, fastSeconds);
        slow += (rate - slow) * weight(elapsed, slowSeconds);
        lastAt = seconds;
        lastCount = count;
    }

    /** At first each observation weighs the same: a swing at the start is not to stand for the mix. */
    private double weight(double elapsed, double memory) {
        return Math.max(elapsed / observed, 1 - Math.exp(-elapsed / memory));
    }

    /** The rate expected so many seconds ahead. */
    double ahead(double seconds) {
        double slope = (fast - slow) / (slowSeconds - fastSeconds);
        return Math.max(0, fast + slope * Math.min(seconds, MOST_AHEAD_SECONDS));
    }
}
