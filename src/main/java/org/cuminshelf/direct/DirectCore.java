package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerHandler;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stopped;
import org.cuminshelf.organisations.AccessDecision;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.routes.Route;

/** The decisions of an entry that reaches upstreams straight. */
public final class DirectCore implements Core, CallerHandler {

    private static final long HOUSEKEEPING_INTERVAL_NANOS = Durations.nanos(250);
    /** Time a caller is given where it names none; callers of today wait 8 s at most. */
    private static final long DEFAULT_DEADLINE_MILLIS = 8_000;

    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;

    private final LongSupplier clock;
    private final Address self;
    private final UpstreamProtocol protocol;
    private final DecisionLog log;
    private final UpstreamTable upstreams;
    private final PoisonGuard poisonGuard;
    private final UsageMeter usageMeter;
    private final ControlSubscription control;
    private final CallDispatcher callDispatcher;
    private final LoadGossip loadGossip;
    private final Backpressure backpressure;
    private final StartupRequestQueue earlyRequests = new StartupRequestQueue();
    private final Map<CallerExchange, DirectCall> callsByExchange = new HashMap<>();
    private long nextCallNumber = 1;
    private long nextHousekeepingNanos;
    private volatile boolean draining;
    private boolean stopReported;

    private DirectCore(
            DirectSettings settings,
            Address self,
            UpstreamProtocol protocol,
            RouteTableReader routeTableReader,
            UpstreamClient client,
            LongSupplier clock,
            Invariants invariants,
            DecisionLog log) {
        this.clock = clock;
        this.self = self;
        this.protocol = protocol;
        this.log = log;
        long now = clock.getAsLong();
        this.backpressure = Backpressure.create(self);
        this.upstreams = new UpstreamTable(backpressure.leavingUpstreams(), log);
        this.poisonGuard = new PoisonGuard(client, upstreams, clock, settings.vm(), log);
        this.usageMeter = new UsageMeter(settings.usageWindowMillis(), log);
        this.control = new ControlSubscription(
                settings, routeTableReader, upstreams, poisonGuard, usageMeter, now, invariants, log);
        EngineLatencyModels engineModels = new EngineLatencyModels();
        BackpressureListener backpressureListener = new BackpressureListener(backpressure, upstreams, log);
        UpstreamSelector selector =
                new UpstreamSelector(upstreams, control, engineModels, backpressure, settings.zone());
        this.loadGossip = new LoadGossip(upstreams, engineModels, backpressure, backpressureListener, now);
        this.callDispatcher = new CallDispatcher(
                protocol,
                new ThrottledUpstreamClient(client, backpressure, clock),
                upstreams,
                selector,
                control,
                new ServiceRetryBudget(settings.retryLimits()),
                clock,
                invariants,
                log,
                engineModels,
                loadGossip,
                backpressure,
                backpressureListener,
                poisonGuard,
                usageMeter);
        this.nextHousekeepingNanos = now;
    }

    /**
     * Makes the core of a starting entry.
     *
     * @param settings   its place
     * @param self       its own address for messages
     * @param protocol   how the deployment's callers and upstreams write
     * @param routeTableReader     reads the accepted configuration
     * @param client     where requests to upstreams leave
     * @param clock      monotonic nanoseconds
     * @param invariants receives the outcome of assertions
     * @param log        takes decisions
     * @return the core
     */
    public static DirectCore start(
            DirectSettings settings,
            Address self,
            UpstreamProtocol protocol,
            RouteTableReader routeTableReader,
            UpstreamClient client,
            LongSupplier clock,
            Invariants invariants,
            DecisionLog log) {
        return new DirectCore(settings, self, protocol, routeTableReader, client, clock, invariants, log);
    }

    // ---- callers

    @Override
    public void onRequest(ReceivedRequest request, CallerExchange exchange) {
        long now = clock.getAsLong();
        CallIntent intent = protocol.readIntent(request);
        long timeoutMillis = intent.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
        if (control.isReady()) {
            start(now, request, exchange, intent);
        } else if (!earlyRequests.add(now, request, exchange, intent, timeoutMillis)) {
            callDispatcher.responses().refuseNotReady(exchange, intent);
        }
    }

    /** Starts a request that arrived now or, before this entry was ready, earlier. */
    private void start(long arrivedAtNanos, ReceivedRequest request, CallerExchange exchange, CallIntent intent) {
        String host = Optional.ofNullable(request.headers().get("Host")).orElse("");
        Optional<Route> route = control.routes().route(host, request.path());
        if (route.isEmpty()) {
            refuseUnknown(exchange, intent, "no-route", NOT_FOUND, "No route stands for this host and path.");
            return;
        }
        switch (control.routes()
                .organisations()
                .authorise(intent.keys(), route.get().publicRoute())) {
            case AccessDecision.Authorised(Organisation organisation) ->
                start(arrivedAtNanos, request, exchange, intent, route.get(), Optional.of(organisation));
            case AccessDecision.Anonymous() ->
                start(arrivedAtNanos, request, exchange, intent, route.get(), Optional.empty());
            case AccessDecision.Denied(String reason) ->
                refuseUnknown(
                        exchange, intent, reason, UNAUTHORIZED, "This route asks for the key of an organisation.");
        }
    }

    /**
     * Refuses what the configuration in force does not know.
     *
     * <p>Failure it guards against: a caller uses a route or a key that was just added, at an entry that hasn't taken
     * the new configuration in or is cut off from control, and is told for good that there is none. Such an entry says
     * that the request did not run, and that the caller may come back.
     */
    private void refuseUnknown(CallerExchange exchange, CallIntent intent, String reason, int status, String text) {
        boolean outdated = control.mayBeOutdated(clock.getAsLong());
        log.note(
                "request",
                intent.id(),
                "outcome",
                outdated ? "not-run" : "denied",
                "reason",
                reason,
                "config",
                control.configVersion());
        if (outdated) {
            callDispatcher.responses().refuseOutdated(exchange);
        } else {
            callDispatcher.responses().respond(exchange, status, text);
        }
    }

    private void start(
            long arrivedAtNanos,
            ReceivedRequest request,
            CallerExchange exchange,
            CallIntent intent,
            Route route,
            Optional<Organisation> organisation) {
        String service = route.chooseService(LongHashFunction.xx3().hashChars(intent.id()));
        long timeoutMillis = Math.min(intent.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS), route.timeoutMillis());
        DirectCall call = new DirectCall(
                nextCallNumber++,
                request,
                exchange,
                intent,
                route,
                service,
                organisation,
                arrivedAtNanos,
                arrivedAtNanos + Durations.nanos(timeoutMillis));
        callsByExchange.put(exchange, call);
        callDispatcher.start(clock.getAsLong(), call);
    }

    private void startEarlyRequests(long now) {
        if (control.isReady()) {
            earlyRequests
                    .drain()
                    .forEach(request ->
                            start(request.arrivedAt(), request.request(), request.exchange(), request.intent()));
        }
        Optional<StartupRequestQueue.PendingRequest> overdue = earlyRequests.pollExpired(now);
        while (overdue.isPresent()) {
            callDispatcher
                    .responses()
                    .refuseNotReady(overdue.get().exchange(), overdue.get().intent());
            overdue = earlyRequests.pollExpired(now);
        }
    }

    @Override
    public void onGone(CallerExchange exchange) {
        earlyRequests.remove(exchange);
        DirectCall call = callsByExchange.remove(exchange);
        if (call != null) {
            callDispatcher.onCallerDisconnected(clock.getAsLong(), call);
        }
    }

    // ---- messages and time

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case UPDATE -> {
                control.onUpdate(now, from, input.getUpdate());
                startEarlyRequests(now);
            }
            case CONFIG_BODY -> {
                control.onConfigBody(now, from, input.getConfigBody());
                startEarlyRequests(now);
            }
            case ENTRY_LOAD -> loadGossip.onLoad(now, from, input.getEntryLoad());
            case WALL_CLOCK -> usageMeter.onWallClock(now, input.getWallClock().getEpochMs());
            case STOP -> draining = true;
            default -> {
                // Not a message for such an entry.
            }
        }
    }

    @Override
    public void tick(long now, Outbox out) {
        control.tick(now, out);
        backpressure.limits().tick(now, control.entries());
        callDispatcher.tick(now);
        startEarlyRequests(now);
        if (now >= nextHousekeepingNanos) {
            nextHousekeepingNanos = now + HOUSEKEEPING_INTERVAL_NANOS;
            upstreams.tick(now);
            backpressure.tick(now);
            callsByExchange.values().removeIf(call -> call.closed);
        }
        loadGossip.tick(now, out, self, control.entries());
        if (draining && openCalls() == 0 && !stopReported) {
            stopReported = true;
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    @Override
    public long nextDue() {
        long due = Math.min(
                Math.min(control.nextDue(), callDispatcher.nextDue()),
                Math.min(earlyRequests.nextDue(), nextHousekeepingNanos));
        return Math.min(due, loadGossip.nextDue(callDispatcher.openCalls() > 0));
    }

    // ---- what the process asks

    /**
     * Tells whether this entry may be given new callers.
     *
     * @return true once a quorum confirmed the routes, until it leaves
     */
    public boolean isReady() {
        return control.isReady() && !draining;
    }

    /**
     * Takes other control processes to begin with.
     *
     * @param seeds their addresses
     */
    public void replaceSeeds(List<Address> seeds) {
        control.replaceSeeds(seeds);
    }

    /**
     * What callers may send.
     *
     * @return the limits in force
     */
    public CallerLimits callerLimits() {
        return control.routes().limits();
    }

    /**
     * The version of the routes in force here.
     *
     * @return the version, 0 before the first
     */
    public long configVersion() {
        return control.configVersion();
    }

    /**
     * Counts the requests that may have crashed an upstream and have not ended well since.
     *
     * @return their number
     */
    public long suspectedRequests() {
        return poisonGuard.suspects();
    }

    /**
     * Counts the requests that are refused because upstreams crash when they run them.
     *
     * @return their number
     */
    public long quarantinedRequests() {
        return poisonGuard.quarantined();
    }

    /**
     * Counts the upstreams that state a limit on requests now.
     *
     * @return their number
     */
    public long limitedUpstreams() {
        return backpressure.limits().activeCount();
    }

    /**
     * Counts the upstreams that asked this entry for rest which isn't over.
     *
     * @return their number
     */
    public long restingUpstreams() {
        return backpressure.backoffs().activeCount(clock.getAsLong());
    }

    /**
     * Counts the calls not answered yet.
     *
     * @return their number
     */
    public int openCalls() {
        return callDispatcher.openCalls() + earlyRequests.size();
    }
}
