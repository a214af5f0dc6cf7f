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
import org.cuminshelf.core.TickLateness;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerHandler;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stop;
import org.cuminshelf.message.Stopped;
import org.cuminshelf.organisations.AccessDecision;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;

/**
 * The decision core of an entry that connects to upstreams directly, without sidecars. It does no I/O, and its process
 * calls it under one lock.
 */
public final class DirectCore implements Core, CallerHandler {

    private static final long HOUSEKEEPING_INTERVAL_NANOS = Durations.nanos(250);
    /** Deadline of requests that state none; current callers wait 8 s at most. */
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
    private final EventIntervals eventIntervals;
    private final GapForecasts gapForecasts;
    private final LoadGossip loadGossip;
    private final StreamRecords streamRecords;
    private final StreamResumptions resumptions;
    private final Backpressure backpressure;
    private final UpstreamOutliers outliers;
    private final PlainServiceTimes serviceTimes;
    private final BegunStreamWaits begunWaits = new BegunStreamWaits();
    private final StartupRequestQueue earlyRequests = new StartupRequestQueue();
    private final TickLateness lateness;
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
        this.lateness = TickLateness.create(now);
        this.backpressure = Backpressure.create(self);
        this.upstreams = new UpstreamTable(backpressure.leavingUpstreams(), log);
        this.poisonGuard = new PoisonGuard(client, upstreams, clock, self, settings.vm(), log);
        this.usageMeter = new UsageMeter(settings.usageWindowMillis(), log);
        this.control = new ControlSubscription(
                settings, routeTableReader, upstreams, poisonGuard, usageMeter, now, invariants, log);
        EngineLatencyModels engineModels = new EngineLatencyModels();
        BackpressureListener backpressureListener = new BackpressureListener(backpressure, upstreams, log);
        this.eventIntervals = new EventIntervals(upstreams, engineModels, now);
        this.gapForecasts = new GapForecasts(control, engineModels, eventIntervals);
        UnreportedOutcomes unreportedOutcomes = new UnreportedOutcomes();
        this.outliers = new UpstreamOutliers(upstreams, control, unreportedOutcomes, self, log);
        this.serviceTimes = new PlainServiceTimes(upstreams, unreportedOutcomes);
        poisonGuard.reportResetsTo(outliers::onReset);
        UpstreamSelector selector = createSelector(engineModels, settings.zone());
        this.loadGossip = new LoadGossip(
                upstreams,
                engineModels,
                eventIntervals,
                backpressure,
                backpressureListener,
                unreportedOutcomes,
                outliers,
                serviceTimes,
                begunWaits,
                now);
        this.streamRecords = new StreamRecords(self, control);
        this.resumptions =
                new StreamResumptions(self, streamRecords, upstreams, control, new ResumptionListener(), now, log);
        this.callDispatcher = new CallDispatcher(
                protocol,
                new ThrottledUpstreamClient(client, backpressure, clock),
                upstreams,
                selector,
                control,
                new ServiceRetryBudget(settings.retryLimits(), now),
                clock,
                invariants,
                log,
                lateness,
                engineModels,
                eventIntervals,
                loadGossip,
                backpressure,
                backpressureListener,
                poisonGuard,
                usageMeter,
                streamRecords,
                outliers,
                serviceTimes,
                begunWaits);
        this.nextHousekeepingNanos = now;
    }

    private UpstreamSelector createSelector(EngineLatencyModels engineModels, String zone) {
        return new UpstreamSelector(
                upstreams, control, engineModels, gapForecasts, backpressure, outliers, serviceTimes, begunWaits, zone);
    }

    /**
     * Creates the core of a starting entry.
     *
     * @param settings         its location, seeds and limits
     * @param self             its own address for messages
     * @param protocol         translates the HTTP requests and responses of the deployment
     * @param routeTableReader parses configurations
     * @param client           sends requests to upstreams
     * @param clock            monotonic clock in nanoseconds
     * @param invariants       receives the results of invariant checks
     * @param log              receives the decisions
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
        } else if (draining || !earlyRequests.add(now, request, exchange, intent, timeoutMillis)) {
            callDispatcher.responses().refuseNotReady(exchange, intent);
        }
    }

    /** Starts a request that arrived now, or earlier while this entry was not ready. */
    private void start(long arrivedAtNanos, ReceivedRequest request, CallerExchange exchange, CallIntent intent) {
        if (exchange.hasCallerLeft()) {
            callDispatcher.responses().logLeftUnrouted(clock.getAsLong(), intent, arrivedAtNanos);
            return;
        }
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
     * Refuses a request whose route or key the installed configuration does not contain.
     *
     * <p>Failure it guards against: a caller uses a route or key that was just added, and an entry that has not
     * installed that configuration yet, or is cut off from control, rejects it for good. Such an entry responds with
     * 503 and Retry-After instead.
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
        // All tries of a stream are of the service that began it.
        String service = route.chooseService(LongHashFunction.xx3().hashChars(intent.stream()));
        if (route.kind() == RequestKind.STREAM
                && route.isRepeatable()
                && intent.resumeAfter().isPresent()) {
            resumptions.add(
                    clock.getAsLong(),
                    new ResumedStream(request, exchange, intent, route, organisation, arrivedAtNanos, service));
            return;
        }
        startCall(arrivedAtNanos, request, exchange, intent, route, organisation, service, Optional.empty());
    }

    private final class ResumptionListener implements StreamResumptions.Listener {

        @Override
        public void onOriginKnown(long now, ResumedStream stream, String service, StreamOrigin origin) {
            if (stream.route.services().stream()
                    .noneMatch(weighted -> weighted.service().equals(service))) {
                // The route has been moved to other services, which did not begin the stream.
                onOriginUnknown(now, stream);
                return;
            }
            startCall(
                    stream.arrivedAtNanos,
                    stream.request,
                    stream.exchange,
                    stream.intent,
                    stream.route,
                    stream.organisation,
                    service,
                    Optional.of(origin));
        }

        @Override
        public void onOriginUnknown(long now, ResumedStream stream) {
            callDispatcher.responses().refuseUnknownVersion(stream.exchange);
        }
    }

    private void startCall(
            long arrivedAtNanos,
            ReceivedRequest request,
            CallerExchange exchange,
            CallIntent intent,
            Route route,
            Optional<Organisation> organisation,
            String service,
            Optional<StreamOrigin> origin) {
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
        call.origin = origin;
        callsByExchange.put(exchange, call);
        callDispatcher.start(clock.getAsLong(), call);
    }

    private void startEarlyRequests(long now) {
        // Each is taken out on its own, as a failure in one must not lose those behind it.
        while (control.isReady() && earlyRequests.size() > 0) {
            earlyRequests
                    .poll()
                    .ifPresent(request ->
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
    public void onDisconnect(CallerExchange exchange) {
        earlyRequests.remove(exchange);
        resumptions.onDisconnect(exchange);
        DirectCall call = callsByExchange.remove(exchange);
        if (call != null) {
            callDispatcher.onCallerLeft(clock.getAsLong(), call);
        }
    }

    /** Ends all calls with their final response, because the grace period of this process is over. */
    public void endOpenCalls() {
        Optional<StartupRequestQueue.PendingRequest> waiting = earlyRequests.poll();
        while (waiting.isPresent()) {
            callDispatcher
                    .responses()
                    .refuseNotReady(waiting.get().exchange(), waiting.get().intent());
            waiting = earlyRequests.poll();
        }
        resumptions.refuseAll(clock.getAsLong());
        callDispatcher.cancelAll(clock.getAsLong(), CallerResponses.STOPPING_REASON);
    }

    // ---- messages and time

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case UPDATE -> {
                control.onUpdate(now, from, input.getUpdate());
                streamRecords.onUpdate(now, from, input.getUpdate());
                startEarlyRequests(now);
            }
            case CONFIG_BODY -> {
                control.onConfigBody(now, from, input.getConfigBody());
                startEarlyRequests(now);
            }
            case ENTRY_LOAD -> loadGossip.onLoad(now, from, input.getEntryLoad());
            case STREAM_RECORDS ->
                input.getStreamRecords().getRecordsList().forEach(record -> streamRecords.onRecord(now, record));
            case STREAM_QUERY ->
                out.send(from, Envelope.newBuilder().setStreamAnswer(resumptions.answer(now, input.getStreamQuery())));
            case STREAM_ANSWER -> resumptions.onAnswer(now, from, input.getStreamAnswer());
            case STOP -> onStop(now, input.getStop(), out);
            case WALL_CLOCK -> usageMeter.onWallClock(now, input.getWallClock().getEpochMs());
            default -> {
                // Other messages are not addressed to this kind of entry.
            }
        }
    }

    /** Begins the stop: from now on a request is taken only if it ends before this process does. */
    private void onStop(long now, Stop stop, Outbox out) {
        draining = true;
        if (stop.getAnswersMs() > 0) {
            callDispatcher.stop(now, StopSchedule.of(now, stop.getNoticeMs(), stop.getAnswersMs()));
        }
        streamRecords.onStop(now, out);
    }

    @Override
    public void tick(long now, Outbox out) {
        lateness.onTick(now, nextDue());
        control.tick(now, out);
        backpressure.limits().tick(now, control.entries());
        streamRecords.tick(now, out);
        resumptions.tick(now, out);
        callDispatcher.tick(now);
        startEarlyRequests(now);
        if (now >= nextHousekeepingNanos) {
            nextHousekeepingNanos = now + HOUSEKEEPING_INTERVAL_NANOS;
            upstreams.tick(now);
            begunWaits.tick(now);
            backpressure.tick(now);
            outliers.tick(now);
            serviceTimes.tick(now);
            streamRecords.expire(now);
            callsByExchange.values().removeIf(call -> call.closed);
        }
        loadGossip.tick(now, out, self, control.entries());
        if (draining && openCalls() == 0 && !stopReported) {
            stopReported = true;
            streamRecords.sendAll(now, out);
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    @Override
    public long nextDue() {
        long due = Math.min(
                Math.min(control.nextDue(), callDispatcher.nextDue()),
                Math.min(earlyRequests.nextDue(), nextHousekeepingNanos));
        due = Math.min(due, Math.min(streamRecords.nextDue(), resumptions.nextDue()));
        return Math.min(due, loadGossip.nextDue(callDispatcher.openCalls() > 0));
    }

    // ---- state and settings for the process

    /**
     * Tells whether this entry accepts new callers.
     *
     * @return true once a quorum has confirmed the routes, until the entry drains
     */
    public boolean isReady() {
        return control.isReady() && !draining;
    }

    /**
     * Replaces the addresses of the control processes that are contacted initially.
     *
     * @param seeds the addresses
     */
    public void replaceSeeds(List<Address> seeds) {
        control.replaceSeeds(seeds);
    }

    /**
     * The limits on caller requests.
     *
     * @return the limits in force
     */
    public CallerLimits callerLimits() {
        return control.routes().limits();
    }

    /**
     * The version of the installed configuration.
     *
     * @return the version, 0 before the first
     */
    public long configVersion() {
        return control.configVersion();
    }

    /**
     * Counts the requests that may have crashed an upstream and have not succeeded since.
     *
     * @return their number
     */
    public long suspectedRequests() {
        return poisonGuard.suspectCount();
    }

    /**
     * Counts the requests in quarantine, which are refused because upstreams crash when they run them.
     *
     * @return their number
     */
    public long quarantinedRequests() {
        return poisonGuard.quarantinedCount();
    }

    /**
     * Counts the retries that this entry has taken from the budgets of services.
     *
     * @return their number since the start
     */
    public long retriesGranted() {
        return callDispatcher.retryCounts().granted();
    }

    /**
     * Counts the retries that were granted and not used.
     *
     * @return their number since the start
     */
    public long retriesGivenBack() {
        return callDispatcher.retryCounts().givenBack();
    }

    /**
     * Counts the prefills sent beyond the first arrival of their request at an upstream.
     *
     * @return their number since the start
     */
    public long retriesSentAsPrefill() {
        return callDispatcher.retryCounts().sentPrefills();
    }

    /**
     * Counts the runs sent beyond the first arrival of their request at an upstream.
     *
     * @return their number since the start
     */
    public long retriesSentAsRun() {
        return callDispatcher.retryCounts().sentRuns();
    }

    /**
     * Counts the calls that were not retried as the budget of their service had nothing left.
     *
     * @return their number since the start
     */
    public long retriesRefused() {
        return callDispatcher.retryCounts().refused();
    }

    /**
     * Counts the upstreams with a stated rate limit in force.
     *
     * @return their number
     */
    public long limitedUpstreams() {
        return backpressure.limits().activeCount();
    }

    /**
     * Counts the upstreams whose requested backoff of this entry is not over.
     *
     * @return their number
     */
    public long upstreamsInBackoff() {
        return backpressure.backoffs().activeCount(clock.getAsLong());
    }

    /**
     * Counts the plain calls that have waited for a slot of an upstream since the start.
     *
     * @return their number
     */
    public long waitedPlainCalls() {
        return callDispatcher.waitedPlainCalls();
    }

    /**
     * Counts the plain upstreams whose service time exceeds that of their peers by half.
     *
     * @return their number
     */
    public long slowPlainUpstreams() {
        return serviceTimes.slowUpstreams(clock.getAsLong());
    }

    /**
     * Counts the upstreams that answer more requests with errors than their peers.
     *
     * @return their number
     */
    public long outlierUpstreams() {
        return outliers.outlierCount();
    }

    /**
     * Counts the errors of upstreams that this entry has seen since its start, rejections excluded.
     *
     * @return their number
     */
    public long upstreamErrors() {
        return outliers.errorCount();
    }

    /**
     * Counts the requests that this entry has sent to outliers since its start.
     *
     * @return their number
     */
    public long requestsToOutliers() {
        return outliers.sentToOutlierCount();
    }

    /**
     * Counts the engines whose intervals between events exceed the mean of their service by half or more now.
     *
     * @return their number
     */
    public long slowUpstreams() {
        return gapForecasts.slowUpstreams(clock.getAsLong(), upstreams.instances());
    }

    /**
     * Counts the completed streams with a gap between two events beyond the limit of their route.
     *
     * @return their number since the start
     */
    public long streamsWithLongGaps() {
        return eventIntervals.streamsWithLongGaps();
    }

    /**
     * Counts the calls refused because a more urgent kind was served less than theirs.
     *
     * @return their number since the start
     */
    public long callsRefusedForPriority() {
        return callDispatcher.shares().refusedForPriority();
    }

    /**
     * Counts the late calls sent because their kind or organisation had been served too little.
     *
     * @return their number since the start
     */
    public long callsSentForShare() {
        return callDispatcher.sentForShare();
    }

    /**
     * Counts the kinds and organisations whose shares are kept.
     *
     * @return their number over all services
     */
    public long shareGroups() {
        return callDispatcher.shares().groupCount();
    }

    /**
     * Tells how late this process runs.
     *
     * @return the longest time by which a tick came late in the last one to two seconds, in milliseconds
     */
    public long lateMillis() {
        return lateness.millis(clock.getAsLong());
    }

    /**
     * Names requests without a final response.
     *
     * @param most how many at most
     * @return their ids, each with the name of its route and the milliseconds since its arrival
     */
    public List<String> openRequests(int most) {
        return callDispatcher.describeOpenCalls(clock.getAsLong(), most);
    }

    /**
     * Counts the calls without a final response, including requests that wait for the first configuration.
     *
     * @return their number
     */
    public int openCalls() {
        return callDispatcher.openCalls() + earlyRequests.size() + resumptions.size();
    }
}
