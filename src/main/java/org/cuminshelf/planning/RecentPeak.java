package org.cuminshelf.planning;

/** The highest of some values that were seen lately, falling back to the last one seen over time. */
final class RecentPeak {

    private final double memorySeconds;
    private double last;
    private double peak;
    private double lastAt;

    private RecentPeak(double memorySeconds) {
        this.memorySeconds = memorySeconds;
    }

    /**
     * Makes a peak of values that are yet to be seen.
     *
     * @param memorySeconds seconds after which a peak stands out by a third of what it did
     * @return the peak
     */
    static RecentPeak of(double memorySeconds) {
        return new RecentPeak(memorySeconds);
    }

    void observe(double seconds, double value) {
        double kept = Math.exp(-Math.max(0, seconds - lastAt) / memorySeconds);
        peak = Math.max(value, value + (peak - value) * kept);
        last = value;
        lastAt = seconds;
    }

    double last() {
        return last;
    }

    double peak() {
        return peak;
    }
}
