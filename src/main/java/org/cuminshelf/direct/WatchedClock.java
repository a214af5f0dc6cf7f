package org.cuminshelf.direct;

import org.cuminshelf.core.Durations;
import org.cuminshelf.core.PauseDetector;

/**
 * A clock for the silence of others, which stands while this process does not look at its connections: while it is
 * suspended, or its lock is held for long, what upstreams send stays unread in the sockets.
 *
 * <p>Guards against sound upstreams that are taken for silent by the first tick after such a pause.
 */
final class WatchedClock {

    /** Time between two looks above which this process stood still; it looks every 250 ms, and late if it is busy. */
    private static final long MAX_LOOK_INTERVAL_NANOS = Durations.nanos(500);

    private final PauseDetector pauses = PauseDetector.create(MAX_LOOK_INTERVAL_NANOS);
    private long pausedNanos;

    WatchedClock(long now) {
        pauses.onTick(now);
    }

    /**
     * Records that the process looks at its connections now.
     *
     * @param now the time in nanoseconds
     * @return the time without all pauses so far, in nanoseconds
     */
    long look(long now) {
        pausedNanos += pauses.onTick(now);
        return now - pausedNanos;
    }
}
