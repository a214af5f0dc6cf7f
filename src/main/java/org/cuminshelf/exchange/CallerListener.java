package org.cuminshelf.exchange;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tinylog.Logger;

/** One listening port whose requests are taken under the lock of the core that answers them. */
public final class CallerListener implements AutoCloseable {

    private static final String LOG = "exchange: ";
    /** Connections that may wait to be accepted; a burst of callers on one process is some hundred. */
    private static final int ACCEPT_QUEUE = 1_024;
    /** Milliseconds between two looks for idle and slow connections; an eighth of the shortest usual limit. */
    private static final long SWEEP_MILLIS = 250;

    private static final int MOST_THREADS = 6;
    private static final int FEWEST_THREADS = 2;

    private final ReentrantLock lock;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Server server;
    private final ServerConnector connector;
    private volatile boolean draining;
    private volatile boolean accepting = true;

    private CallerListener(ReentrantLock lock, CallerHandler handler, Supplier<CallerLimits> limits) {
        this.lock = lock;
        this.handler = handler;
        this.limits = limits;
        QueuedThreadPool threads = new QueuedThreadPool(MOST_THREADS, FEWEST_THREADS);
        threads.setName("callers");
        this.server = new Server(threads);
        this.connector = new ServerConnector(server, null, null, null, 0, 1, new Factory());
    }

    /**
     * Starts to listen.
     *
     * @param address the address
     * @param lock    held during every call of the handler
     * @param handler takes requests
     * @param limits  what callers may send, asked for anew each time
     * @return the listener
     * @throws IOException if the address can't be used
     */
    public static CallerListener start(
            Address address, ReentrantLock lock, CallerHandler handler, Supplier<CallerLimits> limits)
            throws IOException {
        CallerListener listener = new CallerListener(lock, handler, limits);
        String value = address.value();
        int colon = value.lastIndexOf(':');
        listener.connector.setHost(value.substring(0, colon));
        listener.connector.setPort(Integer.parseInt(value.substring(colon + 1)));
        listener.connector.setAcceptQueueSize(ACCEPT_QUEUE);
        listener.connector.setIdleTimeout(0);
        listener.server.addConnector(listener.connector);
        try {
            listener.server.start();
        } catch (Exception e) {
            throw new IOException("can't listen on " + address + ": " + e.getMessage(), e);
        }
        listener.sweepLater();
        return listener;
    }

    /**
     * The port in use.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /** From now on each answer asks its caller to open another connection for its next request. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Takes no new connections from now on; those that are open stay. Closing the connector alone isn't enough: what
     * the system still hands over is closed unread, so that its caller knows that nothing of its request was taken.
     */
    public void stopAccepting() {
        accepting = false;
        connector.close();
    }

    /** Ends the connections that wait for a next request. */
    public void closeIdleConnections() {
        lock.lock();
        try {
            List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            Logger.debug(LOG + "A listener did not stop cleanly: {}.", e.getMessage());
        }
    }

    ReentrantLock lock() {
        return lock;
    }

    CallerHandler handler() {
        return handler;
    }

    CallerLimits limits() {
        return limits.get();
    }

    boolean isDraining() {
        return draining;
    }

    boolean isAccepting() {
        return accepting;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    void refused(int status, String reason) {
        Logger.info(LOG + "event=bad-request status={} reason=\"{}\"", status, reason);
    }

    private void sweepLater() {
        if (server.isRunning()) {
            connector.getScheduler().schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        lock.lock();
        try {
            long now = System.nanoTime();
            List.copyOf(connections).forEach(connection -> connection.sweep(now));
        } finally {
            lock.unlock();
            sweepLater();
        }
    }

    private final class Factory extends AbstractConnectionFactory {

        private Factory() {
            super("http/1.1");
        }

        @Override
        public Connection newConnection(Connector from, EndPoint endPoint) {
            return new CallerConnection(CallerListener.this, endPoint, from.getExecutor());
        }
    }
}
