package org.cuminshelf.engines;

/**
 * Running mean and spread of the logarithm of observed over predicted times, with the probability of values beyond a
 * bound.
 */
final class LogSpread {

    /** Mean absolute deviation before any observation. */
    private static final double INITIAL_DEVIATION = 0.2;
    /** Lower bound of the mean absolute deviation: network and scheduling contribute as much. */
    private static final double MIN_DEVIATION = 0.06;
    /** Deviation to which a value is clamped, so that one hung engine does not dominate. */
    private static final double MAX_DEVIATION = 1;
    /** Mean absolute deviation of a logistic distribution of scale 1. */
    private static final double LOGISTIC_MEAN_DEVIATION = 2 * Math.log(2);
    /**
     * Probability below which the bound is far and has no effect on decisions. The tail of the logistic function is
     * longer than that of observed times; added up over all streams of an engine, it would refuse calls that harm none
     * of them.
     */
    private static final double MIN_PROBABILITY = 0.1;

    /** Weight of one observation: a window of about fifty. */
    private static final double WEIGHT = 0.02;

    private double mean;
    private double deviation = INITIAL_DEVIATION;

    /** Adds the logarithm of an observed over a predicted time. */
    void observe(double logRatio) {
        double difference = Math.clamp(logRatio - mean, -MAX_DEVIATION, MAX_DEVIATION);
        mean += WEIGHT * difference;
        deviation += WEIGHT * (Math.abs(difference) - deviation);
    }

    double mean() {
        return mean;
    }

    /** Returns the probability that a logarithm exceeds a bound; 0 if the bound is far. */
    double probabilityAbove(double bound) {
        double distance = (bound - mean) * LOGISTIC_MEAN_DEVIATION / Math.max(MIN_DEVIATION, deviation);
        double probability = 1 / (1 + Math.exp(distance));
        return Math.max(0, (probability - MIN_PROBABILITY) / (1 - MIN_PROBABILITY));
    }
}
