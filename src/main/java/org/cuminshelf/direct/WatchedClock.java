package org.cuminshelf.direct;

import org.cuminshelf.core.Durations;

/**
 * A clock for the silence of others, which stands while this process does not look at its connections: while it is
 * suspended, or its lock is held for long, what upstreams send stays unread in the sockets.
 *
 * <p>Guards against sound upstreams that are taken for silent by the first tick after such a pause.
 */
final class WatchedClock {

    /** Time between two looks above which this process stood still; it looks at least every 250 ms. */
    private static final long MAX_LOOK_INTERVAL_NANOS = Durations.nanos(300);

    private long lastLookNanos;
    private long pausedNanos;

    WatchedClock(long now) {
        this.lastLookNanos = now;
    }

    /**
     * Records that the process looks at its connections now.
     *
     * @param now the time in nanoseconds
     * @return the time without all pauses so far, in nanoseconds
     */
    long look(long now) {
        long sinceLook = now - lastLookNanos;
        if (sinceLook > MAX_LOOK_INTERVAL_NANOS) {
            pausedNanos += sinceLook;
        }
        lastLookNanos = now;
        return now - pausedNanos;
    }
}
