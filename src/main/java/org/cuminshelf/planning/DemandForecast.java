package org.cuminshelf.planning;

/**
 * A rate with its trend, from counts that only rise: a fast and a slow exponentially weighted mean, whose difference
 * gives the slope. The trend is followed for a bounded time ahead only, and never below zero.
 */
final class DemandForecast {

    /** Times the memory of the fast mean that the slow one has. */
    private static final double SLOW_FACTOR = 3;

    private static final double MAX_AHEAD_SECONDS = 15;

    private final double fastSeconds;
    private final double slowSeconds;
    private boolean started;
    private long lastCount;
    private double lastSeconds;
    private double observedSeconds;
    private double fastMean;
    private double slowMean;

    private DemandForecast(double smoothingSeconds) {
        this.fastSeconds = smoothingSeconds;
        this.slowSeconds = SLOW_FACTOR * smoothingSeconds;
    }

    /**
     * Begins a forecast.
     *
     * @param smoothingSeconds seconds after which a change of the rate is mostly believed
     * @return a forecast that has seen nothing yet
     */
    static DemandForecast of(double smoothingSeconds) {
        return new DemandForecast(smoothingSeconds);
    }

    void observe(double nowSeconds, long count) {
        if (!started) {
            started = true;
            lastSeconds = nowSeconds;
            lastCount = count;
            return;
        }
        double elapsedSeconds = nowSeconds - lastSeconds;
        if (elapsedSeconds <= 0) {
            return;
        }
        double rate = Math.max(0, count - lastCount) / elapsedSeconds;
        observedSeconds += elapsedSeconds;
        fastMean += (rate - fastMean) * smoothingWeight(elapsedSeconds, fastSeconds);
        slowMean += (rate - slowMean) * smoothingWeight(elapsedSeconds, slowSeconds);
        lastSeconds = nowSeconds;
        lastCount = count;
    }

    /** At first each observation weighs the same: a swing at the start is not to stand for the mix. */
    private double smoothingWeight(double elapsedSeconds, double smoothingSeconds) {
        return Math.max(elapsedSeconds / observedSeconds, 1 - Math.exp(-elapsedSeconds / smoothingSeconds));
    }

    /** The rate expected so many seconds ahead. */
    double rateAhead(double seconds) {
        double slope = (fastMean - slowMean) / (slowSeconds - fastSeconds);
        return Math.max(0, fastMean + slope * Math.min(seconds, MAX_AHEAD_SECONDS));
    }
}
