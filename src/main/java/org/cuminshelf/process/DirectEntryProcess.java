package org.cuminshelf.process;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.direct.DirectCore;
import org.cuminshelf.direct.DirectSettings;
import org.cuminshelf.direct.RouteTableReader;
import org.cuminshelf.direct.UpstreamClient;
import org.cuminshelf.direct.UpstreamProtocol;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerHandler;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.CallerListener;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamConnections;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stop;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.network.TcpNetwork;
import org.cuminshelf.routes.RouteTable;
import org.eclipse.jetty.http.HttpFields;
import org.tinylog.Logger;

/**
 * An entry that reaches upstreams straight, as it runs. The core runs under one lock on whichever thread brings it
 * something: bytes go from an upstream to its caller without a change of threads, which on a fraction of a core costs
 * more than the work itself.
 */
public final class DirectEntryProcess implements ServingProcess {

    private static final String LOG = "entry: ";
    /** How long an entry that leaves goes on taking connections: the balancer needs two questions, a second apart. */
    private static final long ROTATION_MILLIS = 2_600;
    /** Part of the grace period that is left when the process ends in any case. */
    private static final long RESERVE_MILLIS = 400;

    private static final long LOOK_AGAIN_MILLIS = 20;
    private static final long LAST_LOOK_MILLIS = 60;
    private static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(1);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * What such an entry is told besides what every process is.
     *
     * @param settings  its place
     * @param callers   where callers connect
     * @param readiness where the balancer asks whether it takes callers, if it does
     * @param metrics   where metrics are served, if they are
     * @param protocol  how callers and upstreams write
     * @param format    reads the accepted configuration
     */
    public record Options(
            DirectSettings settings,
            Address callers,
            Optional<Address> readiness,
            Optional<Address> metrics,
            UpstreamProtocol protocol,
            Function<byte[], Optional<RouteTable>> format) {}

    private final CommonSettings common;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timer = lock.newCondition();
    private final TcpNetwork network;
    private final CountingInvariants invariants = CountingInvariants.create();
    private final UpstreamConnections connections;
    private final DirectCore core;
    private final Function<byte[], Optional<RouteTable>> format;
    private final ExecutorService configReader = Executors.newSingleThreadExecutor(
            Thread.ofPlatform().daemon().name("config").factory());
    private final Thread ticker = new Thread(this::tickOn, "core");
    private final long incarnation;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private Optional<MetricsServer> metrics = Optional.empty();
    private CallerListener callers;
    private Optional<CallerListener> readiness = Optional.empty();
    private long wakeAt;
    private long sweepAt;
    private volatile boolean running = true;

    private final Outbox outbox = new Outbox() {
        @Override
        public void send(Address to, Envelope.Builder message) {
            deliver(to, message, false);
        }

        @Override
        public void sendOnNewConnection(Address to, Envelope.Builder message) {
            deliver(to, message, true);
        }
    };

    private DirectEntryProcess(CommonSettings common, Options options) throws IOException {
        this.common = common;
        this.incarnation = System.currentTimeMillis() << 20 | System.nanoTime() & 0xFFFFF;
        this.network = TcpNetwork.open(1, common.meshTls());
        this.format = options.format();
        this.connections = UpstreamConnections.start(lock);
        this.core = DirectCore.start(
                options.settings(),
                common.listen(),
                options.protocol(),
                this::readRoutes,
                new Port(),
                System::nanoTime,
                invariants,
                RateLimitedDecisionLog.create(LOG, DecisionMetrics.register(registry)));
        describe();
    }

    /**
     * Starts an entry.
     *
     * @param common  what every process is told
     * @param options what such an entry is told
     * @return the running process
     * @throws IOException if an address can't be used
     */
    public static DirectEntryProcess start(CommonSettings common, Options options) throws IOException {
        DirectEntryProcess process = new DirectEntryProcess(common, options);
        try {
            process.open(options);
        } catch (IOException e) {
            process.close();
            throw e;
        }
        return process;
    }

    private void open(Options options) throws IOException {
        network.listen(common.listen(), this::accept);
        callers = CallerListener.start(options.callers(), lock, new Callers(), core::callerLimits);
        if (options.readiness().isPresent()) {
            readiness = Optional.of(
                    CallerListener.start(options.readiness().get(), lock, new Readiness(), () -> CallerLimits.DEFAULT));
        }
        ticker.start();
        if (options.metrics().isPresent()) {
            metrics = Optional.of(MetricsServer.open(options.metrics().get(), registry));
        }
        Logger.info(LOG + "event=start vm={} callers={} messages={}", common.vm(), options.callers(), common.listen());
    }

    private void describe() {
        EntryProcess.gauge(
                registry, "cuminshelf_config_version", "Version of the configuration in force.", core::configVersion);
        EntryProcess.gauge(registry, "cuminshelf_open_calls", "Calls not answered yet.", core::openCalls);
        EntryProcess.gauge(
                registry, "cuminshelf_upstream_connections_opened", "Connections opened.", connections::totalOpened);
        EntryProcess.gauge(
                registry,
                "cuminshelf_suspected_requests",
                "Requests that were at a crash of an upstream and have not ended well since.",
                core::suspectedRequests);
        EntryProcess.gauge(
                registry,
                "cuminshelf_quarantined_requests",
                "Requests refused because upstreams crash when they run them.",
                core::quarantinedRequests);
        EntryProcess.gauge(
                registry,
                "cuminshelf_limited_upstreams",
                "Upstreams that state a limit on requests.",
                core::limitedUpstreams);
        EntryProcess.gauge(
                registry,
                "cuminshelf_resting_upstreams",
                "Upstreams that asked this entry for rest.",
                core::upstreamsInBackoff);
        EntryProcess.gauge(registry, "cuminshelf_invariant_breach_count", "Promises found broken.", invariants::count);
    }

    /**
     * Takes other control processes to begin with, as changed settings name them.
     *
     * @param seeds their addresses for messages
     */
    public void replaceSeeds(List<Address> seeds) {
        lock.lock();
        try {
            core.replaceSeeds(seeds);
            Logger.info(LOG + "event=reload vm={} seeds={}", common.vm(), seeds);
        } finally {
            lock.unlock();
        }
    }

    private void accept(Envelope message) {
        lock.lock();
        try {
            core.accept(System.nanoTime(), message, outbox);
            wakeIfDue();
        } finally {
            lock.unlock();
        }
    }

    private void readRoutes(byte[] deflated, Consumer<Optional<RouteTable>> whenRead) {
        configReader.execute(() -> {
            Optional<RouteTable> read = RouteTableReader.parse(deflated, format);
            lock.lock();
            try {
                whenRead.accept(read);
                wakeIfDue();
            } finally {
                lock.unlock();
            }
        });
    }

    private void deliver(Address to, Envelope.Builder message, boolean fresh) {
        if (!to.isLocal()) {
            network.send(
                    to,
                    message.setFrom(common.listen().value())
                            .setIncarnation(incarnation)
                            .build(),
                    fresh);
        }
    }

    private void tickOn() {
        lock.lock();
        try {
            while (running) {
                long now = System.nanoTime();
                if (now >= core.nextDue()) {
                    core.tick(now, outbox);
                }
                if (now >= sweepAt) {
                    sweepAt = now + LONGEST_WAIT;
                    connections.sweep();
                    core.accept(now, wallClock(), outbox);
                }
                long wait = Math.min(LONGEST_WAIT, core.nextDue() - System.nanoTime());
                wakeAt = System.nanoTime() + wait;
                if (wait > 0) {
                    timer.awaitNanos(wait);
                }
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    private static Envelope wallClock() {
        return Envelope.newBuilder()
                .setFrom(Address.PROCESS.value())
                .setWallClock(WallClock.newBuilder().setEpochMs(System.currentTimeMillis()))
                .build();
    }

    /** Wakes the ticking thread if something fell due before it would wake by itself. */
    private void wakeIfDue() {
        if (core.nextDue() < wakeAt) {
            timer.signal();
        }
    }

    /** Callers' requests. */
    private final class Callers implements CallerHandler {
        @Override
        public void onRequest(ReceivedRequest request, CallerExchange exchange) {
            core.onRequest(request, exchange);
            wakeIfDue();
        }

        @Override
        public void onDisconnect(CallerExchange exchange) {
            core.onDisconnect(exchange);
        }
    }

    /** The balancer's question. */
    private final class Readiness implements CallerHandler {
        @Override
        public void onRequest(ReceivedRequest request, CallerExchange exchange) {
            exchange.respond(core.isReady() ? OK : UNAVAILABLE, HttpFields.EMPTY, ByteBuffer.allocate(0));
        }

        @Override
        public void onDisconnect(CallerExchange exchange) {
            // The answer was given within the question's own call.
        }
    }

    /** Requests to upstreams. */
    private final class Port implements UpstreamClient {
        @Override
        public UpstreamExchange send(
                Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
            return connections.send(address, upstream, request, handler);
        }

        @Override
        public void discardIdleConnections(Address address, String upstream) {
            connections.closeIdle(address, upstream);
        }

        @Override
        public void probe(Address address, String upstream, Consumer<Reachability> whenSeen) {
            connections.probe(address, upstream, seen -> {
                whenSeen.accept(seen);
                wakeIfDue();
            });
        }
    }

    /**
     * Leaves without cutting a request: says that it isn't ready, goes on taking connections until the balancer has
     * noticed and none after, asks callers to go elsewhere with each answer, and ends once nothing is open.
     */
    @Override
    public boolean stopGracefully() throws InterruptedException {
        long since = System.nanoTime();
        Logger.info(LOG + "event=stop vm={} open={}", common.vm(), core.openCalls());
        accept(Envelope.newBuilder()
                .setFrom(Address.PROCESS.value())
                .setStop(Stop.getDefaultInstance())
                .build());
        callers.startDraining();
        while (millisSince(since) < ROTATION_MILLIS) {
            Thread.sleep(LOOK_AGAIN_MILLIS);
        }
        // A connection taken now would bring a request that may not be finished in the time that is left.
        callers.stopAccepting();
        boolean finished = false;
        while (!finished && millisSince(since) < common.graceMillis() - RESERVE_MILLIS) {
            callers.closeIdleConnections();
            Thread.sleep(core.openCalls() > 0 ? LOOK_AGAIN_MILLIS : LAST_LOOK_MILLIS);
            finished = core.openCalls() == 0;
        }
        Logger.info(LOG + "event=stopped vm={} finished={} ms={}", common.vm(), finished, millisSince(since));
        close();
        return finished;
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    @Override
    public void close() {
        running = false;
        ticker.interrupt();
        configReader.shutdownNow();
        if (callers != null) {
            callers.close();
        }
        readiness.ifPresent(CallerListener::close);
        metrics.ifPresent(MetricsServer::close);
        connections.close();
        network.close();
    }
}
