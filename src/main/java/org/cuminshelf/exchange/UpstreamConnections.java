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
 * Connections to upstreams, kept for the next request where that is safe.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>An address is used again by another upstream. A connection belongs to one start of one upstream.</li>
 *   <li>An upstream closes an idle connection while a request is on its way there, so that nobody knows whether it ran.
 *       A connection is used again only well within the time for which the upstream said it keeps it.</li>
 * </ul>
 */
public final class UpstreamConnections implements AutoCloseable {

    private static final String LOG = "exchange: ";
    /** Share of the promised idle time after which a connection isn't used again; the rest covers delays on the way. */
    private static final double SAFE_SHARE = 0.6;
    /** Milliseconds for which a connection is kept where the upstream promised nothing; shorter than usual servers'. */
    private static final long UNPROMISED_MILLIS = 2_000;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MOST_THREADS = 6;
    private static final int FEWEST_THREADS = 2;

    /**
     * What a connection belongs to.
     *
     * @param address  the address
     * @param upstream identity of one start of the upstream there
     */
    record Key(Address address, String upstream) {}

    private final ReentrantLock lock;
    private final ClientConnector connector = new ClientConnector();
    private final Map<Key, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Map<Key, Set<UpstreamConnection>> open = new HashMap<>();
    private long totalOpened;

    private UpstreamConnections(ReentrantLock lock) {
        this.lock = lock;
    }

    /**
     * Starts without connections.
     *
     * @param lock held during every call of a handler
     * @return the connections
     * @throws IOException if the threads can't be started
     */
    public static UpstreamConnections start(ReentrantLock lock) throws IOException {
        UpstreamConnections connections = new UpstreamConnections(lock);
        QueuedThreadPool threads = new QueuedThreadPool(MOST_THREADS, FEWEST_THREADS);
        threads.setName("upstreams");
        connections.connector.setExecutor(threads);
        connections.connector.setSelectors(1);
        connections.connector.setConnectTimeout(CONNECT_TIMEOUT);
        connections.connector.setIdleTimeout(Duration.ZERO);
        try {
            connections.connector.setSslContextFactory(withoutTls());
            connections.connector.start();
        } catch (Exception e) {
            throw new IOException("can't start the connections to upstreams: " + e.getMessage(), e);
        }
        return connections;
    }

    /**
     * The connector insists on a TLS context and would read the machine's certificates for it, which took 0.04 of the
     * 0.54 s of processor time of an entry's start, though connections to upstreams are in the clear. This one trusts
     * no certificate at all, so that TLS over it would fail.
     */
    private static SslContextFactory.Client withoutTls() throws GeneralSecurityException {
        SSLContext trustless = SSLContext.getInstance("TLS");
        trustless.init(new KeyManager[0], new TrustManager[0], null);
        SslContextFactory.Client factory = new SslContextFactory.Client();
        factory.setSslContext(trustless);
        return factory;
    }

    /**
     * Sends a request over a kept connection, or a new one. Under the lock.
     *
     * @param address  where
     * @param upstream identity of the upstream's start
     * @param request  the request
     * @param handler  takes the answer
     * @return the exchange, to cancel it
     */
    public UpstreamExchange send(Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
        Key key = new Key(address, upstream);
        Pending pending = new Pending(key, request, handler);
        UpstreamConnection kept = takeIdle(key);
        if (kept != null) {
            pending.connection = kept;
            kept.send(request, handler);
        } else {
            connect(key, pending);
        }
        return pending;
    }

    /**
     * Opens a connection without a request on it, and keeps it for the next one. Under the lock.
     *
     * @param address  where
     * @param upstream identity of the upstream's start
     * @param whenSeen takes what that showed, under the lock
     */
    public void probe(Address address, String upstream, Consumer<Reachability> whenSeen) {
        connect(new Key(address, upstream), new Probe(whenSeen));
    }

    /**
     * Forgets the idle connections to an upstream. Guards against connections that went silent: all kept ones may have.
     *
     * @param address  where
     * @param upstream identity of the upstream's start
     */
    public void closeIdle(Address address, String upstream) {
        Deque<UpstreamConnection> kept = idle.remove(new Key(address, upstream));
        if (kept != null) {
            List.copyOf(kept).forEach(UpstreamConnection::drop);
        }
    }

    /**
     * Connections to an upstream that are open now.
     *
     * @param address  where
     * @param upstream identity of the upstream's start
     * @return their number
     */
    public int openConnectionCount(Address address, String upstream) {
        return open.getOrDefault(new Key(address, upstream), Set.of()).size();
    }

    /**
     * Connections opened since the start.
     *
     * @return their number
     */
    public long totalOpened() {
        return totalOpened;
    }

    /** Ends connections that may no longer be used. Under the lock, about once a second. */
    public void sweep() {
        long now = System.nanoTime();
        List<UpstreamConnection> stale = new ArrayList<>();
        idle.values()
                .forEach(kept -> kept.forEach(connection -> {
                    if (!isUsable(connection, now)) {
                        stale.add(connection);
                    }
                }));
        stale.forEach(UpstreamConnection::drop);
    }

    @Override
    public void close() {
        try {
            connector.stop();
        } catch (Exception e) {
            Logger.debug(LOG + "The connections to upstreams did not stop cleanly: {}.", e.getMessage());
        }
    }

    ReentrantLock lock() {
        return lock;
    }

    void connected(UpstreamConnection connection) {
        totalOpened++;
        open.computeIfAbsent(connection.key(), key -> new HashSet<>()).add(connection);
    }

    void released(UpstreamConnection connection) {
        idle.computeIfAbsent(connection.key(), key -> new ArrayDeque<>()).push(connection);
    }

    void ended(UpstreamConnection connection) {
        remove(idle, connection);
        remove(open, connection);
    }

    private static <C extends java.util.Collection<UpstreamConnection>> void remove(
            Map<Key, C> table, UpstreamConnection connection) {
        C row = table.get(connection.key());
        if (row != null) {
            row.remove(connection);
            if (row.isEmpty()) {
                table.remove(connection.key());
            }
        }
    }

    private UpstreamConnection takeIdle(Key key) {
        Deque<UpstreamConnection> kept = idle.get(key);
        long now = System.nanoTime();
        while (kept != null && !kept.isEmpty()) {
            UpstreamConnection newest = kept.pop();
            if (isUsable(newest, now)) {
                return newest;
            }
            newest.drop();
            kept = idle.get(key);
        }
        return null;
    }

    private static boolean isUsable(UpstreamConnection connection, long now) {
        long idleNanos = now - connection.idleSince();
        long promised = connection.keptSeconds();
        long limit = promised < 0
                ? UNPROMISED_MILLIS * NANOS_PER_SECOND / 1_000
                : (long) (promised * NANOS_PER_SECOND * SAFE_SHARE);
        return idleNanos < limit;
    }

    private void connect(Key key, Promise<org.eclipse.jetty.io.Connection> whenMade) {
        String value = key.address().value();
        int colon = value.lastIndexOf(':');
        InetSocketAddress where =
                new InetSocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
        ClientConnectionFactory factory =
                (endPoint, context) -> new UpstreamConnection(this, key, endPoint, connector.getExecutor());
        Map<String, Object> context = new HashMap<>();
        context.put(ClientConnectionFactory.CONTEXT_KEY, factory);
        context.put(Transport.class.getName(), Transport.TCP_IP);
        context.put(ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY, whenMade);
        connector.connect(where, context);
    }

    /** A connection that is opened to see whether anybody listens. */
    private final class Probe implements Promise<org.eclipse.jetty.io.Connection> {

        private final Consumer<Reachability> whenSeen;

        private Probe(Consumer<Reachability> whenSeen) {
            this.whenSeen = whenSeen;
        }

        @Override
        public void succeeded(org.eclipse.jetty.io.Connection made) {
            lock.lock();
            try {
                ((UpstreamConnection) made).idle();
                whenSeen.accept(Reachability.LISTENING);
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void failed(Throwable failure) {
            lock.lock();
            try {
                whenSeen.accept(isRefusal(failure) ? Reachability.REFUSED : Reachability.UNKNOWN);
            } finally {
                lock.unlock();
            }
        }

        /** The JDK throws this exception for refusals, its subclasses for unreachable hosts among others. */
        private static boolean isRefusal(Throwable failure) {
            return failure.getClass() == ConnectException.class;
        }
    }

    /** A request that waits for its connection, or has it. */
    private final class Pending implements UpstreamExchange, Promise<org.eclipse.jetty.io.Connection> {

        private final Key key;
        private final UpstreamRequest request;
        private final UpstreamHandler handler;
        private UpstreamConnection connection;
        private boolean cancelled;

        private Pending(Key key, UpstreamRequest request, UpstreamHandler handler) {
            this.key = key;
            this.request = request;
            this.handler = handler;
        }

        @Override
        public void succeeded(org.eclipse.jetty.io.Connection made) {
            lock.lock();
            try {
                connection = (UpstreamConnection) made;
                if (cancelled) {
                    connection.idle();
                } else {
                    connection.send(request, handler);
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
        public void cancel() {
            if (cancelled) {
                return;
            }
            cancelled = true;
            if (connection != null) {
                connection.dropIfServing(handler);
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
