package org.cuminshelf.core;

/**
 * How late this process runs: the longest time by which a tick came after it was due, over the present second and the
 * one before. A late process reads late, too, what others have sent.
 */
public final class TickLateness {

    private static final long WINDOW_NANOS = Durations.nanos(1_000);

    private long lastTickNanos;
    private long windowStartNanos;
    private long currentNanos;
    private long previousNanos;

    private TickLateness(long now) {
        lastTickNanos = now;
        windowStartNanos = now;
    }

    /**
     * Creates a measure that has seen no tick.
     *
     * @param now the time in nanoseconds
     * @return the measure
     */
    public static TickLateness create(long now) {
        return new TickLateness(now);
    }

    /**
     * Records a tick.
     *
     * @param now   the time in nanoseconds
     * @param dueAt when the tick was due, in nanoseconds
     */
    public void onTick(long now, long dueAt) {
        moveWindow(now);
        // What is always due was done by the last tick.
        currentNanos = Math.max(currentNanos, now - Math.max(dueAt, lastTickNanos));
        lastTickNanos = now;
    }

    /**
     * Returns the lateness.
     *
     * @param now the time in nanoseconds
     * @return the longest lateness in the window, in milliseconds
     */
    public long millis(long now) {
        moveWindow(now);
        return Durations.millis(Math.max(currentNanos, previousNanos));
    }

    private void moveWindow(long now) {
        long elapsed = now - windowStartNanos;
        if (elapsed < WINDOW_NANOS) {
            return;
        }
        previousNanos = elapsed < 2 * WINDOW_NANOS ? currentNanos : 0;
        currentNanos = 0;
        windowStartNanos = now;
    }
}
