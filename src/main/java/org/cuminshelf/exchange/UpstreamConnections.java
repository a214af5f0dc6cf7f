package org.cuminshelf.exchange;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tinylog.Logger;

/**
 * A pool of connections to upstreams, which reuses them where that is safe.
 *
 * <p>Guards against:
 * <ul>
 *   <li>Reuse of an address by another upstream: a connection belongs to one instance of an upstream process.</li>
 *   <li>An upstream that closes an idle connection while a request is in transit, which leaves unknown whether the
 *       request ran: a connection is reused only well within the idle timeout that the upstream announced.</li>
 * </ul>
 */
public final class UpstreamConnections implements AutoCloseable {

    private static final String LOG = "exchange: ";
    /** Fraction of the announced idle timeout during which a connection is reused; the rest covers network delays. */
    private static final double REUSE_FRACTION_OF_IDLE_TIMEOUT = 0.6;
    /** Idle timeout if the upstream announced none; shorter than that of common servers. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 2_000;

    /**
     * Longer than a round trip between regions. A request whose connection is not established has not run, so that it
     * goes elsewhere while its caller still gets an answer in time.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;

    /**
     * Identifies the upstream instance that a connection belongs to.
     *
     * @param address  address of the upstream
     * @param upstream ID of the upstream's instance
     */
    record ConnectionKey(Address address, String upstream) {}

    private final ReentrantLock lock;
    private final ClientConnector connector = new ClientConnector();
    private final Map<ConnectionKey, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Map<ConnectionKey, Set<UpstreamConnection>> open = new HashMap<>();
    private ReadTurns readTurns;
    private long totalOpened;

    private UpstreamConnections(ReentrantLock lock) {
        this.lock = lock;
    }

    /**
     * Starts an empty pool.
     *
     * @param lock lock that is held during every call of a handler
     * @return the pool
     * @throws IOException if the connector can't be started
     */
    public static UpstreamConnections start(ReentrantLock lock) throws IOException {
        UpstreamConnections connections = new UpstreamConnections(lock);
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("upstreams");
        connections.connector.setExecutor(threads);
        connections.connector.setSelectors(1);
        connections.connector.setConnectTimeout(CONNECT_TIMEOUT);
        connections.connector.setIdleTimeout(Duration.ZERO);
        try {
            connections.connector.setSslContextFactory(sslContextWithoutTrust());
            connections.connector.start();
            connections.readTurns = new ReadTurns(connections.connector.getScheduler());
        } catch (Exception e) {
            throw new IOException("can't start the pool of connections to upstreams: " + e.getMessage(), e);
        }
        return connections;
    }

    /**
     * Returns a TLS context without trusted certificates, with which any TLS handshake would fail. Connections to
     * upstreams are in clear text, but the connector requires a context and by default loads the system's certificates,
     * which takes 0.04 s of the 0.54 s of CPU time of an entry's start.
     */
    private static SslContextFactory.Client sslContextWithoutTrust() throws GeneralSecurityException {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(new KeyManager[0], new TrustManager[0], null);
        SslContextFactory.Client factory = new SslContextFactory.Client();
        factory.setSslContext(context);
        return factory;
    }

    /**
     * Sends a request over an idle or a new connection. The lock must be held.
     *
     * @param address  address of the upstream
     * @param upstream ID of the upstream's instance
     * @param request  the request
     * @param handler  handles the response
     * @return the exchange, by which the request can be cancelled
     */
    public UpstreamExchange send(Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
        ConnectionKey key = new ConnectionKey(address, upstream);
        PendingExchange exchange = new PendingExchange(key, request, handler);
        UpstreamConnection idleConnection = pollIdle(key);
        if (idleConnection != null) {
            exchange.connection = idleConnection;
            idleConnection.send(request, handler);
        } else {
            connect(key, exchange);
        }
        return exchange;
    }

    /**
     * Opens a connection without sending a request, and keeps it for the next one. The lock must be held.
     *
     * @param address  address of the upstream
     * @param upstream ID of the upstream's instance
     * @param onResult called with the result, under the lock
     */
    public void probe(Address address, String upstream, Consumer<Reachability> onResult) {
        connect(new ConnectionKey(address, upstream), new ConnectionProbe(onResult));
    }

    /**
     * Closes the idle connections to an upstream. Guards against half-open connections: if one has become unresponsive,
     * all idle ones may have.
     *
     * @param address  address of the upstream
     * @param upstream ID of the upstream's instance
     */
    public void closeIdle(Address address, String upstream) {
        Deque<UpstreamConnection> idleConnections = idle.remove(new ConnectionKey(address, upstream));
        if (idleConnections != null) {
            List.copyOf(idleConnections).forEach(UpstreamConnection::closeQuietly);
        }
    }

    /**
     * Returns the number of open connections to an upstream.
     *
     * @param address  address of the upstream
     * @param upstream ID of the upstream's instance
     * @return the number of open connections
     */
    public int openConnectionCount(Address address, String upstream) {
        return open.getOrDefault(new ConnectionKey(address, upstream), Set.of()).size();
    }

    /**
     * Returns the number of connections opened since the start.
     *
     * @return the number of connections
     */
    public long totalOpened() {
        return totalOpened;
    }

    /**
     * Closes idle connections that may no longer be reused, and ends responses that take too long. Called about once a
     * second, with the lock held.
     */
    public void closeStale() {
        long nowNanos = System.nanoTime();
        List<UpstreamConnection> staleConnections = new ArrayList<>();
        idle.values()
                .forEach(idleConnections -> idleConnections.forEach(connection -> {
                    if (!isReusable(connection, nowNanos)) {
                        staleConnections.add(connection);
                    }
                }));
        staleConnections.forEach(UpstreamConnection::closeQuietly);
        List<UpstreamConnection> openConnections =
                open.values().stream().flatMap(Set::stream).toList();
        openConnections.forEach(connection -> connection.failIfOverdue(nowNanos));
    }

    @Override
    public void close() {
        try {
            connector.stop();
        } catch (Exception e) {
            Logger.debug(LOG + "The pool of connections to upstreams did not stop cleanly: {}.", e.getMessage());
        }
    }

    ReentrantLock lock() {
        return lock;
    }

    ReadTurns readTurns() {
        return readTurns;
    }

    void onConnected(UpstreamConnection connection) {
        totalOpened++;
        open.computeIfAbsent(connection.key(), key -> new HashSet<>()).add(connection);
    }

    void onIdle(UpstreamConnection connection) {
        idle.computeIfAbsent(connection.key(), key -> new ArrayDeque<>()).push(connection);
    }

    void onClosed(UpstreamConnection connection) {
        remove(idle, connection);
        remove(open, connection);
    }

    private static <C extends java.util.Collection<UpstreamConnection>> void remove(
            Map<ConnectionKey, C> index, UpstreamConnection connection) {
        C connections = index.get(connection.key());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                index.remove(connection.key());
            }
        }
    }

    private UpstreamConnection pollIdle(ConnectionKey key) {
        Deque<UpstreamConnection> idleConnections = idle.get(key);
        long nowNanos = System.nanoTime();
        while (idleConnections != null && !idleConnections.isEmpty()) {
            UpstreamConnection mostRecent = idleConnections.pop();
            if (isReusable(mostRecent, nowNanos)) {
                return mostRecent;
            }
            mostRecent.closeQuietly();
            idleConnections = idle.get(key);
        }
        return null;
    }

    private static boolean isReusable(UpstreamConnection connection, long nowNanos) {
        long idleNanos = nowNanos - connection.idleSinceNanos();
        long announcedSeconds = connection.keepAliveSeconds();
        long limitNanos = announcedSeconds < 0
                ? DEFAULT_IDLE_TIMEOUT_MILLIS * NANOS_PER_SECOND / 1_000
                : (long) (announcedSeconds * NANOS_PER_SECOND * REUSE_FRACTION_OF_IDLE_TIMEOUT);
        return idleNanos < limitNanos;
    }

    private void connect(ConnectionKey key, Promise<org.eclipse.jetty.io.Connection> onConnection) {
        String value = key.address().value();
        int colon = value.lastIndexOf(':');
        InetSocketAddress socketAddress =
                new InetSocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
        ClientConnectionFactory factory =
                (endPoint, context) -> new UpstreamConnection(this, key, endPoint, connector.getExecutor());
        Map<String, Object> context = new HashMap<>();
        context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, onConnection);
        connector.connect(socketAddress, context);
    }

    /** Opens a connection to check whether a process listens on the address. */
    private final class ConnectionProbe implements Promise<org.eclipse.jetty.io.Connection> {

        private final Consumer<Reachability> onResult;

        private ConnectionProbe(Consumer<Reachability> onResult) {
            this.onResult = onResult;
        }

        @Override
        public void succeeded(org.eclipse.jetty.io.Connection connected) {
            lock.lock();
            try {
                ((UpstreamConnection) connected).returnUnused();
                onResult.accept(Reachability.LISTENING);
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void failed(Throwable failure) {
            lock.lock();
            try {
                onResult.accept(isRefusal(failure) ? Reachability.REFUSED : Reachability.UNKNOWN);
            } finally {
                lock.unlock();
            }
        }

        /** The JDK throws this class itself for refusals, and subclasses of it for unreachable hosts and others. */
        private static boolean isRefusal(Throwable failure) {
            return failure.getClass() == ConnectException.class;
        }
    }

    /** A request that waits for its connection or is being served on it. */
    private final class PendingExchange implements UpstreamExchange, Promise<org.eclipse.jetty.io.Connection> {

        private final ConnectionKey key;
        private final UpstreamRequest request;
        private final UpstreamHandler handler;
        private UpstreamConnection connection;
        private boolean cancelled;

        private PendingExchange(ConnectionKey key, UpstreamRequest request, UpstreamHandler handler) {
            this.key = key;
            this.request = request;
            this.handler = handler;
        }

        @Override
        public void succeeded(org.eclipse.jetty.io.Connection connected) {
            lock.lock();
            try {
                if (!cancelled) {
                    handler.beforeSend();
                }
                UpstreamConnection established = (UpstreamConnection) connected;
                if (cancelled) {
                    established.returnUnused();
                } else {
                    connection = established;
                    established.send(request, handler);
                }
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void failed(Throwable failure) {
            lock.lock();
            try {
                if (!cancelled) {
                    handler.onFailed(false, "no connection: " + failure.getMessage());
                }
            } finally {
                lock.unlock();
            }
        }

        @Override
        public boolean isSent() {
            return connection != null;
        }

        @Override
        public void cancel() {
            if (cancelled) {
                return;
            }
            cancelled = true;
            if (connection != null) {
                connection.closeIfServing(handler);
            }
        }

        @Override
        public void cancelAndReset() {
            if (!cancelled && connection != null) {
                connection.resetOnClose();
            }
            cancel();
        }
    }
}
