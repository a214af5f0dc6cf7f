package org.cuminshelf.process;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Start time of this JVM on the monotonic clock.
 *
 * <p>A restarted replica must not vote while a leader unknown to it may still hold a lease that an answer of the
 * replica's previous run granted. The previous run ended before this JVM started, so the waiting time counts from the
 * start of the JVM: most of it has passed once the replica is up, and a group whose processes were all killed at once
 * elects a leader correspondingly earlier.
 */
public final class ProcessStart {

    private static final long START_NANOS = System.nanoTime();
    private static final AtomicBoolean CLAIMED = new AtomicBoolean();

    private ProcessStart() {}

    /** Records the start time, unless already recorded. Must be called first in the main method. */
    public static void recordStartTime() {
        // The static initializer of this class reads the clock.
    }

    /**
     * Returns a time by which any previous run of the process that is being started had ended. Only the first process
     * started in a JVM may use the start of the JVM: a later one may replace a process that ran in the same JVM.
     *
     * @return the start time of the JVM on the first call, the current time on every other call, in nanoseconds of
     *     {@link System#nanoTime()}
     */
    static long previousRunEndedByNanos() {
        return CLAIMED.compareAndSet(false, true) ? START_NANOS : System.nanoTime();
    }
}
