package org.cuminshelf.sidecar;

/**
 * The time between two tokens of a stream, as an exponentially weighted moving average over all streams of the
 * upstream. It shows the effect of a full batch on callers, and is measured here, not derived from the upstream's own
 * reports.
 */
final class InterTokenLatencyMeter {

    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double NANOS_PER_MICRO = 1e3;

    private double meanNanos;

    /** Adds tokens that a stream received together, and the time since its previous tokens. */
    void add(long nanos, int tokens) {
        double nanosPerToken = (double) nanos / tokens;
        meanNanos = meanNanos == 0
                ? nanosPerToken
                : meanNanos + SMOOTHING_FACTOR * Math.min(tokens, 10) / 2 * (nanosPerToken - meanNanos);
    }

    /** The mean in microseconds; 0 if no attempt is running. */
    int micros(int runningAttempts) {
        return runningAttempts == 0 ? 0 : (int) Math.min(Integer.MAX_VALUE, meanNanos / NANOS_PER_MICRO);
    }
}
