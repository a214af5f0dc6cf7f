package org.cuminshelf.process;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * When this program began, by its monotonic clock.
 *
 * <p>A replica that starts again must not vote while a leader that it has forgotten may hold a lease by what its former
 * life answered. That life ended before this program began, so the wait counts from here: most of it is over once the
 * replica is up, and a group of which all processes were killed at once has a leader that much sooner.
 */
public final class ProcessStart {

    private static final long BEGAN = System.nanoTime();
    private static final AtomicBoolean TAKEN = new AtomicBoolean();

    private ProcessStart() {}

    /** Takes the time, if that was not done yet; to be called before anything else. */
    public static void recordStartTime() {
        // Loading this class has taken it.
    }

    /**
     * The time since which no former life of a process that starts now has said anything.
     *
     * @return the begin of this program for the first process in it, now for all others
     */
    static long previousRunEndedByNanos() {
        return TAKEN.compareAndSet(false, true) ? BEGAN : System.nanoTime();
    }
}
