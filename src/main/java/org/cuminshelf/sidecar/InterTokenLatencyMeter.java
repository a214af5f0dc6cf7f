package org.cuminshelf.sidecar;

/**
 * The time between two tokens of a stream, as an exponentially weighted mean over all streams of the upstream. It is
 * what callers feel of a full batch, and it is measured, not reckoned from the upstream's own reports.
 */
final class InterTokenLatencyMeter {

    private static final double WEIGHT_OF_NEW = 0.05;
    private static final double NANOS_PER_MICRO = 1e3;

    private double meanNanos;

    /** Takes tokens of one stream that came so long after the ones before. */
    void add(long nanos, int tokens) {
        double gap = (double) nanos / tokens;
        meanNanos = meanNanos == 0 ? gap : meanNanos + WEIGHT_OF_NEW * Math.min(tokens, 10) / 2 * (gap - meanNanos);
    }

    /** The mean in microseconds; 0 where nothing runs. */
    int micros(int running) {
        return running == 0 ? 0 : (int) Math.min(Integer.MAX_VALUE, meanNanos / NANOS_PER_MICRO);
    }
}
