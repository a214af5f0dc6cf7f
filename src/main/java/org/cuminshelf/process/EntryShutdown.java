package org.cuminshelf.process;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.cuminshelf.core.Address;
import org.cuminshelf.direct.DirectCore;
import org.cuminshelf.exchange.CallerListener;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stop;
import org.tinylog.Logger;

/**
 * The graceful stop of an entry: accepts connections only until the load balancer has noticed, asks callers with each
 * answer to reconnect elsewhere, and ends once no call is open and no connection has a request half read or a response
 * half sent. What is not finished when the grace period ends gets its final response then.
 */
final class EntryShutdown {

    private static final String LOG = "entry: ";
    /**
     * How long a stopping entry still accepts connections: the load balancer needs two readiness checks, a second
     * apart, to notice.
     */
    private static final long READINESS_DRAIN_MILLIS = 2_600;
    /** Time reserved for closing, whether or not all calls have ended; more if the process runs late. */
    private static final long MIN_RESERVE_MILLIS = 400;
    /** Multiple of its lateness by which the reserve of a process grows: final answers, closing and exit are turns. */
    private static final int RESERVE_LATENESS_FACTOR = 6;
    /** Part of the grace period up to which the reserve grows. */
    private static final int MAX_RESERVE_DIVISOR = 8;
    /** Part of the reserve in which the final answers are sent, in percent. */
    private static final int FINAL_ANSWERS_PERCENT = 60;

    private static final int PERCENT = 100;

    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long DRAIN_CONFIRM_MILLIS = 60;
    private static final long PROGRESS_INTERVAL_MILLIS = 1_000;
    private static final int MAX_NAMED_REQUESTS = 40;

    private final String vm;
    private final long graceMillis;
    private final DirectCore core;
    private final LockedCoreRunner runner;
    private final ReentrantLock lock;
    private final CallerListener callers;
    private final long startNanos = System.nanoTime();
    private long nextProgressMillis = PROGRESS_INTERVAL_MILLIS;
    private long maxLateMillis;

    private EntryShutdown(
            String vm,
            long graceMillis,
            DirectCore core,
            LockedCoreRunner runner,
            ReentrantLock lock,
            CallerListener callers) {
        this.vm = vm;
        this.graceMillis = graceMillis;
        this.core = core;
        this.runner = runner;
        this.lock = lock;
        this.callers = callers;
    }

    /**
     * Creates a stop that begins now.
     *
     * @param vm          name of the VM, for the log
     * @param graceMillis milliseconds from now until the process is killed
     * @param core        the core of the entry
     * @param runner      passes messages to the core
     * @param lock        the lock of the core
     * @param callers     the listener for callers
     * @return the stop
     */
    static EntryShutdown begin(
            String vm,
            long graceMillis,
            DirectCore core,
            LockedCoreRunner runner,
            ReentrantLock lock,
            CallerListener callers) {
        return new EntryShutdown(vm, graceMillis, core, runner, lock, callers);
    }

    /**
     * Begins the stop, takes no further callers and waits until all requests have their final response, at most until
     * the grace period ends.
     *
     * @return whether all were finished in time
     * @throws InterruptedException if the wait is interrupted
     */
    boolean await() throws InterruptedException {
        callers.startDraining();
        runner.accept(Envelope.newBuilder()
                .setFrom(Address.PROCESS.value())
                .setStop(Stop.newBuilder()
                        .setNoticeMs(READINESS_DRAIN_MILLIS)
                        .setAnswersMs(graceMillis - graceMillis / MAX_RESERVE_DIVISOR))
                .build());
        while (elapsedMillis() < READINESS_DRAIN_MILLIS) {
            Thread.sleep(DRAIN_POLL_MILLIS);
            logProgress();
        }
        // A request on a connection accepted from now on might not complete within the remaining time.
        callers.stopAccepting();
        boolean finished = awaitFinished();
        Logger.info(
                LOG + "event=stopped vm={} finished={} open={} unfinished-connections={} late-ms={} ms={} requests={}",
                vm,
                finished,
                core.openCalls(),
                callers.unfinishedConnections(),
                lateMillis(),
                elapsedMillis(),
                openRequests());
        if (!finished) {
            callers.refuseUnreadRequests();
            locked(core::endOpenCalls);
            awaitFinalAnswers();
        }
        return finished;
    }

    /** Waits until all is finished or the remaining time is needed for closing; returns whether all is finished. */
    private boolean awaitFinished() throws InterruptedException {
        boolean finished = false;
        while (!finished && elapsedMillis() < graceMillis - reserveMillis()) {
            callers.closeIdleConnections();
            Thread.sleep(isFinished() ? DRAIN_CONFIRM_MILLIS : DRAIN_POLL_MILLIS);
            finished = isFinished();
            logProgress();
        }
        return finished;
    }

    private void awaitFinalAnswers() throws InterruptedException {
        long untilMillis = elapsedMillis() + (graceMillis - elapsedMillis()) * FINAL_ANSWERS_PERCENT / PERCENT;
        while (!isFinished() && elapsedMillis() < untilMillis) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
    }

    /** Time that closing may take this process, by how late it has run since the stop began. */
    private long reserveMillis() {
        maxLateMillis = Math.max(maxLateMillis, lateMillis());
        long neededMillis = MIN_RESERVE_MILLIS + RESERVE_LATENESS_FACTOR * maxLateMillis;
        return Math.min(neededMillis, Math.max(MIN_RESERVE_MILLIS, graceMillis / MAX_RESERVE_DIVISOR));
    }

    /** Whether no call is open, no request is half read and no response is half sent. */
    private boolean isFinished() {
        return core.openCalls() == 0 && callers.unfinishedConnections() == 0;
    }

    /** Names what is open, once a second, so that the log tells it also of a process that is killed. */
    private void logProgress() {
        if (elapsedMillis() < nextProgressMillis) {
            return;
        }
        nextProgressMillis = elapsedMillis() + PROGRESS_INTERVAL_MILLIS;
        Logger.info(
                LOG + "event=stopping vm={} open={} unfinished-connections={} late-ms={} ms={} requests={}",
                vm,
                core.openCalls(),
                callers.unfinishedConnections(),
                lateMillis(),
                elapsedMillis(),
                openRequests());
    }

    private List<String> openRequests() {
        return locked(() -> core.openRequests(MAX_NAMED_REQUESTS));
    }

    private long lateMillis() {
        return locked(core::lateMillis);
    }

    private void locked(Runnable action) {
        locked(() -> {
            action.run();
            return true;
        });
    }

    private <T> T locked(Supplier<T> figure) {
        lock.lock();
        try {
            return figure.get();
        } finally {
            lock.unlock();
        }
    }

    /** Milliseconds since the stop began. */
    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
