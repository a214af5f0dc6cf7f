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
import org.cuminshelf.organisations.Access;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.routes.Route;

/** The decisions of an entry that reaches upstreams straight. */
public final class DirectCore implements Core, CallerHandler {

    private static final long HOUSEKEEPING_EVERY = Durations.nanos(250);
    /** Time a caller is given where it names none; callers of today wait 8 s at most. */
    private static final long DEFAULT_DEADLINE_MILLIS = 8_000;

    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;

    private final LongSupplier clock;
    private final Address self;
    private final UpstreamProtocol protocol;
    private final DecisionLog log;
    private final UpstreamTable upstreams;
    private final PoisonSystem poison;
    private final UsageMeter usage;
    private final ControlFeed control;
    private final CallSystem calls;
    private final LoadGossip gossip;
    private final Backpressure backpressure;
    private final EarlyRequests early = new EarlyRequests();
    private final Map<CallerExchange, CallRow> byExchange = new HashMap<>();
    private long nextCall = 1;
    private long nextHousekeeping;
    private volatile boolean leaving;
    private boolean stopReported;

    private DirectCore(
            DirectSettings settings,
            Address self,
            UpstreamProtocol protocol,
            RouteReader reader,
            UpstreamPort port,
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
        this.poison = new PoisonSystem(port, upstreams, clock, settings.vm(), log);
        this.usage = new UsageMeter(settings.usageWindowMillis(), log);
        this.control = new ControlFeed(settings, reader, upstreams, poison, usage, now, invariants, log);
        EngineModels models = new EngineModels();
        DemandWatch demandWatch = new DemandWatch(backpressure, upstreams, log);
        Placement placement = new Placement(upstreams, control, models, backpressure, settings.zone());
        this.gossip = new LoadGossip(upstreams, models, backpressure, demandWatch, now);
        this.calls = new CallSystem(
                protocol,
                new PacedPort(port, backpressure, clock),
                upstreams,
                placement,
                control,
                new RepeatBudget(settings.repeats()),
                clock,
                invariants,
                log,
                models,
                gossip,
                backpressure,
                demandWatch,
                poison,
                usage);
        this.nextHousekeeping = now;
    }

    /**
     * Makes the core of a starting entry.
     *
     * @param settings   its place
     * @param self       its own address for messages
     * @param protocol   how the deployment's callers and upstreams write
     * @param reader     reads the accepted configuration
     * @param port       where requests to upstreams leave
     * @param clock      monotonic nanoseconds
     * @param invariants receives the outcome of assertions
     * @param log        takes decisions
     * @return the core
     */
    public static DirectCore start(
            DirectSettings settings,
            Address self,
            UpstreamProtocol protocol,
            RouteReader reader,
            UpstreamPort port,
            LongSupplier clock,
            Invariants invariants,
            DecisionLog log) {
        return new DirectCore(settings, self, protocol, reader, port, clock, invariants, log);
    }

    // ---- callers

    @Override
    public void onRequest(ReceivedRequest request, CallerExchange exchange) {
        long now = clock.getAsLong();
        CallIntent intent = protocol.intent(request);
        long patience = intent.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS);
        if (control.isReady()) {
            start(now, request, exchange, intent);
        } else if (!early.add(now, request, exchange, intent, patience)) {
            calls.callers().refuseUnready(exchange, intent);
        }
    }

    /** Starts a request that arrived now or, before this entry was ready, earlier. */
    private void start(long arrivedAt, ReceivedRequest request, CallerExchange exchange, CallIntent intent) {
        String host = Optional.ofNullable(request.headers().get("Host")).orElse("");
        Optional<Route> route = control.routes().route(host, request.path());
        if (route.isEmpty()) {
            refuseUnknown(exchange, intent, "no-route", NOT_FOUND, "No route stands for this host and path.");
            return;
        }
        switch (control.routes()
                .organisations()
                .access(intent.keys(), route.get().publicRoute())) {
            case Access.Member(Organisation organisation) ->
                start(arrivedAt, request, exchange, intent, route.get(), Optional.of(organisation));
            case Access.Anonymous() -> start(arrivedAt, request, exchange, intent, route.get(), Optional.empty());
            case Access.Denied(String reason) ->
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
        boolean behind = control.mayBeBehind(clock.getAsLong());
        log.note(
                "request",
                intent.id(),
                "outcome",
                behind ? "not-run" : "denied",
                "reason",
                reason,
                "config",
                control.version());
        if (behind) {
            calls.callers().refuseUntilCurrent(exchange);
        } else {
            calls.callers().plainly(exchange, status, text);
        }
    }

    private void start(
            long arrivedAt,
            ReceivedRequest request,
            CallerExchange exchange,
            CallIntent intent,
            Route route,
            Optional<Organisation> organisation) {
        String service = route.service(LongHashFunction.xx3().hashChars(intent.id()));
        long patience = Math.min(intent.deadlineMillis().orElse(DEFAULT_DEADLINE_MILLIS), route.timeoutMillis());
        CallRow call = new CallRow(
                nextCall++,
                request,
                exchange,
                intent,
                route,
                service,
                organisation,
                arrivedAt,
                arrivedAt + Durations.nanos(patience));
        byExchange.put(exchange, call);
        calls.start(clock.getAsLong(), call);
    }

    private void startEarly(long now) {
        if (control.isReady()) {
            early.takeAll().forEach(one -> start(one.arrivedAt(), one.request(), one.exchange(), one.intent()));
        }
        Optional<EarlyRequests.Early> overdue = early.takeOverdue(now);
        while (overdue.isPresent()) {
            calls.callers()
                    .refuseUnready(overdue.get().exchange(), overdue.get().intent());
            overdue = early.takeOverdue(now);
        }
    }

    @Override
    public void onGone(CallerExchange exchange) {
        early.remove(exchange);
        CallRow call = byExchange.remove(exchange);
        if (call != null) {
            calls.callerGone(clock.getAsLong(), call);
        }
    }

    // ---- messages and time

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case UPDATE -> {
                control.onUpdate(now, from, input.getUpdate());
                startEarly(now);
            }
            case CONFIG_BODY -> {
                control.onBody(now, from, input.getConfigBody());
                startEarly(now);
            }
            case ENTRY_LOAD -> gossip.onLoad(now, from, input.getEntryLoad());
            case WALL_CLOCK -> usage.ownClock(now, input.getWallClock().getEpochMs());
            case STOP -> leaving = true;
            default -> {
                // Not a message for such an entry.
            }
        }
    }

    @Override
    public void tick(long now, Outbox out) {
        control.tick(now, out);
        backpressure.limits().tick(now, control.entries());
        calls.tick(now);
        startEarly(now);
        if (now >= nextHousekeeping) {
            nextHousekeeping = now + HOUSEKEEPING_EVERY;
            upstreams.tick(now);
            backpressure.tick(now);
            byExchange.values().removeIf(call -> call.done);
        }
        gossip.tick(now, out, self, control.entries());
        if (leaving && openCalls() == 0 && !stopReported) {
            stopReported = true;
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    @Override
    public long nextDue() {
        long due = Math.min(Math.min(control.nextDue(), calls.nextDue()), Math.min(early.nextDue(), nextHousekeeping));
        return Math.min(due, gossip.nextDue(calls.open() > 0));
    }

    // ---- what the process asks

    /**
     * Tells whether this entry may be given new callers.
     *
     * @return true once a quorum confirmed the routes, until it leaves
     */
    public boolean isReady() {
        return control.isReady() && !leaving;
    }

    /**
     * Takes other control processes to begin with.
     *
     * @param seeds their addresses
     */
    public void seeds(List<Address> seeds) {
        control.seeds(seeds);
    }

    /**
     * What callers may send.
     *
     * @return the limits in force
     */
    public CallerLimits limits() {
        return control.routes().limits();
    }

    /**
     * The version of the routes in force here.
     *
     * @return the version, 0 before the first
     */
    public long configVersion() {
        return control.version();
    }

    /**
     * Counts the requests that may have crashed an upstream and have not ended well since.
     *
     * @return their number
     */
    public long suspectedRequests() {
        return poison.suspects();
    }

    /**
     * Counts the requests that are refused because upstreams crash when they run them.
     *
     * @return their number
     */
    public long quarantinedRequests() {
        return poison.quarantined();
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
        return calls.open() + early.size();
    }
}
