package org.cuminshelf.exchange;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
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

/** A listening port for callers; its requests are handled under the lock of the core that responds to them. */
public final class CallerListener implements AutoCloseable {

    private static final String LOG = "exchange: ";
    /** Length of the backlog of connections to accept; a burst of callers on one process is a few hundred. */
    private static final int ACCEPT_BACKLOG = 1_024;
    /** Period of the check for idle and slow connections: an eighth of the shortest usual limit. */
    private static final long TIMEOUT_CHECK_MILLIS = 250;

    /** Maximum wait for the lock at the stop; the process must be gone at the end of its grace period. */
    private static final long MAX_STOP_WAIT_MILLIS = 100;

    /** Small enough that a slow caller shows progress well within an idle limit. */
    private static final int SEND_BUFFER_BYTES = 256 << 10;

    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;

    private final ReentrantLock lock;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final CallerConnectionLog connectionLog;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Server server;
    private final ServerConnector connector;
    private final ReadTurns readTurns;
    private volatile boolean draining;
    private volatile boolean accepting = true;

    private CallerListener(
            ReentrantLock lock, CallerHandler handler, Supplier<CallerLimits> limits, CallerConnectionLog log) {
        this.connectionLog = log;
        this.lock = lock;
        this.handler = handler;
        this.limits = limits;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("callers");
        this.server = new Server(threads);
        this.connector = new ServerConnector(server, null, null, null, 0, 1, new CallerConnectionFactory());
        this.readTurns = new ReadTurns(connector.getScheduler());
    }

    /**
     * Starts a listener without published counters.
     *
     * @param address address to bind
     * @param lock    lock that is held during every call of the handler
     * @param handler handles the requests
     * @param limits  supplies the current limits on requests
     * @return the running listener
     * @throws IOException if the address can't be bound
     */
    public static CallerListener start(
            Address address, ReentrantLock lock, CallerHandler handler, Supplier<CallerLimits> limits)
            throws IOException {
        return start(address, lock, handler, limits, CallerConnectionLog.unpublished());
    }

    /**
     * Starts a listener.
     *
     * @param address address to bind
     * @param lock    lock that is held during every call of the handler
     * @param handler handles the requests
     * @param limits  supplies the current limits on requests
     * @param log     receives how connections and requests end
     * @return the running listener
     * @throws IOException if the address can't be bound
     */
    public static CallerListener start(
            Address address,
            ReentrantLock lock,
            CallerHandler handler,
            Supplier<CallerLimits> limits,
            CallerConnectionLog log)
            throws IOException {
        CallerListener listener = new CallerListener(lock, handler, limits, log);
        String value = address.value();
        int colon = value.lastIndexOf(':');
        listener.connector.setHost(value.substring(0, colon));
        listener.connector.setPort(Integer.parseInt(value.substring(colon + 1)));
        listener.connector.setAcceptQueueSize(ACCEPT_BACKLOG);
        listener.connector.setIdleTimeout(0);
        listener.connector.setAcceptedSendBufferSize(SEND_BUFFER_BYTES);
        listener.server.addConnector(listener.connector);
        try {
            listener.server.start();
        } catch (Exception e) {
            throw new IOException("can't listen on " + address + ": " + e.getMessage(), e);
        }
        listener.scheduleTimeoutCheck();
        return listener;
    }

    /**
     * Returns the port that is bound.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /** Adds {@code Connection: close} to every response from now on, so that callers reconnect elsewhere. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Closes the port; open connections stay. The kernel resets the connections that wait for their acceptance, which
     * shows the caller that no request was processed. Those that are accepted already are closed unread.
     *
     * <p>Guards against a stopping process that spends its time on accepting connections only to close them: Jetty's
     * connector leaves the port open if it has no thread of its own for accepting.
     */
    public void stopAccepting() {
        accepting = false;
        connector.close();
        if (connector.getTransport() instanceof ServerSocketChannel port) {
            try {
                port.close();
            } catch (IOException e) {
                Logger.warn(LOG + "event=port-not-closed reason=\"{}\"", e.getMessage());
            }
        }
    }

    /** Closes the connections that have no request in progress. */
    public void closeIdleConnections() {
        lock.lock();
        try {
            List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Counts the connections with a request that is not read completely, or a response that the caller may not have
     * received completely.
     *
     * @return their number
     */
    public int unfinishedConnections() {
        lock.lock();
        try {
            return (int)
                    connections.stream().filter(CallerConnection::isUnfinished).count();
        } finally {
            lock.unlock();
        }
    }

    /** Refuses the requests that are not read completely, because the process stops. */
    public void refuseUnreadRequests() {
        lock.lock();
        try {
            List.copyOf(connections).forEach(CallerConnection::refuseIfReading);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        accepting = false;
        stopConnections();
        try {
            server.stop();
        } catch (Exception e) {
            Logger.debug(LOG + "The listener did not stop cleanly: {}.", e.getMessage());
        }
    }

    private void stopConnections() {
        try {
            if (!lock.tryLock(MAX_STOP_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                Logger.warn(LOG + "event=stop-uncounted reason=\"the lock is held\"");
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        try {
            List.copyOf(connections).forEach(CallerConnection::stop);
        } finally {
            lock.unlock();
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

    CallerConnectionLog connectionLog() {
        return connectionLog;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isAccepting() {
        return accepting;
    }

    ReadTurns readTurns() {
        return readTurns;
    }

    void register(CallerConnection connection) {
        connections.add(connection);
    }

    void unregister(CallerConnection connection) {
        connections.remove(connection);
    }

    void logRejected(int status, String reason) {
        Logger.info(LOG + "event=bad-request status={} reason=\"{}\"", status, reason);
    }

    private void scheduleTimeoutCheck() {
        if (server.isRunning()) {
            connector.getScheduler().schedule(this::checkTimeouts, TIMEOUT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkTimeouts() {
        lock.lock();
        try {
            long nowNanos = System.nanoTime();
            CallerLimits current = limits();
            List.copyOf(connections).forEach(connection -> connection.checkTimeouts(nowNanos, current));
        } catch (RuntimeException failure) {
            Logger.error(failure, LOG + "event=timeout-check-failed");
        } finally {
            lock.unlock();
            scheduleTimeoutCheck();
        }
    }

    private final class CallerConnectionFactory extends AbstractConnectionFactory {

        private CallerConnectionFactory() {
            super("http/1.1");
        }

        @Override
        public Connection newConnection(Connector from, EndPoint endPoint) {
            return new CallerConnection(CallerListener.this, endPoint, from.getExecutor());
        }
    }
}
