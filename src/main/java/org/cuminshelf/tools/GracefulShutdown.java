package org.cuminshelf.tools;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cuminshelf.process.ServingProcess;
import org.tinylog.Logger;

/** Waits for a termination signal, then stops serving processes gracefully, one after the other. */
public final class GracefulShutdown {

    private GracefulShutdown() {}

    /**
     * Waits for SIGTERM or SIGINT and stops the processes gracefully. SIGHUP is logged and has no other effect.
     *
     * @param processes the processes, in the order in which they are stopped
     * @return the exit code; success if all processes finished their work
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static int awaitSignal(List<ServingProcess> processes) throws InterruptedException {
        return awaitSignal(processes, () -> Logger.info("process: event=reload outcome=\"nothing to read again\""));
    }

    /**
     * Waits for SIGTERM or SIGINT and stops the processes gracefully.
     *
     * @param processes the processes, in the order in which they are stopped
     * @param onReload  called on SIGHUP to reload the settings
     * @return the exit code; success if all processes finished their work
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static int awaitSignal(List<ServingProcess> processes, Runnable onReload) throws InterruptedException {
        Signals.onHangUp(onReload);
        CountDownLatch stopped = new CountDownLatch(1);
        AtomicBoolean allFinished = new AtomicBoolean(true);
        Signals.onStop(() -> {
            try {
                for (ServingProcess process : processes) {
                    allFinished.compareAndSet(true, process.stopGracefully());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                stopped.countDown();
            }
        });
        stopped.await();
        return allFinished.get() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
