package org.cuminshelf.exchange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connections whose peers send faster than they may be read. They go on in turn, one a millisecond, so that all of them
 * together leave the lock and the processor to the others for most of the time.
 */
final class ReadTurns {

    /** Reads of a connection after which it waits for its next turn. */
    static final int MAX_READS_PER_TURN = 4;

    private static final long TURN_INTERVAL_MILLIS = 1;

    private final Scheduler scheduler;
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    ReadTurns(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Lets a connection go on reading after those that wait already. */
    synchronized void add(Runnable read) {
        waiting.add(read);
        if (waiting.size() == 1) {
            scheduleNext();
        }
    }

    private void scheduleNext() {
        scheduler.schedule(this::runNext, TURN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void runNext() {
        Runnable read;
        synchronized (this) {
            read = waiting.element();
        }
        try {
            read.run();
        } finally {
            removeFirst();
        }
    }

    private synchronized void removeFirst() {
        waiting.remove();
        if (!waiting.isEmpty()) {
            scheduleNext();
        }
    }
}
