package org.cuminshelf.planning;

/**
 * Forecast of a rate from a monotonic counter: a fast and a slow exponentially weighted mean, whose difference gives
 * the slope. The trend is extrapolated for a bounded time only, and never below zero.
 */
final class DemandForecast {

    /** Ratio of the time constants of the slow and the fast mean. */
    private static final double SLOW_FACTOR = 3;

    private static final double MAX_AHEAD_SECONDS = 15;

    private final double fastSeconds;
    private final double slowSeconds;
    private boolean started;
    private long lastCount;
    private double lastObservedAtSeconds;
    private double observedSeconds;
    private double fastMean;
    private double slowMean;

    private DemandForecast(double smoothingSeconds) {
        this.fastSeconds = smoothingSeconds;
        this.slowSeconds = SLOW_FACTOR * smoothingSeconds;
    }

    /**
     * Creates a forecast without observations.
     *
     * @param smoothingSeconds time constant of the fast mean
     * @return the forecast
     */
    static DemandForecast of(double smoothingSeconds) {
        return new DemandForecast(smoothingSeconds);
    }

    void observe(double nowSeconds, long count) {
        if (!started) {
            started = true;
            lastObservedAtSeconds = nowSeconds;
            lastCount = count;
            return;
        }
        double elapsedSeconds = nowSeconds - lastObservedAtSeconds;
        if (elapsedSeconds <= 0) {
            return;
        }
        double rate = Math.max(0, count - lastCount) / elapsedSeconds;
        observedSeconds += elapsedSeconds;
        fastMean += (rate - fastMean) * smoothingWeight(elapsedSeconds, fastSeconds);
        slowMean += (rate - slowMean) * smoothingWeight(elapsedSeconds, slowSeconds);
        lastObservedAtSeconds = nowSeconds;
        lastCount = count;
    }

    /**
     * Returns the weight of an observation. At first all observations weigh the same, so that a fluctuation at the
     * start doesn't dominate the means.
     */
    private double smoothingWeight(double elapsedSeconds, double smoothingSeconds) {
        return Math.max(elapsedSeconds / observedSeconds, 1 - Math.exp(-elapsedSeconds / smoothingSeconds));
    }

    /** Returns the rate per second that is expected a number of seconds after the last observation. */
    double rateAhead(double seconds) {
        double slope = (fastMean - slowMean) / (slowSeconds - fastSeconds);
        return Math.max(0, fastMean + slope * Math.min(seconds, MAX_AHEAD_SECONDS));
    }
}
