package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DeadlineQueue;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.message.Cause;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpFields;

/**
 * Carries calls to their one answer: places them, and decides after each failure what may still be done. The rule is
 * the verdict's: what did not run may go elsewhere; what may have run goes elsewhere only if it may be repeated, and is
 * never answered as "not run".
 */
final class CallDispatcher {

    /** Calls that wait which are tried in vain at one time: what engines can't take now they can't for the others. */
    private static final int MAX_FAILED_PLACEMENTS = 3;
    /** Least time left for which another attempt is worth sending. */
    private static final long MIN_REMAINING_NANOS = Durations.nanos(60);

    private final UpstreamProtocol protocol;
    private final UpstreamClient client;
    private final UpstreamTable upstreams;
    private final UpstreamSelector selector;
    private final ControlSubscription control;
    private final ServiceRetryBudget retryBudget;
    private final LongSupplier clock;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Backpressure backpressure;
    private final BackpressureListener backpressureListener;
    private final PoisonGuard poisonGuard;
    private final UsageMeter usageMeter;
    private final CallerResponses responses;
    private final AttemptRunner attemptRunner;
    private final Map<Long, DirectCall> openCalls = new HashMap<>();
    private final DeadlineQueue<Long> callDeadlines = DeadlineQueue.create();
    private final AdmissionQueue waitingCalls = new AdmissionQueue();
    private final AdmissionControl admission;
    private final SizeFairness sizeFairness = new SizeFairness();

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
            EngineModels engineModels,
            LoadGossip loadGossip,
            Backpressure backpressure,
            BackpressureListener backpressureListener,
            PoisonGuard poisonGuard,
            UsageMeter usageMeter) {
        this.protocol = protocol;
        this.client = client;
        this.upstreams = upstreams;
        this.selector = selector;
        this.control = control;
        this.retryBudget = retryBudget;
        this.clock = clock;
        this.invariants = invariants;
        this.log = log;
        this.backpressure = backpressure;
        this.backpressureListener = backpressureListener;
        this.poisonGuard = poisonGuard;
        this.usageMeter = usageMeter;
        this.admission = new AdmissionControl(selector, control, waitingCalls);
        this.responses = new CallerResponses(control, log);
        this.attemptRunner = new AttemptRunner(
                protocol,
                client,
                responses,
                clock,
                log,
                engineModels,
                loadGossip,
                backpressureListener,
                new AttemptOutcomeListener());
    }

    /** Gives answers that no call stands behind. */
    CallerResponses responses() {
        return responses;
    }

    int openCalls() {
        return openCalls.size();
    }

    long nextDue() {
        long callsDue = Math.min(waitingCalls.nextDue(), callDeadlines.next());
        return Math.min(Math.min(callsDue, attemptRunner.nextDue()), poisonGuard.nextDue());
    }

    // ---- the way of a call

    void start(long now, DirectCall call) {
        Optional<PoisonGuard.Refusal> refusal = poisonGuard.refusal(now, call);
        if (refusal.isPresent()) {
            call.closed = true;
            responses.refuse(call, refusal.get());
            return;
        }
        openCalls.put(call.number, call);
        callDeadlines.set(call.number, call.deadlineNanos);
        retryBudget.onRequest(now, call.service);
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
        place(now, call);
    }

    private void place(long now, DirectCall call) {
        switch (admission.decide(now, call)) {
            case AdmissionControl.Decision.Send(UpstreamSelector.Choice choice) -> sendAttempt(now, call, choice);
            case AdmissionControl.Decision.Wait() -> {
                // It is tried again with the others that wait.
            }
            case AdmissionControl.Decision.Refuse(Verdict.NotRun verdict, String reason) -> {
                call.lastFailure = Optional.of(verdict);
                failCall(now, call, reason);
            }
        }
    }

    /** Tries calls that wait, as long as engines take any. */
    private void retryWaiting(long now) {
        int failures = 0;
        for (DirectCall call : waitingCalls.due(now)) {
            if (failures < MAX_FAILED_PLACEMENTS || waitingCalls.isExpired(now, call)) {
                DirectAttempt previous = call.lastAttempt;
                place(now, call);
                failures += call.lastAttempt == previous ? 1 : 0;
            }
        }
    }

    private void sendAttempt(long now, DirectCall call, UpstreamSelector.Choice choice) {
        invariants.check(
                call.isRetryable() || !call.mayHaveRun,
                "at-most-once",
                () -> "request " + call.intent.id() + " is sent again though it may have run");
        waitingCalls.remove(call);
        call.fairnessClaim.ifPresent(SizeFairness.Claim::onSent);
        call.offeredLoad.ifPresent(work -> work.onSent(choice));
        selector.onSent(now, choice);
        releasePermit(call);
        attemptRunner.send(now, call, choice);
        if (choice.prefillOnly()) {
            reservePermit(now, call);
        }
    }

    /**
     * Keeps a permit of the engine that is to go on, where all that could do so state limits. Guards against prompts
     * that are read in vain: many would be read for one permit, of which the first to be ready uses it.
     */
    private void reservePermit(long now, DirectCall call) {
        call.reservedPermit = selector.handoverEngineToReserve(now, call).map(row -> row.id);
        call.reservedPermit.ifPresent(start -> backpressure.limits().takePermit(now, start));
    }

    private void releasePermit(DirectCall call) {
        call.reservedPermit.ifPresent(backpressure.limits()::returnPermit);
        call.reservedPermit = Optional.empty();
    }

    // ---- what became of an attempt

    private final class AttemptOutcomeListener implements AttemptRunner.OutcomeListener {

        @Override
        public void onFirstEvent(long now, DirectAttempt attempt) {
            usageMeter.recordStart(attempt.call, now);
        }

        @Override
        public void onCompleted(long now, DirectAttempt attempt) {
            if (!attempt.prefillOnly && !attempt.metadata.notExecuted()) {
                // A plain call begins to run when it arrives there; that a stream began was seen by its first event.
                usageMeter.recordStart(attempt.call, attempt.sentAtNanos);
            }
            if (attempt.prefillOnly) {
                onPrefillResponse(now, attempt);
            } else if (attempt.isSuccess()) {
                attempt.upstream.recordSuccess(now - attempt.sentAtNanos);
                forwardResponse(now, attempt);
            } else {
                onErrorResponse(now, attempt);
            }
        }

        @Override
        public void onConnectionFailed(long now, DirectAttempt attempt, boolean requestSent) {
            if (!requestSent) {
                // It never arrived anywhere: that counts neither as an attempt nor as a repeat.
                attempt.call.attemptCount -= attempt.prefillOnly ? 0 : 1;
                onAttemptFailed(
                        now,
                        attempt,
                        new Verdict.NotRun(Cause.CONNECT_FAILED, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS),
                        false);
            } else {
                recordUsageWithoutResponse(attempt);
                poisonGuard.onAttemptFailed(now, attempt);
                onAttemptFailed(now, attempt, verdictWithoutResponse(attempt, Cause.CONNECTION_BROKEN));
            }
        }

        @Override
        public void onTimeout(long now, DirectAttempt attempt) {
            recordUsageWithoutResponse(attempt);
            onAttemptFailed(now, attempt, verdictWithoutResponse(attempt, Cause.UPSTREAM_SILENT));
        }

        @Override
        public boolean mayAbandon(long now, DirectAttempt attempt) {
            return (attempt.prefillOnly || attempt.call.isRetryable()) && mayRetry(now, attempt.call);
        }
    }

    /** A plain call that was sent had most likely begun; a stream would have shown an event. */
    private void recordUsageWithoutResponse(DirectAttempt attempt) {
        if (!attempt.call.isStream()) {
            usageMeter.recordStart(attempt.call, attempt.sentAtNanos);
        }
    }

    /** Taking a prompt in runs nothing; whatever else was sent and not answered may have run. */
    private static Verdict verdictWithoutResponse(DirectAttempt attempt, Cause cause) {
        return attempt.prefillOnly
                ? new Verdict.NotRun(cause, CallerResponses.DEFAULT_RETRY_AFTER_MILLIS)
                : new Verdict.MayHaveRun(cause);
    }

    private void forwardResponse(long now, DirectAttempt attempt) {
        responses.forwardResponse(now, attempt);
        // Whoever answered took the KV cache.
        attempt.call.kvCache = Optional.empty();
        attempt.call.fairnessClaim.ifPresent(claim -> claim.onEnded(attempt.isSuccess()));
        if (attempt.isSuccess()) {
            poisonGuard.onSuccess(now, attempt.call);
        }
        close(attempt.call);
    }

    /** The upstream answered in full, but not with success. */
    private void onErrorResponse(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (attempt.metadata.isFromOtherInstance(attempt.upstream.name)) {
            upstreams.markEnded(now, attempt.upstream, "another start has its address");
            onAttemptFailed(now, attempt, new Verdict.NotRun(Cause.WRONG_INCARNATION, 0));
            return;
        }
        if (attempt.metadata.notExecuted()) {
            onOverloadRejection(now, attempt);
            return;
        }
        boolean retry = call.isRetryable()
                && isServerError(attempt.status)
                && mayRetry(now, call)
                && retryBudget.tryAcquire(now, call.service, control.entries().size());
        if (!call.responseStarted && attempt.metadata.authentic() && !retry) {
            forwardResponse(now, attempt);
            return;
        }
        onAttemptFailed(now, attempt, new Verdict.HasRun(Cause.UPSTREAM_ERROR), !retry);
    }

    /** The upstream takes nothing at this moment, which is no failure. */
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
            call.prefillMillis = Durations.millis(now - attempt.sentAtNanos);
            call.kvCache = Optional.of(new KvCacheHandle(attempt.upstream.address, handle.get()));
            place(now, call);
            return;
        }
        if (attempt.metadata.isFromOtherInstance(attempt.upstream.name)) {
            upstreams.markEnded(now, attempt.upstream, "another start has its address");
        } else if (attempt.metadata.notExecuted()) {
            onOverloadRejection(now, attempt);
            return;
        } else {
            attempt.upstream.recordFailure(now);
        }
        // Taking a prompt in runs nothing: whatever came back, the request did not run there.
        onAttemptFailed(now, attempt, new Verdict.NotRun(Cause.UPSTREAM_ERROR, 0));
    }

    // ---- after a failure

    private void onAttemptFailed(long now, DirectAttempt attempt, Verdict verdict) {
        onAttemptFailed(now, attempt, verdict, true);
    }

    private void onAttemptFailed(long now, DirectAttempt attempt, Verdict verdict, boolean arrived) {
        DirectCall call = attempt.call;
        if (call.closed) {
            return;
        }
        call.excludedUpstreams.add(attempt.upstream.id);
        call.lastFailure = Optional.of(verdict);
        if (!(verdict instanceof Verdict.NotRun)) {
            call.mayHaveRun = true;
        }
        if (attempt.prefillOnly) {
            call.singleEngineOnly = true;
        } else if (call.kvCache.isPresent()) {
            // A refusal may leave the KV cache where it is: another engine may have room for it.
            call.failedHandovers++;
            if (!(verdict instanceof Verdict.NotRun) || call.failedHandovers > 1) {
                releaseKvCache(call);
            }
        }
        boolean retrySafe = !call.mayHaveRun || call.isRetryable();
        if (retrySafe
                && mayRetry(now, call)
                && poisonGuard.mayRetry(call)
                && retryBudget.tryAcquire(now, call.service, control.entries().size())) {
            place(now, call);
        } else {
            failCall(now, call, verdict.label() + "/" + verdict.cause());
        }
    }

    private boolean mayRetry(long now, DirectCall call) {
        return call.attemptCount < call.route.maxAttempts() && now + MIN_REMAINING_NANOS < call.deadlineNanos;
    }

    /** Gives the final answer at once. */
    private void failCall(long now, DirectCall call, String reason) {
        if (call.closed) {
            return;
        }
        responses.reportFailure(now, call, reason);
        call.fairnessClaim.ifPresent(claim -> claim.onEnded(false));
        close(call);
    }

    // ---- time, and callers that leave

    void tick(long now) {
        Optional<Long> due = callDeadlines.poll(now);
        while (due.isPresent()) {
            Option.of(openCalls.get(due.get())).forEach(call -> onDeadline(now, call));
            due = callDeadlines.poll(now);
        }
        attemptRunner.tick(now);
        poisonGuard.tick(now);
        poisonGuard.takeQuarantined().forEach(request -> cancelQuarantined(now, request));
        retryWaiting(now);
    }

    /** Ends all calls of a request that turned out to be poison, wherever they wait or run. */
    private void cancelQuarantined(long now, Fingerprint request) {
        List<DirectCall> copies = openCalls.values().stream()
                .filter(call -> call.fingerprint().equals(request))
                .toList();
        for (DirectCall call : copies) {
            call.lastFailure =
                    Optional.of(new Verdict.NotRun(Cause.UPSTREAM_ERROR, PoisonGuard.QUARANTINED_RETRY_AFTER_MILLIS));
            cancel(now, call, "quarantined");
        }
    }

    private void onDeadline(long now, DirectCall call) {
        cancel(now, call, "the time is up");
    }

    private void cancel(long now, DirectCall call, String reason) {
        DirectAttempt attempt = call.lastAttempt;
        if (attempt != null && !attempt.ended) {
            call.mayHaveRun |= !attempt.prefillOnly;
            recordUsageWithoutResponse(attempt);
            attemptRunner.cancel(attempt);
        }
        failCall(now, call, reason);
    }

    void onCallerDisconnected(long now, DirectCall call) {
        if (call.closed) {
            return;
        }
        DirectAttempt attempt = call.lastAttempt;
        boolean running = attempt != null && !attempt.ended;
        if (running) {
            recordUsageWithoutResponse(attempt);
        }
        if (running && (call.isStream() || call.isRetryable())) {
            attemptRunner.cancel(attempt);
        }
        responses.logDisconnect(now, call);
        close(call);
    }

    private void close(DirectCall call) {
        call.closed = true;
        waitingCalls.remove(call);
        openCalls.remove(call.number);
        callDeadlines.clear(call.number);
        releasePermit(call);
        releaseKvCache(call);
    }

    /** Frees a KV cache that nobody will take; it would fill the engine's memory until it lapses. */
    private void releaseKvCache(DirectCall call) {
        if (call.kvCache.isEmpty()) {
            return;
        }
        KvCacheHandle handle = call.kvCache.get();
        call.kvCache = Optional.empty();
        long now = clock.getAsLong();
        upstreams.instances().stream()
                .filter(row -> row.address.equals(handle.engine()))
                .findFirst()
                .ifPresent(row -> client.send(
                        row.address,
                        row.id,
                        protocol.releaseRequest(handle),
                        new ReleaseResponseHandler(row, call.intent.id(), now)));
    }

    /** The answer to the release of a KV cache, which lapses by itself whatever comes back. */
    private final class ReleaseResponseHandler implements UpstreamHandler {

        private final UpstreamInstance upstream;
        private final String requestId;
        private final long sentAtNanos;

        private ReleaseResponseHandler(UpstreamInstance upstream, String requestId, long sentAtNanos) {
            this.upstream = upstream;
            this.requestId = requestId;
            this.sentAtNanos = sentAtNanos;
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            backpressureListener.onResponseHead(
                    clock.getAsLong(),
                    upstream,
                    sentAtNanos,
                    requestId,
                    status,
                    protocol.readMetadata(status, headers));
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // Nothing is asked for.
        }

        @Override
        public void onComplete() {
            // As above.
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            // The cache lapses by itself.
        }
    }

    /** When the next check is due, for tests of a table that should be empty. */
    boolean isIdle() {
        return openCalls.isEmpty() && attemptRunner.isEmpty() && nextDue() == Core.NEVER;
    }
}
