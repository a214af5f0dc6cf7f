package org.cuminshelf.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;

/**
 * Runs a core under a lock that it shares with the threads that deliver its events: passes messages to it, and ticks it
 * on a thread of its own when it is due.
 */
final class LockedCoreRunner implements AutoCloseable {

    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ReentrantLock lock;
    private final Condition dueTimeChanged;
    private final Core core;
    private final Outbox outbox;
    private final Runnable everySecondAction;
    private final Thread thread = new Thread(this::run, "core");
    private long nextWakeUpNanos;
    private long nextEverySecondNanos = System.nanoTime();
    private volatile boolean running = true;

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

    @Override
    public void close() {
        running = false;
        thread.interrupt();
    }

    private void run() {
        lock.lock();
        try {
            while (running) {
                step();
                awaitNextDue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    private void step() {
        long now = System.nanoTime();
        if (now >= core.nextDue()) {
            core.tick(now, outbox);
        }
        if (now >= nextEverySecondNanos) {
            nextEverySecondNanos = now + MAX_WAIT_NANOS;
            everySecondAction.run();
        }
    }

    private void awaitNextDue() throws InterruptedException {
        long wait = Math.min(MAX_WAIT_NANOS, core.nextDue() - System.nanoTime());
        nextWakeUpNanos = System.nanoTime() + wait;
        if (wait > 0) {
            dueTimeChanged.awaitNanos(wait);
        }
    }
}
