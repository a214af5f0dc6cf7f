package org.cuminshelf.planning;

/** Recent maximum of a value, which decays exponentially towards the last observation. */
final class DecayingPeak {

    private final double decaySeconds;
    private double last;
    private double peak;
    private double lastObservedAtSeconds;

    private DecayingPeak(double decaySeconds) {
        this.decaySeconds = decaySeconds;
    }

    /**
     * Creates a peak without observations.
     *
     * @param decaySeconds time after which the excess of the peak over the last observation has decayed to 1/e
     * @return the peak
     */
    static DecayingPeak of(double decaySeconds) {
        return new DecayingPeak(decaySeconds);
    }

    void observe(double nowSeconds, double value) {
        double remainingShare = Math.exp(-Math.max(0, nowSeconds - lastObservedAtSeconds) / decaySeconds);
        peak = Math.max(value, value + (peak - value) * remainingShare);
        last = value;
        lastObservedAtSeconds = nowSeconds;
    }

    double last() {
        return last;
    }

    double peak() {
        return peak;
    }
}
