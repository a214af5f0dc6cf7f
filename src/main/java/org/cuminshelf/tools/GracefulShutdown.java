package org.cuminshelf.tools;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cuminshelf.process.ServingProcess;
import org.tinylog.Logger;

/** Keeps serving processes up until a signal, then stops them in order. */
public final class GracefulShutdown {

    private GracefulShutdown() {}

    /**
     * Waits for a signal and stops gracefully.
     *
     * @param processes what to stop, in this order
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    public static int awaitSignal(List<ServingProcess> processes) throws InterruptedException {
        return awaitSignal(processes, () -> Logger.info("process: event=reload outcome=\"nothing to read again\""));
    }

    /**
     * Waits for a signal and stops gracefully.
     *
     * @param processes what to stop, in this order
     * @param onReload  reads settings again, on SIGHUP
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
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
