package org.cuminshelf.core;

/**
 * Detects pauses of this process from the time between its ticks. While it is suspended, or its lock is held for long,
 * what others have sent stays unread, so that this time says nothing about them.
 */
public final class PauseDetector {

    private final long maxIntervalNanos;
    private long lastTickNanos = Core.NEVER;

    private PauseDetector(long maxIntervalNanos) {
        this.maxIntervalNanos = maxIntervalNanos;
    }

    /**
     * Creates a detector that has seen no tick.
     *
     * @param maxIntervalNanos longest time between two ticks of a process that is running, in nanoseconds
     * @return the detector
     */
    public static PauseDetector create(long maxIntervalNanos) {
        return new PauseDetector(maxIntervalNanos);
    }

    /**
     * Records a tick.
     *
     * @param now the time in nanoseconds
     * @return the length of the pause that it ends, in nanoseconds; 0 if there was none
     */
    public long onTick(long now) {
        long interval = lastTickNanos == Core.NEVER ? 0 : now - lastTickNanos;
        lastTickNanos = now;
        return interval > maxIntervalNanos ? interval : 0;
    }
}
