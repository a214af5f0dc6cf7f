package org.cuminshelf.tools;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminshelf.process.ServingProcess;
import org.tinylog.Logger;

/**
 * Waits for a termination signal, then stops serving processes gracefully, one after the other.
 *
 * <p>Guards against requests that are lost when the signal comes while a process starts: its port is open before it is
 * ready, and without a handler the signal would end it at once. So the signals are handled before anything is started.
 */
public final class GracefulShutdown {

    private final CountDownLatch signalled = new CountDownLatch(1);
    private final AtomicReference<Runnable> onReload = new AtomicReference<>(GracefulShutdown::ignoreReload);

    private GracefulShutdown() {}

    /**
     * Handles termination signals and SIGHUP from now on.
     *
     * @return the shutdown, which is carried out once the processes are known
     */
    public static GracefulShutdown handleSignals() {
        GracefulShutdown shutdown = new GracefulShutdown();
        Signals.onHangUp(() -> shutdown.onReload.get().run());
        Signals.onStop(shutdown.signalled::countDown);
        return shutdown;
    }

    private static void ignoreReload() {
        Logger.info("process: event=reload outcome=\"nothing to read again\"");
    }

    /**
     * Waits for SIGTERM or SIGINT and stops the processes gracefully. SIGHUP is logged and has no other effect.
     *
     * @param processes the processes, in the order in which they are stopped
     * @return the exit code; success if all processes finished their work
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static int awaitSignal(List<ServingProcess> processes) throws InterruptedException {
        return handleSignals().await(processes);
    }

    /**
     * Reloads the settings on each SIGHUP from now on.
     *
     * @param action reloads the settings
     */
    public void onReload(Runnable action) {
        onReload.set(action);
    }

    /**
     * Waits for SIGTERM or SIGINT, which may have come already, and stops the processes gracefully.
     *
     * @param processes the processes, in the order in which they are stopped
     * @return the exit code; success if all processes finished their work
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public int await(List<ServingProcess> processes) throws InterruptedException {
        signalled.await();
        boolean allFinished = true;
        for (ServingProcess process : processes) {
            allFinished &= process.stopGracefully();
        }
        return allFinished ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
