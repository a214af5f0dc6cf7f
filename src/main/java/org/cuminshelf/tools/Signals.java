package org.cuminshelf.tools;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Handlers for termination signals and for SIGHUP. The first termination signal starts the graceful shutdown. Further
 * SIGTERMs change nothing, as a platform may repeat them; a further SIGINT, from an operator at the keyboard, ends the
 * process at once. {@code sun.misc.Signal} is accessed by reflection, because it is not part of the supported interface
 * of the JDK.
 */
final class Signals {

    private static final String LOG_PREFIX = "process: ";
    private static final int INTERRUPTED_EXIT_CODE = 130;

    private Signals() {}

    /** Registers the graceful shutdown for SIGTERM and SIGINT; it runs on a thread of its own. */
    static void onStop(Runnable gracefulShutdown) {
        AtomicInteger signalCount = new AtomicInteger();
        handle("TERM", () -> onStopSignal("TERM", signalCount, gracefulShutdown));
        handle("INT", () -> {
            if (signalCount.get() > 0) {
                Runtime.getRuntime().halt(INTERRUPTED_EXIT_CODE);
            }
            onStopSignal("INT", signalCount, gracefulShutdown);
        });
    }

    private static void onStopSignal(String name, AtomicInteger signalCount, Runnable gracefulShutdown) {
        int count = signalCount.incrementAndGet();
        Logger.info(LOG_PREFIX + "event=stop-signal name={} count={}", name, count);
        if (count == 1) {
            new Thread(gracefulShutdown, "stop").start();
        }
    }

    /** Registers an action for SIGHUP, which would end the process if it had no handler. */
    static void onHangUp(Runnable action) {
        handle("HUP", () -> new Thread(action, "reload").start());
    }

    private static void handle(String signal, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.getName().equals("hashCode")
                                ? (Object) System.identityHashCode(proxy)
                                : method.getName().equals("equals") ? proxy == arguments[0] : "stop handler";
                    });
            Object signalObject = signalClass.getConstructor(String.class).newInstance(signal);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signalObject, handler);
        } catch (ReflectiveOperationException e) {
            Logger.warn(
                    LOG_PREFIX
                            + "Can't install a handler for SIG{}; the signal ends the process without a graceful"
                            + " shutdown.",
                    signal);
        }
    }
}
