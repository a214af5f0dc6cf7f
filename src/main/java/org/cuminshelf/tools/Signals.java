package org.cuminshelf.tools;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * The signals that ask a process to stop. The first runs the graceful stop, the second ends at once. The handler class
 * is reached by name, since the JDK keeps it outside its supported interface.
 */
final class Signals {

    private static final String LOG = "process: ";
    private static final int ENDED_BY_SIGNAL = 143;

    private Signals() {}

    /** Handles SIGTERM and SIGINT. */
    static void onStop(Runnable graceful) {
        AtomicInteger count = new AtomicInteger();
        Runnable onSignal = () -> {
            if (count.incrementAndGet() > 1) {
                Runtime.getRuntime().halt(ENDED_BY_SIGNAL);
            }
            new Thread(graceful, "stop").start();
        };
        handle("TERM", onSignal);
        handle("INT", onSignal);
    }

    /** Handles SIGHUP, which without a handler would end the process. */
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
            Object made = signalClass.getConstructor(String.class).newInstance(signal);
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, made, handler);
        } catch (ReflectiveOperationException e) {
            Logger.warn(LOG + "SIG{} can't be handled; it ends the process at once.", signal);
        }
    }
}
