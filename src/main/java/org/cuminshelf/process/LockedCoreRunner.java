package org.cuminshelf.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.tinylog.Logger;

/**
 * Runs a core under a lock that it shares with the threads that deliver its events: passes messages to it, and ticks it
 * on a thread of its own when it is due.
 *
 * <p>Guards against calls that hang because an exception has ended the thread. A failure is logged and counted and the
 * core runs on: ending the process would cut every open call, and an input that fails in all entries would end them all
 * at once.
 */
final class LockedCoreRunner implements AutoCloseable {

    private static final String LOG = "entry: ";
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Ticks without a wait between them after which the core is taken for one that is always due. */
    private static final int MAX_TICKS_IN_A_ROW = 100;
    /** Wait between the ticks of a core that is always due, so that it takes no more than a part of the processor. */
    private static final long ALWAYS_DUE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long ALWAYS_DUE_LINE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Wait for other threads that want the lock; a wait of any length hands it to the first of them. */
    private static final long HAND_OVER_NANOS = TimeUnit.MICROSECONDS.toNanos(50);
    /** Wait after a failed tick, so that a core that fails every time takes neither the lock nor the log for itself. */
    private static final long FAILURE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ReentrantLock lock;
    private final Condition dueTimeChanged;
    private final Core core;
    private final Outbox outbox;
    private final Runnable everySecondAction;
    private final Thread thread = new Thread(this::run, "core");
    private long nextWakeUpNanos;
    private long nextEverySecondNanos = System.nanoTime();
    private final AtomicLong failures = new AtomicLong();
    /** Ticks since the core was last not due at once. */
    private int ticksInARow;

    private long nextAlwaysDueLineNanos = System.nanoTime();
    /** How often the core was found to be always due. */
    private final AtomicLong alwaysDueCount = new AtomicLong();

    private volatile boolean running = true;
    private volatile boolean healthy = true;

    /**
     * Creates a runner, which is idle until {@link #start()}.
     *
     * @param lock              lock that is held during every call of the core
     * @param core              the core to run
     * @param outbox            receives the messages of the core
     * @param everySecondAction runs about once a second under the lock; must not block
     */
    LockedCoreRunner(ReentrantLock lock, Core core, Outbox outbox, Runnable everySecondAction) {
        this.lock = lock;
        this.dueTimeChanged = lock.newCondition();
        this.core = core;
        this.outbox = outbox;
        this.everySecondAction = everySecondAction;
    }

    /** Starts the thread that ticks the core. */
    void start() {
        thread.start();
    }

    /** Passes a message to the core. May be called from any thread. */
    void accept(Envelope message) {
        lock.lock();
        try {
            core.accept(System.nanoTime(), message, outbox);
            wakeIfDue();
        } catch (RuntimeException | StackOverflowError e) {
            countAndLog(e, "message-" + message.getBodyCase());
        } finally {
            lock.unlock();
        }
    }

    /** Wakes the thread if the core is now due before the scheduled wake-up. Must be called under the lock. */
    void wakeIfDue() {
        if (core.nextDue() < nextWakeUpNanos) {
            dueTimeChanged.signal();
        }
    }

    /** Returns whether the last tick of the core succeeded. */
    boolean isHealthy() {
        return healthy;
    }

    /** Returns the number of messages, ticks and actions that failed. */
    long failures() {
        return failures.get();
    }

    /** Returns how often the core was due at once for many ticks in a row. */
    long alwaysDueCount() {
        return alwaysDueCount.get();
    }

    @Override
    public void close() {
        running = false;
        thread.interrupt();
    }

    private void run() {
        lock.lock();
        try {
            while (running) {
                healthy = tryStep();
                awaitNextDue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    /** Runs what is due; returns whether the core is sound. */
    private boolean tryStep() {
        long now = System.nanoTime();
        if (now >= nextEverySecondNanos) {
            nextEverySecondNanos = now + MAX_WAIT_NANOS;
            tryRun("action", everySecondAction);
        }
        return tryRun("tick", () -> tickIfDue(now));
    }

    private void tickIfDue(long now) {
        if (now >= core.nextDue()) {
            core.tick(now, outbox);
        }
    }

    private boolean tryRun(String part, Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            countAndLog(e, part);
            return false;
        } catch (Error e) {
            // The process gets no new callers from now on: its thread ends.
            healthy = false;
            countAndLog(e, part);
            throw e;
        }
    }

    private void countAndLog(Throwable failure, String part) {
        failures.incrementAndGet();
        Logger.error(failure, LOG + "event=core-failure part={}", part);
    }

    private void awaitNextDue() throws InterruptedException {
        long wait = healthy ? Math.min(MAX_WAIT_NANOS, nanosUntilNextTick()) : FAILURE_PAUSE_NANOS;
        nextWakeUpNanos = healthy ? System.nanoTime() + wait : Long.MIN_VALUE;
        if (wait > 0) {
            dueTimeChanged.awaitNanos(wait);
        }
    }

    /**
     * Returns how long to wait for the next tick. Guards against a core that is due at once again and again and keeps
     * the lock: nothing that arrives would be read, and the process could not stop.
     */
    private long nanosUntilNextTick() {
        long untilDue = core.nanosUntilDue(System.nanoTime());
        if (untilDue > 0) {
            ticksInARow = 0;
            return untilDue;
        }
        ticksInARow++;
        if (ticksInARow > MAX_TICKS_IN_A_ROW) {
            if (ticksInARow == MAX_TICKS_IN_A_ROW + 1) {
                noteAlwaysDue();
            }
            return ALWAYS_DUE_PAUSE_NANOS;
        }
        return lock.hasQueuedThreads() ? HAND_OVER_NANOS : 0;
    }

    private void noteAlwaysDue() {
        alwaysDueCount.incrementAndGet();
        long now = System.nanoTime();
        if (now >= nextAlwaysDueLineNanos) {
            nextAlwaysDueLineNanos = now + ALWAYS_DUE_LINE_INTERVAL_NANOS;
            Logger.warn(LOG + "event=core-always-due count={}", alwaysDueCount.get());
        }
    }
}
