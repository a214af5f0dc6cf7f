package org.cuminshelf.engines;

/** A mean whose observations lose weight with time, so that it falls back to a given value without new ones. */
public final class DecayingMean {

    private final double decayNanos;
    private final double priorWeight;
    private double sum;
    private double weight;
    private long updatedAt;

    /**
     * Creates a mean without observations.
     *
     * @param decayNanos  time in nanoseconds after which an observation has 1/e of its weight
     * @param priorWeight weight of the value to which it falls back, in observations
     */
    public DecayingMean(double decayNanos, double priorWeight) {
        this.decayNanos = decayNanos;
        this.priorWeight = priorWeight;
    }

    /**
     * Adds observations.
     *
     * @param now   the time in nanoseconds
     * @param value the mean of the observations
     * @param count their number
     */
    public void add(long now, double value, int count) {
        double remaining = remaining(now);
        sum = sum * remaining + value * count;
        weight = weight * remaining + count;
        updatedAt = now;
    }

    /**
     * Returns the mean at a time.
     *
     * @param now   the time in nanoseconds
     * @param prior the value to which it falls back
     * @return the mean of the observations and the prior
     */
    public double mean(long now, double prior) {
        double remaining = remaining(now);
        return (sum * remaining + prior * priorWeight) / (weight * remaining + priorWeight);
    }

    private double remaining(long now) {
        return weight == 0 ? 0 : Math.exp((updatedAt - now) / decayNanos);
    }
}
