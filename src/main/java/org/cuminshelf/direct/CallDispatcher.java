package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DeadlineQueue;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.TickLateness;
import org.cuminshelf.message.Cause;
import org.cuminshelf.poison.RequestAttribute;
import org.cuminshelf.verdict.Verdict;

/**
 * Dispatches calls to upstreams until each has exactly one final response, and decides after each failed attempt
 * whether to retry. The {@link Verdict} decides: a request that did not run may be sent to another upstream; one that
 * may have run is retried only if its route allows that, and is never reported to its caller as "not run".
 */
final class CallDispatcher {

    /** Attempts of a call that may fail to connect without being counted. */
    private static final int MAX_UNSENT_ATTEMPTS = 8;
    /** Retry-After of a request that comes to a stopping process: another one takes it at once. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 10;

    private final UpstreamProtocol protocol;
    private final UpstreamClient client;
    private final UpstreamTable upstreams;
    private final UpstreamSelector selector;
    private final ControlSubscription control;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Backpressure backpressure;
    private final PoisonGuard poisonGuard;
    private final UsageMeter usageMeter;
    private final StreamRecords streamRecords;
    private final UpstreamOutliers outliers;
    private final PlainServiceTimes serviceTimes;
    private final CallerResponses responses;
    private final AttemptRunner attemptRunner;
    private final Map<Long, DirectCall> openCalls = new HashMap<>();
    private final DeadlineQueue<Long> callDeadlines = DeadlineQueue.create();
    private final AdmissionQueue admissionQueue;
    private final AdmissionControl admission;
    private final CallReturns callReturns = new CallReturns();
    private final SizeFairness sizeFairness = new SizeFairness();
    private final CallShares shares = new CallShares();
    private final RetryPolicy retryPolicy;
    private final SilentUpstreams silentUpstreams;
    private final ReplacementPlanner replacementPlanner;
    private final KvCacheReleaser kvCacheReleaser;
    private final AttemptLog attemptLog;
    private final AnswerTimes answerTimes = new AnswerTimes();
    /** Present from the moment at which this process was asked to stop. */
    private Optional<StopSchedule> stopSchedule = Optional.empty();

    CallDispatcher(
            UpstreamProtocol protocol,
            UpstreamClient client,
            UpstreamTable upstreams,
            UpstreamSelector selector,
            ControlSubscription control,
            ServiceRetryBudget retryBudget,
            LongSupplier clock,
            Invariants invariants,
            DecisionLog log,
            TickLateness lateness,
            EngineLatencyModels engineModels,
            EventIntervals eventIntervals,
            LoadGossip loadGossip,
            Backpressure backpressure,
            BackpressureListener backpressureListener,
            PoisonGuard poisonGuard,
            UsageMeter usageMeter,
            StreamRecords streamRecords,
            UpstreamOutliers outliers,
            PlainServiceTimes serviceTimes,
            BegunStreamWaits begunWaits) {
        this.protocol = protocol;
        this.client = client;
        this.upstreams = upstreams;
        this.selector = selector;
        this.control = control;
        this.invariants = invariants;
        this.log = log;
        this.backpressure = backpressure;
        this.poisonGuard = poisonGuard;
        this.usageMeter = usageMeter;
        this.streamRecords = streamRecords;
        this.outliers = outliers;
        this.serviceTimes = serviceTimes;
        this.admissionQueue = new AdmissionQueue(begunWaits);
        this.admission = new AdmissionControl(selector, control, poisonGuard, admissionQueue);
        this.responses = new CallerResponses(control, log, lateness);
        this.attemptLog = new AttemptLog(log);
        this.retryPolicy = new RetryPolicy(poisonGuard, retryBudget, control, log);
        WatchedClock watchedClock = new WatchedClock(clock.getAsLong());
        this.silentUpstreams = new SilentUpstreams(upstreams, selector, watchedClock);
        this.replacementPlanner = new ReplacementPlanner(retryPolicy, admission, admissionQueue, silentUpstreams);
        this.kvCacheReleaser = new KvCacheReleaser(protocol, client, upstreams, clock, backpressureListener);
        this.attemptRunner = new AttemptRunner(
                protocol,
                client,
                responses,
                clock,
                watchedClock,
                attemptLog,
                engineModels,
                eventIntervals,
                loadGossip,
                backpressureListener,
                retryPolicy,
                new AttemptOutcomeListener());
    }

    /** Returns the writer of responses, for requests that never became a call. */
    CallerResponses responses() {
        return responses;
    }

    int openCalls() {
        return openCalls.size();
    }

    /** Names calls without a final response, those that have waited longest first. */
    List<String> describeOpenCalls(long now, int most) {
        return openCalls.values().stream()
                .sorted(Comparator.comparingLong(call -> call.arrivedAtNanos))
                .limit(most)
                .map(call -> call.intent.id() + ":" + call.route.name() + ":"
                        + Durations.millis(now - call.arrivedAtNanos) + "ms")
                .toList();
    }

    /** Returns the shares of calls by kind and organisation. */
    CallShares shares() {
        return shares;
    }

    /** Returns the number of late calls sent so far because their kind or organisation had got too little. */
    long sentForShare() {
        return admission.sentForShare();
    }

    /** Returns the number of plain calls that have waited for a slot since the start. */
    long waitedPlainCalls() {
        return admission.waitedPlainCalls();
    }

    /** Returns the counts of the decisions on retries. */
    RetryCounts retryCounts() {
        return retryPolicy.counts();
    }

    long nextDue() {
        long callsDue = Math.min(admissionQueue.nextDue(), callDeadlines.next());
        return Math.min(Math.min(callsDue, attemptRunner.nextDue()), poisonGuard.nextDue());
    }

    // ---- placement

    void start(long now, DirectCall call) {
        Optional<PoisonGuard.Refusal> refusal = poisonGuard.refusal(now, call);
        if (refusal.isPresent()) {
            call.closed = true;
            responses.refuse(call, refusal.get());
            return;
        }
        openCalls.put(call.number, call);
        callDeadlines.set(call.number, call.deadlineNanos);
        retryPolicy.onCall(now, call);
        backpressure.limits().onCall(now, call.service);
        call.intent.generation().ifPresent(shape -> {
            call.fairnessClaim =
                    Optional.of(sizeFairness.register(call.route.name(), AnswerValues.sizeInPromptTokens(shape)));
            call.offeredLoad = Optional.of(new OfferedLoad(
                    control,
                    call.service,
                    selector.prefillMicros(now, call, shape),
                    selector.generationMicros(call.service, shape)));
        });
        shares.onArrival(call, selector.answerValue(call));
        place(now, call);
    }

    /** Refuses the calls at once that were not sent anywhere and would not end before this process does. */
    void stop(long now, StopSchedule schedule) {
        stopSchedule = Optional.of(schedule);
        List.copyOf(openCalls.values()).stream()
                .filter(call -> !isTaken(now, call))
                .forEach(call -> refuseAsStopping(now, call));
    }

    /** Whether a call was sent already, or is sent though this process stops. */
    private boolean isTaken(long now, DirectCall call) {
        return stopSchedule.isEmpty()
                || !call.sentTo.isEmpty()
                || stopSchedule.get().takes(now, call.begunAtNanos(), call.deadlineNanos, expectedNanos(call));
    }

    /** Returns how long a call may be expected to take; more is risked for a caller that may repeat its request. */
    private OptionalLong expectedNanos(DirectCall call) {
        String route = call.route.name();
        return call.isRetryable() ? answerTimes.most(route) : answerTimes.nearlyAll(route);
    }

    private void refuseAsStopping(long now, DirectCall call) {
        call.lastFailure = Optional.of(new Verdict.NotRun(Cause.LEAVING, STOPPING_RETRY_AFTER_MILLIS));
        failCall(now, call, CallerResponses.STOPPING_REASON);
    }

    private void place(long now, DirectCall call) {
        if (!isTaken(now, call)) {
            refuseAsStopping(now, call);
            return;
        }
        if (call.kvCache.isPresent() && !selector.hasEngineForKvCache(call)) {
            kvCacheReleaser.release(call);
            call.singleEngineOnly = true;
        }
        switch (decide(now, call)) {
            case AdmissionControl.Decision.Send(UpstreamSelector.Choice choice) -> {
                if (!endIfCallerLeft(now, call)) {
                    sendWithinBudget(now, call, choice);
                }
            }
            case AdmissionControl.Decision.Wait() -> {
                // The call is in the queue; retryWaiting() decides on it again.
            }
            case AdmissionControl.Decision.Refuse(Verdict.NotRun verdict, String reason) -> {
                call.lastFailure = Optional.of(verdict);
                call.noRetryReason = reason;
                failCall(now, call, reason);
            }
        }
    }

    /** Sends a call if it holds the grants that it needs or gets them now, on one engine if it gets none for two. */
    private void sendWithinBudget(long now, DirectCall call, UpstreamSelector.Choice choice) {
        if (choice.prefillOnly() && !retryPolicy.reserveForPrefill(now, call)) {
            call.singleEngineOnly = true;
            place(now, call);
            return;
        }
        if (retryPolicy.reserve(now, call, call.arrivals.grantsNeeded(choice.prefillOnly()))) {
            sendAttempt(now, call, choice, call.kvCache);
            return;
        }
        retryPolicy.noteRefused(now, call);
        failCall(
                now,
                call,
                call.lastFailure.orElseGet(
                        () -> new Verdict.NotRun(Cause.OVERLOADED, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS)),
                RetryRefusal.RETRY_BUDGET_EMPTY);
    }

    /**
     * Decides on a call, without silent upstreams if possible. A new call takes one rather than be refused, and a call
     * that was sent before rather than wait.
     */
    private AdmissionControl.Decision decide(long now, DirectCall call) {
        Set<String> silent = silentUpstreams.avoidable(now, call);
        call.excludedUpstreams.addAll(silent);
        AdmissionControl.Decision decision = admission.decide(now, call);
        call.excludedUpstreams.removeAll(silent);
        boolean decidedAgain = switch (decision) {
            case AdmissionControl.Decision.Send send -> false;
            case AdmissionControl.Decision.Wait wait -> call.lastAttempt != null;
            case AdmissionControl.Decision.Refuse refuse -> true;
        };
        return decidedAgain && !silent.isEmpty() ? admission.decide(now, call) : decision;
    }

    private void retryWaiting(long now) {
        admissionQueue.placeDue(now, call -> {
            DirectAttempt previous = call.lastAttempt;
            place(now, call);
            return call.lastAttempt != previous || call.callerLeft;
        });
    }

    private DirectAttempt sendAttempt(
            long now, DirectCall call, UpstreamSelector.Choice choice, Optional<KvCacheHandle> kvCache) {
        invariants.check(
                call.isRetryable() || !call.mayHaveRun,
                "at-most-once",
                () -> "request " + call.intent.id() + " is not retryable but is sent again after it may have run");
        invariants.check(
                call.acceptsVersion(choice.upstream().version),
                "one-version-a-stream",
                () -> "request " + call.intent.id() + " goes on at version " + choice.upstream().version);
        admissionQueue.remove(call);
        call.fairnessClaim.ifPresent(SizeFairness.Claim::onSent);
        shares.onSent(now, call);
        call.offeredLoad.ifPresent(work -> work.onSent(choice));
        selector.onSent(now, choice);
        callReturns.onSent(now, call);
        releasePermit(call);
        DirectAttempt attempt = attemptRunner.send(now, call, choice, kvCache);
        outliers.onSent(now, attempt);
        if (choice.prefillOnly()) {
            reservePermit(now, call);
        }
        return attempt;
    }

    /**
     * Reserves a rate limit permit of the engine that will take over after the prefill, if every engine that could do
     * so has a limit. Without a reservation many prompts would be prefilled for one permit; the first to finish would
     * use it, and the others would have been prefilled for nothing.
     */
    private void reservePermit(long now, DirectCall call) {
        call.reservedPermit = selector.handoverEngineToReserve(now, call).map(instance -> instance.id);
        call.reservedPermit.ifPresent(instanceId -> backpressure.limits().takePermit(now, instanceId));
    }

    private void releasePermit(DirectCall call) {
        call.reservedPermit.ifPresent(backpressure.limits()::returnPermit);
        call.reservedPermit = Optional.empty();
    }

    // ---- outcomes of attempts

    private final class AttemptOutcomeListener implements AttemptRunner.OutcomeListener {

        @Override
        public void onFirstEvent(long now, DirectAttempt attempt) {
            usageMeter.recordStart(attempt.call, now);
            outliers.onAnswer(now, attempt);
            shares.onAnswer(now, attempt.call);
        }

        @Override
        public void onDelivered(long now, DirectAttempt attempt) {
            DirectCall call = attempt.call;
            if (call.isRetryable()) {
                call.origin.ifPresent(origin -> streamRecords.onBegun(now, call.intent.stream(), call.service, origin));
            }
        }

        @Override
        public void onCompleted(long now, DirectAttempt attempt) {
            if (!attempt.prefillOnly && !attempt.metadata.notExecuted()) {
                // A non-streaming request starts running on arrival; for a stream, onFirstEvent() has recorded it.
                usageMeter.recordStart(attempt.call, attempt.sentAtNanos);
            }
            if (attempt.prefillOnly) {
                onPrefillResponse(now, attempt);
            } else if (attempt.isSuccess()) {
                attempt.upstream.recordSuccess(now - attempt.sentAtNanos);
                if (attempt.firstEventAtNanos == Core.NEVER) {
                    outliers.onAnswer(now, attempt);
                }
                serviceTimes.onAnswer(now, attempt);
                forwardResponse(now, attempt);
            } else {
                onErrorResponse(now, attempt);
            }
        }

        @Override
        public void onConnectionFailed(long now, DirectAttempt attempt, boolean requestSent) {
            if (!requestSent) {
                outliers.onError(now, attempt);
                forgetUnsentAttempt(attempt);
                onAttemptFailed(
                        now,
                        attempt,
                        new Verdict.NotRun(Cause.CONNECT_FAILED, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS));
            } else {
                recordUsageWithoutResponse(attempt);
                poisonGuard.onAttemptFailed(now, attempt);
                onAttemptFailed(now, attempt, verdictWithoutResponse(attempt, Cause.CONNECTION_BROKEN));
            }
        }

        @Override
        public void onSilent(long now, DirectAttempt attempt, long silentNanos) {
            if (attempt.prefillOnly || attempt.call.isRetryable()) {
                discardIdleConnections(attempt);
            }
            switch (replacementPlanner.decide(now, attempt)) {
                case ReplacementPlanner.Decision.Keep(String reason) ->
                    attemptLog.noteKept(now, attempt, silentNanos, reason);
                case ReplacementPlanner.Decision.Send(UpstreamSelector.Choice choice) -> {
                    if (!endIfCallerLeft(now, attempt.call)) {
                        attemptLog.noteSilent(now, attempt, silentNanos, choice.upstream());
                        replace(now, attempt, choice);
                    }
                }
            }
        }

        @Override
        public void onCallerLeft(long now, DirectAttempt attempt) {
            CallDispatcher.this.onCallerLeft(now, attempt.call);
        }

        @Override
        public void onReplaced(long now, DirectAttempt attempt) {
            attempt.call.mayHaveRun = true;
            if (attempt.usedKvCache) {
                kvCacheReleaser.release(attempt.call);
            }
        }
    }

    /** Discards idle connections, which may be dead without a reset like that of a silent attempt; once for each. */
    private void discardIdleConnections(DirectAttempt attempt) {
        if (!attempt.foundSilent) {
            attempt.foundSilent = true;
            client.discardIdleConnections(attempt.upstream.address, attempt.upstream.id);
        }
    }

    /** Sends a replacement beside a silent attempt. A prefill runs nothing, so it is replaced at once. */
    private void replace(long now, DirectAttempt attempt, UpstreamSelector.Choice choice) {
        DirectCall call = attempt.call;
        if (attempt.prefillOnly) {
            attemptRunner.cancelFor(now, attempt, "replaced");
            retryPolicy.onPrefillFailed(now, attempt);
            call.singleEngineOnly = true;
        }
        DirectAttempt replacement = sendAttempt(now, call, choice, Optional.empty());
        attemptRunner.limitOverlap(now, attempt, replacement);
    }

    /** Returns what an attempt has used up whose request never left this process; a call may have a few of them. */
    private void forgetUnsentAttempt(DirectAttempt attempt) {
        DirectCall call = attempt.call;
        retryPolicy.onNotSent(attempt);
        call.unsentAttempts++;
        if (call.unsentAttempts <= MAX_UNSENT_ATTEMPTS) {
            call.attemptCount -= attempt.prefillOnly ? 0 : 1;
        }
    }

    /** Counts a non-streaming call as run, as it most likely was; a stream would have produced an event. */
    private void recordUsageWithoutResponse(DirectAttempt attempt) {
        if (!attempt.call.isStream()) {
            usageMeter.recordStart(attempt.call, attempt.sentAtNanos);
        }
    }

    /** Returns the verdict on a sent attempt without a response: a prefill runs nothing, all else may have run. */
    private static Verdict verdictWithoutResponse(DirectAttempt attempt, Cause cause) {
        return attempt.prefillOnly
                ? new Verdict.NotRun(cause, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS)
                : new Verdict.MayHaveRun(cause);
    }

    private void forwardResponse(long now, DirectAttempt attempt) {
        attemptRunner.cancelOthers(now, attempt);
        responses.forwardResponse(now, attempt);
        if (attempt.usedKvCache) {
            // The engine that responded has fetched the KV cache.
            attempt.call.kvCache = Optional.empty();
        }
        attempt.call.fairnessClaim.ifPresent(claim -> claim.onEnded(attempt.isSuccess()));
        if (attempt.isSuccess()) {
            answerTimes.observe(attempt.call.route.name(), now - attempt.call.arrivedAtNanos);
            shares.onCompleted(now, attempt.call);
            poisonGuard.onSuccess(now, attempt.call);
        }
        close(attempt.call);
    }

    /** Handles a complete response that is not a success. */
    private void onErrorResponse(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (attempt.metadata.isFromOtherUpstream(attempt.upstream.name)) {
            upstreams.markEnded(now, attempt.upstream, "another start has its address");
            onAttemptFailed(now, attempt, new Verdict.NotRun(Cause.WRONG_INCARNATION, 0));
            return;
        }
        if (attempt.metadata.notExecuted()) {
            onOverloadRejection(now, attempt);
            return;
        }
        outliers.onErrorResponse(now, attempt);
        boolean forwardable = !call.responseStarted && attempt.metadata.authentic();
        if (forwardable && !(call.isRetryable() && isServerError(attempt.status))) {
            forwardResponse(now, attempt);
            return;
        }
        if (call.closed) {
            return;
        }
        Verdict verdict = new Verdict.HasRun(Cause.UPSTREAM_ERROR);
        recordFailedAttempt(now, attempt, verdict);
        if (call.hasOpenAttempt()) {
            return;
        }
        Optional<RetryRefusal> refusal = retryPolicy.acquire(now, call);
        if (refusal.isEmpty()) {
            place(now, call);
        } else if (forwardable) {
            forwardResponse(now, attempt);
        } else {
            failCall(now, call, verdict, refusal.get());
        }
    }

    /** Handles a rejection for lack of capacity, which does not count as a failure of the upstream. */
    private void onOverloadRejection(long now, DirectAttempt attempt) {
        log.note(
                "attempt",
                attempt.call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "not-executed",
                "status",
                attempt.status,
                "prompt-ms",
                Math.round(attempt.estimate.prefillMillis()),
                "running",
                attempt.upstream.localAttempts);
        if (attempt.call.isBegun()) {
            // The rejected attempt ran nothing, and the one before may have been given up for it.
            attempt.call.attemptCount--;
        }
        long retryAfterMillis = admission.retryAfterMillis(now, attempt.call);
        attempt.upstream.avoid(now + Durations.nanos(CallerResponses.DEFAULT_RETRY_AFTER_MILLIS) / 2);
        onAttemptFailed(now, attempt, new Verdict.NotRun(Cause.OVERLOADED, retryAfterMillis));
    }

    private static boolean isServerError(int status) {
        int firstServerError = 500;
        return status >= firstServerError;
    }

    private void onPrefillResponse(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        int ok = 200;
        Optional<String> handle =
                attempt.status == ok ? protocol.readCacheHandle(attempt.responseBody.toByteArray()) : Optional.empty();
        if (handle.isPresent()) {
            attempt.upstream.recordSuccess(now - attempt.sentAtNanos);
            outliers.onAnswer(now, attempt);
            call.prefillMillis = Durations.millis(now - attempt.sentAtNanos);
            call.kvCache =
                    Optional.of(new KvCacheHandle(attempt.upstream.address, handle.get(), attempt.upstream.version));
            place(now, call);
            return;
        }
        if (attempt.metadata.isFromOtherUpstream(attempt.upstream.name)) {
            upstreams.markEnded(now, attempt.upstream, "another start has its address");
        } else if (attempt.metadata.notExecuted()) {
            onOverloadRejection(now, attempt);
            return;
        } else {
            attempt.upstream.recordFailure(now);
            outliers.onError(now, attempt);
        }
        // A prefill runs nothing, so whatever the response, the request did not run there.
        onAttemptFailed(now, attempt, new Verdict.NotRun(Cause.UPSTREAM_ERROR, 0));
    }

    // ---- retries and failures

    /**
     * Retries a call after a failed attempt if that is safe and allowed, else fails it. While another attempt of it is
     * open, that one decides.
     */
    private void onAttemptFailed(long now, DirectAttempt attempt, Verdict verdict) {
        DirectCall call = attempt.call;
        if (call.closed) {
            return;
        }
        recordFailedAttempt(now, attempt, verdict);
        if (call.hasOpenAttempt()) {
            return;
        }
        Optional<RetryRefusal> refusal = retryPolicy.acquire(now, call);
        if (refusal.isEmpty()) {
            place(now, call);
        } else {
            failCall(now, call, verdict, refusal.get());
        }
    }

    /** Records on a call what the failure of one of its attempts means for later ones. */
    private void recordFailedAttempt(long now, DirectAttempt attempt, Verdict verdict) {
        DirectCall call = attempt.call;
        retryPolicy.onPrefillFailed(now, attempt);
        call.lastAttempt = attempt;
        call.excludedUpstreams.add(attempt.upstream.id);
        call.lastFailure = Optional.of(verdict);
        if (!(verdict instanceof Verdict.NotRun)) {
            call.mayHaveRun = true;
        }
        if (attempt.prefillOnly) {
            call.singleEngineOnly = true;
        } else if (attempt.usedKvCache && call.kvCache.isPresent()) {
            // After a rejection the KV cache may still be there, so one more engine is tried with it.
            call.failedHandovers++;
            if (!(verdict instanceof Verdict.NotRun) || call.failedHandovers > 1) {
                kvCacheReleaser.release(call);
            }
        }
    }

    private void failCall(long now, DirectCall call, Verdict verdict, RetryRefusal refusal) {
        call.noRetryReason = refusal.label();
        failCall(now, call, verdict.label() + "/" + verdict.cause());
    }

    /** Sends the final error response and closes the call; does nothing if it is closed already. */
    private void failCall(long now, DirectCall call, String reason) {
        if (call.closed) {
            return;
        }
        call.lastFailure = call.lastFailure.map(verdict -> withReturnTime(now, call, verdict));
        responses.reportFailure(now, call, reason);
        call.fairnessClaim.ifPresent(claim -> claim.onEnded(false));
        shares.onFailed(now, call);
        close(call);
    }

    /** Returns the verdict on a refused call with the time at which its caller should retry; any other unchanged. */
    private Verdict withReturnTime(long now, DirectCall call, Verdict verdict) {
        boolean refused = !call.responseStarted && !call.mayHaveRun;
        return refused && verdict instanceof Verdict.NotRun notRun ? callReturns.schedule(now, call, notRun) : verdict;
    }

    // ---- deadlines, quarantine and disconnects

    void tick(long now) {
        Optional<Long> due = callDeadlines.poll(now);
        while (due.isPresent()) {
            Option.of(openCalls.get(due.get())).forEach(call -> onDeadline(now, call));
            due = callDeadlines.poll(now);
        }
        attemptRunner.tick(now);
        poisonGuard.tick(now);
        poisonGuard.takeQuarantined().forEach(attribute -> cancelQuarantined(now, attribute));
        retryWaiting(now);
    }

    /** Ends all calls at once, each with its final response. */
    void cancelAll(long now, String reason) {
        List.copyOf(openCalls.values()).forEach(call -> cancel(now, call, reason));
    }

    /**
     * Cancels all open calls of a request that was quarantined, or with an attribute that was, whether they are queued,
     * being prefilled or running. Calls with a poison attribute that have run for a while go on: an upstream crashes as
     * it begins to run such a request, so they show that the attribute is harmless.
     */
    private void cancelQuarantined(long now, RequestAttribute attribute) {
        List<DirectCall> matching = openCalls.values().stream()
                .filter(call -> call.attributes().contains(attribute))
                .filter(call -> !attribute.isShared() || !isUnderWay(now, call))
                .toList();
        long retryAfterMillis = poisonGuard.retryAfterMillis(now, attribute);
        for (DirectCall call : matching) {
            call.lastFailure = Optional.of(new Verdict.NotRun(Cause.UPSTREAM_ERROR, retryAfterMillis));
            cancel(now, call, "quarantined");
        }
    }

    private static boolean isUnderWay(long now, DirectCall call) {
        return call.openAttempts.stream()
                .anyMatch(attempt -> attempt.firstEventAtNanos != Core.NEVER
                        && now - attempt.firstEventAtNanos >= CrashDetector.JUST_BEGUN_NANOS);
    }

    private void onDeadline(long now, DirectCall call) {
        cancel(now, call, "the time is up");
    }

    private void cancel(long now, DirectCall call, String reason) {
        for (DirectAttempt attempt : List.copyOf(call.openAttempts)) {
            recordUsageWithoutResponse(attempt);
            attemptRunner.cancel(attempt);
        }
        failCall(now, call, reason);
    }

    /** Ends a call if its caller has left, whether or not the close was read; returns whether so. */
    private boolean endIfCallerLeft(long now, DirectCall call) {
        if (!call.exchange.hasCallerLeft()) {
            return false;
        }
        onCallerLeft(now, call);
        return true;
    }

    /** Ends a call whose caller has left. A request that may not be repeated runs on once it was sent. */
    void onCallerLeft(long now, DirectCall call) {
        if (call.closed) {
            return;
        }
        call.callerLeft = true;
        responses.logLeft(now, call);
        for (DirectAttempt attempt : List.copyOf(call.openAttempts)) {
            if (attempt.isSent()) {
                recordUsageWithoutResponse(attempt);
            }
            if (call.isStream() || call.isRetryable() || !attempt.isSent()) {
                attemptRunner.cancel(attempt);
            }
        }
        shares.onLeft(now, call);
        close(call);
    }

    private void close(DirectCall call) {
        call.closed = true;
        admissionQueue.remove(call);
        openCalls.remove(call.number);
        callDeadlines.clear(call.number);
        releasePermit(call);
        retryPolicy.release(call);
        kvCacheReleaser.release(call);
    }

    /** Whether no call or attempt is open and nothing is scheduled; for tests that check for leaks. */
    boolean isIdle() {
        return openCalls.isEmpty() && attemptRunner.isEmpty() && nextDue() == Core.NEVER;
    }
}
