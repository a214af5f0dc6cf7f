package org.cuminshelf.planning;

/** The highest of some values that were seen lately, falling back to the last one seen over time. */
final class DecayingPeak {

    private final double decaySeconds;
    private double last;
    private double peak;
    private double lastSeconds;

    private DecayingPeak(double decaySeconds) {
        this.decaySeconds = decaySeconds;
    }

    /**
     * Makes a peak of values that are yet to be seen.
     *
     * @param decaySeconds seconds after which a peak stands out by a third of what it did
     * @return the peak
     */
    static DecayingPeak of(double decaySeconds) {
        return new DecayingPeak(decaySeconds);
    }

    void observe(double nowSeconds, double value) {
        double remainingShare = Math.exp(-Math.max(0, nowSeconds - lastSeconds) / decaySeconds);
        peak = Math.max(value, value + (peak - value) * remainingShare);
        last = value;
        lastSeconds = nowSeconds;
    }

    double last() {
        return last;
    }

    double peak() {
        return peak;
    }
}
