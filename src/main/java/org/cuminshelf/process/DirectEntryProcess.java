package org.cuminshelf.process;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.direct.DirectCore;
import org.cuminshelf.direct.DirectSettings;
import org.cuminshelf.direct.UpstreamClient;
import org.cuminshelf.direct.UpstreamProtocol;
import org.cuminshelf.exchange.CallerConnectionLog;
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
import org.cuminshelf.message.WallClock;
import org.cuminshelf.network.TcpNetwork;
import org.cuminshelf.routes.RouteTable;
import org.eclipse.jetty.http.HttpFields;
import org.tinylog.Logger;

/**
 * A running entry that connects to upstreams directly, without sidecars. The core runs under a single lock on the
 * thread that delivers an event, so bytes pass from an upstream to its caller without a thread switch. With only a
 * fraction of a CPU core available, a switch costs more than the work itself.
 */
public final class DirectEntryProcess implements ServingProcess {

    private static final String LOG = "entry: ";
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    /**
     * Settings of a direct entry besides the common ones.
     *
     * @param settings         settings of the core
     * @param callerAddress    address on which callers connect
     * @param readinessAddress address of the readiness check of the load balancer, or empty for none
     * @param metricsAddress   address on which metrics are served, or empty for none
     * @param protocol         the protocol of callers and upstreams
     * @param configParser     parses the accepted configuration; empty if it is malformed
     */
    public record Options(
            DirectSettings settings,
            Address callerAddress,
            Optional<Address> readinessAddress,
            Optional<Address> metricsAddress,
            UpstreamProtocol protocol,
            Function<byte[], Optional<RouteTable>> configParser) {}

    private final CommonSettings common;
    private final ReentrantLock lock = new ReentrantLock();
    private final TcpNetwork network;
    private final CountingInvariants invariants = CountingInvariants.create();
    private final UpstreamConnections connections;
    private final DirectCore core;
    private final LockedCoreRunner runner;
    private final BackgroundConfigReader configReader;
    private final long incarnation;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final RateLimitedDecisionLog decisionLog =
            RateLimitedDecisionLog.create(LOG, DecisionMetrics.register(registry));
    private Optional<MetricsServer> metricsServer = Optional.empty();
    private CallerListener callerListener;
    private Optional<CallerListener> readinessListener = Optional.empty();

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
        this.configReader = new BackgroundConfigReader(lock, options.configParser(), this::wakeIfDue);
        this.connections = UpstreamConnections.start(lock);
        this.core = DirectCore.start(
                options.settings(),
                common.listen(),
                options.protocol(),
                configReader,
                new PooledUpstreamClient(),
                System::nanoTime,
                invariants,
                decisionLog);
        this.runner = new LockedCoreRunner(lock, core, outbox, this::sweep);
        registerGauges();
    }

    /**
     * Starts a direct entry.
     *
     * @param common  the common settings
     * @param options the settings of a direct entry
     * @return the running process
     * @throws IOException if the process cannot listen on one of its addresses
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
        network.listen(common.listen(), runner::accept);
        callerListener = CallerListener.start(
                options.callerAddress(),
                lock,
                new CallerRequestHandler(),
                core::callerLimits,
                CallerConnectionLog.register(registry, invariants));
        if (options.readinessAddress().isPresent()) {
            readinessListener = Optional.of(CallerListener.start(
                    options.readinessAddress().get(), lock, new ReadinessHandler(), () -> CallerLimits.DEFAULT));
        }
        runner.start();
        if (options.metricsAddress().isPresent()) {
            metricsServer =
                    Optional.of(MetricsServer.open(options.metricsAddress().get(), registry));
        }
        Logger.info(
                LOG + "event=start vm={} callers={} messages={}",
                common.vm(),
                options.callerAddress(),
                common.listen());
    }

    private void registerCoreGauges() {
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_core_failures",
                "Messages and ticks that the core failed to process; report any value above 0 as a bug.",
                runner::failures);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_core_always_due",
                "Times the core was due at once for many ticks in a row; report any value above 0 as a bug.",
                runner::alwaysDueCount);
    }

    private void registerGauges() {
        EntryProcess.registerGauge(
                registry, "cuminshelf_config_version", "Version of the configuration in force.", core::configVersion);
        EntryProcess.registerGauge(registry, "cuminshelf_open_calls", "Calls in progress.", core::openCalls);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_upstream_connections_opened",
                "Connections to upstreams opened since the start.",
                connections::totalOpened);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_suspected_requests",
                "Requests that were running when an upstream crashed and have not completed successfully since.",
                core::suspectedRequests);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_quarantined_requests",
                "Requests refused because running them crashed upstreams.",
                core::quarantinedRequests);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_limited_upstreams",
                "Upstreams that announce a request limit.",
                core::limitedUpstreams);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_resting_upstreams",
                "Upstreams that requested backoff from this entry.",
                core::upstreamsInBackoff);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_late_milliseconds",
                "Longest time by which this process ran late in the last one to two seconds.",
                locked(core::lateMillis));
        registerRetryGauges();
        registerLoadGauges();
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_calls_refused_for_priority",
                "Calls refused since the start because a more urgent kind was served less than theirs.",
                core::callsRefusedForPriority);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_calls_sent_for_share",
                "Late calls sent since the start because their kind or organisation had been served too little.",
                core::callsSentForShare);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_share_groups",
                "Kinds and organisations whose answered shares are kept.",
                core::shareGroups);
        registerCoreGauges();
        EntryProcess.registerGauge(
                registry, "cuminshelf_invariant_breach_count", "Invariant violations detected.", invariants::count);
    }

    /**
     * Returns a figure that is read while the core does nothing else. Its tables change with each message, so that a
     * scrape beside them could fail.
     */
    private LongSupplier locked(LongSupplier figure) {
        return () -> {
            lock.lock();
            try {
                return figure.getAsLong();
            } finally {
                lock.unlock();
            }
        };
    }

    /** Registers the figures from which the retries of all entries in a window can be added up. */
    private void registerRetryGauges() {
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_retries_granted",
                "Retries taken from the budgets of services since the start.",
                locked(core::retriesGranted));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_retries_given_back",
                "Granted retries that were not used, since the start.",
                locked(core::retriesGivenBack));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_retries_sent_as_prefill",
                "Prefills sent beyond the first arrival of their request since the start.",
                locked(core::retriesSentAsPrefill));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_retries_sent_as_run",
                "Runs sent beyond the first arrival of their request since the start.",
                locked(core::retriesSentAsRun));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_retries_refused",
                "Calls not retried as the budget of their service had nothing left, since the start.",
                locked(core::retriesRefused));
    }

    /** Registers the figures by which an operator sees the decisions under load. */
    private void registerLoadGauges() {
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_outlier_upstreams",
                "Upstreams that answer more requests with errors than their peers.",
                locked(core::outlierUpstreams));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_upstream_errors",
                "Errors of upstreams since the start, without rejections for lack of capacity.",
                locked(core::upstreamErrors));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_requests_to_outliers",
                "Requests sent to outlier upstreams since the start.",
                locked(core::requestsToOutliers));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_slow_plain_upstreams",
                "Plain upstreams whose service time exceeds that of their peers by half.",
                locked(core::slowPlainUpstreams));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_waited_plain_calls",
                "Plain calls that have waited for a slot of an upstream since the start.",
                locked(core::waitedPlainCalls));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_slow_engines",
                "Engines whose intervals between events exceed the mean of their service by half.",
                locked(core::slowUpstreams));
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_streams_with_long_gaps",
                "Completed streams with a gap between events beyond the limit of their route since the start.",
                locked(core::streamsWithLongGaps));
    }

    /**
     * Replaces the seed addresses of the control processes after a change of the settings.
     *
     * @param seeds message addresses of the control processes
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

    private void deliver(Address to, Envelope.Builder message, boolean freshConnection) {
        if (!to.isLocal()) {
            network.send(
                    to,
                    message.setFrom(common.listen().value())
                            .setIncarnation(incarnation)
                            .build(),
                    freshConnection);
        }
    }

    private void sweep() {
        connections.closeStale();
        core.accept(System.nanoTime(), wallClockMessage(), outbox);
    }

    private static Envelope wallClockMessage() {
        return Envelope.newBuilder()
                .setFrom(Address.PROCESS.value())
                .setWallClock(WallClock.newBuilder().setEpochMs(System.currentTimeMillis()))
                .build();
    }

    private void wakeIfDue() {
        runner.wakeIfDue();
    }

    /** Passes requests of callers to the core. */
    private final class CallerRequestHandler implements CallerHandler {
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

    /** Answers the readiness checks of the load balancer. */
    private final class ReadinessHandler implements CallerHandler {
        @Override
        public void onRequest(ReceivedRequest request, CallerExchange exchange) {
            exchange.respond(
                    core.isReady() && runner.isHealthy() ? OK : SERVICE_UNAVAILABLE,
                    HttpFields.EMPTY,
                    ByteBuffer.allocate(0));
        }

        @Override
        public void onDisconnect(CallerExchange exchange) {
            // onRequest has already answered.
        }
    }

    /** Sends requests to upstreams over the pooled connections. */
    private final class PooledUpstreamClient implements UpstreamClient {
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
        public void probe(Address address, String upstream, Consumer<Reachability> callback) {
            connections.probe(address, upstream, reachability -> {
                callback.accept(reachability);
                wakeIfDue();
            });
        }
    }

    /** Stops without cutting off a request where that can be, as {@link EntryShutdown} says. */
    @Override
    public boolean stopGracefully() throws InterruptedException {
        EntryShutdown shutdown =
                EntryShutdown.begin(common.vm(), common.graceMillis(), core, runner, lock, callerListener);
        Logger.info(LOG + "event=stop vm={} open={}", common.vm(), core.openCalls());
        decisionLog.logMoreCompletions();
        boolean finished = shutdown.await();
        close();
        Logger.info(LOG + "event=closed vm={} ms={}", common.vm(), shutdown.elapsedMillis());
        return finished;
    }

    @Override
    public void close() {
        runner.close();
        configReader.close();
        if (callerListener != null) {
            callerListener.close();
        }
        readinessListener.ifPresent(CallerListener::close);
        metricsServer.ifPresent(MetricsServer::close);
        connections.close();
        network.close();
    }
}
