package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DeadlineQueue;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineLatencyModel;
import org.cuminshelf.engines.PromptQueue;
import org.cuminshelf.engines.PromptSample;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.routes.RequestKind;
import org.eclipse.jetty.http.HttpFields;

/**
 * Sends attempts to upstreams, processes their responses, and detects attempts that make no progress.
 * {@link CallDispatcher} decides what an outcome means for the call.
 */
final class AttemptRunner {

    /** Receives the outcomes of attempts. */
    interface OutcomeListener {

        /** Called when the first event of an attempt's stream arrives. */
        void onFirstEvent(long now, DirectAttempt attempt);

        /** Called when the first event of an attempt's stream is delivered to its caller. */
        void onDelivered(long now, DirectAttempt attempt);

        /** Called when a response is complete, whatever its status. */
        void onCompleted(long now, DirectAttempt attempt);

        /**
         * Called when the connection fails before the response is complete.
         *
         * @param now         the time in nanoseconds
         * @param attempt     the attempt, already closed
         * @param requestSent whether any byte of the request was sent
         */
        void onConnectionFailed(long now, DirectAttempt attempt, boolean requestSent);

        /**
         * Called when an attempt has made no progress for too long, and again at intervals while that lasts.
         *
         * @param now         the time in nanoseconds
         * @param attempt     the attempt, which is open
         * @param silentNanos for how long nothing arrived
         */
        void onSilent(long now, DirectAttempt attempt, long silentNanos);

        /** Called when the caller is found to have left as the request of an attempt was about to be sent. */
        void onCallerLeft(long now, DirectAttempt attempt);

        /** Called after an attempt of a stream was cancelled in favour of its replacement, which has not responded. */
        void onReplaced(long now, DirectAttempt attempt);
    }

    /**
     * Time without events after which a resumable stream moves to another engine, while its own still sends to other
     * requests: that engine may only be busy, and a restart costs a whole prefill. Callers disconnect after 2 s.
     */
    private static final long STREAM_STALL_NANOS = Durations.nanos(1_500);
    /** Interval of looking again at a silent attempt. */
    static final long SILENT_CHECK_INTERVAL_NANOS = Durations.nanos(100);
    /** Longest time between two looks at an attempt, as the silence of a whole upstream shortens its timeout. */
    private static final long MAX_CHECK_INTERVAL_NANOS = Durations.nanos(500);
    /**
     * Time for which a silent stream goes on beside its replacement. Two engines may not work on a stream for 400 ms.
     */
    private static final long MAX_STREAM_OVERLAP_NANOS = Durations.nanos(250);
    /** Lower bound of the time without a byte after which an idempotent request is sent to another upstream. */
    private static final long MIN_RESPONSE_TIMEOUT_NANOS = Durations.nanos(150);
    /** Multiple of the upstream's smoothed latency that an idempotent request may take before that. */
    private static final int RESPONSE_TIMEOUT_LATENCY_FACTOR = 4;
    /** Time to the first event, beyond the estimate, after which a resumable stream is started on another engine. */
    private static final long FIRST_EVENT_MARGIN_NANOS = Durations.nanos(1_500);
    /** Multiple of the estimated time to the first event that is added to the margin. */
    private static final int FIRST_EVENT_ESTIMATE_FACTOR = 3;

    /** Events that a stream needs for its mean gap to be observed; with fewer the first event dominates the mean. */
    private static final int MIN_EVENTS_FOR_GAP = 5;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int HTTP_OK = 200;
    /** Time beyond the deadline of a call after which an attempt that nobody waits for any more is given up. */
    private static final long OVERDUE_MARGIN_NANOS = Durations.nanos(1_000);

    private final UpstreamProtocol protocol;
    private final UpstreamClient client;
    private final CallerResponses responses;
    private final LongSupplier clock;
    private final AttemptLog log;
    private final OutcomeListener outcomeListener;
    private final EngineLatencyModels engineModels;
    private final EventIntervals eventIntervals;
    private final LoadGossip loadGossip;
    private final BackpressureListener backpressureListener;
    private final RetryPolicy retryPolicy;
    private final Map<Long, DirectAttempt> attempts = new HashMap<>();
    private final DeadlineQueue<Long> progressChecks = DeadlineQueue.create();
    private final HeldResponses heldResponses =
            HeldResponses.ofHeap(Runtime.getRuntime().maxMemory());
    private final WatchedClock watchedClock;
    private long nextAttemptNumber = 1;

    AttemptRunner(
            UpstreamProtocol protocol,
            UpstreamClient client,
            CallerResponses responses,
            LongSupplier clock,
            WatchedClock watchedClock,
            AttemptLog log,
            EngineLatencyModels engineModels,
            EventIntervals eventIntervals,
            LoadGossip loadGossip,
            BackpressureListener backpressureListener,
            RetryPolicy retryPolicy,
            OutcomeListener outcomeListener) {
        this.protocol = protocol;
        this.client = client;
        this.responses = responses;
        this.clock = clock;
        this.watchedClock = watchedClock;
        this.log = log;
        this.engineModels = engineModels;
        this.eventIntervals = eventIntervals;
        this.loadGossip = loadGossip;
        this.backpressureListener = backpressureListener;
        this.retryPolicy = retryPolicy;
        this.outcomeListener = outcomeListener;
    }

    long nextDue() {
        return progressChecks.next();
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /**
     * Sends an attempt of a call.
     *
     * @param now    the time in nanoseconds
     * @param call   the call
     * @param choice the upstream selected for it
     * @param kvCache the KV cache from which the upstream continues
     * @return the attempt, which has ended already if it could not be sent
     */
    DirectAttempt send(long now, DirectCall call, UpstreamSelector.Choice choice, Optional<KvCacheHandle> kvCache) {
        UpstreamInstance upstream = choice.upstream();
        long watchedNow = watchedClock.look(now);
        DirectAttempt attempt = new DirectAttempt(nextAttemptNumber++, call, choice, kvCache, now, watchedNow);
        retryPolicy.onSending(now, attempt);
        call.lastAttempt = attempt;
        call.sentTo.add(upstream.id);
        call.noRetryReason = "none";
        attempts.put(attempt.number, attempt);
        call.openAttempts.add(attempt);
        upstream.recordSent(watchedNow);
        upstream.localAttempts++;
        upstream.localMemoryTokens += attempt.memoryTokens();
        if (attempt.estimate.prefillMillis() > 0) {
            upstream.pendingPrompts.add(
                    attempt.number,
                    new PromptQueue.PendingPrompt(now, attempt.estimate.prefillMillis(), call.queuePriority()));
            attempt.promptPending = true;
            eventIntervals.onPromptQueued(now, upstream);
        }
        call.intent.generation().ifPresent(shape -> {
            double readyMillis = attempt.estimate.queueMillis() + attempt.estimate.prefillMillis();
            upstream.promptCache.recordPrompt(shape.segments(), now + Durations.nanos((long) readyMillis));
            loadGossip.onPromptSent(upstream, shape, readyMillis);
        });
        if (!attempt.prefillOnly) {
            call.attemptCount++;
        }
        if (call.lastEventId.isPresent()) {
            log.noteContinuation(now, attempt);
        }
        AttemptPlan plan = new AttemptPlan(
                upstream.name,
                call.organisation.map(Organisation::name),
                Durations.millisLeft(now, call.deadlineNanos),
                call.queuePriority(),
                attempt.prefillOnly,
                attempt.prefillOnly ? Optional.empty() : kvCache,
                choice.prefixSource().map(instance -> instance.address),
                call.lastEventId);
        UpstreamRequest request = protocol.attemptRequest(call.request, plan);
        progressChecks.set(attempt.number, now + firstCheckNanos(watchedNow, attempt));
        attempt.exchange = client.send(upstream.address, upstream.id, request, new ResponseHandler(attempt));
        return attempt;
    }

    private static long firstCheckNanos(long watchedNow, DirectAttempt attempt) {
        long timeoutNanos = timeoutNanos(watchedNow, attempt);
        return attempt.call.responseStarted ? nextCheckNanos(watchedNow, attempt, timeoutNanos) : timeoutNanos;
    }

    private static long responseTimeoutNanos(DirectCall call, DirectAttempt attempt) {
        if (call.route.kind() == RequestKind.IDEMPOTENT) {
            return Math.max(
                    MIN_RESPONSE_TIMEOUT_NANOS,
                    RESPONSE_TIMEOUT_LATENCY_FACTOR * attempt.upstream.smoothedLatencyNanos());
        }
        return FIRST_EVENT_MARGIN_NANOS
                + FIRST_EVENT_ESTIMATE_FACTOR * Durations.nanos((long) attempt.estimate.firstEventMillis());
    }

    /** Handles the response to one attempt; ignores what arrives after the attempt has ended. */
    private final class ResponseHandler implements UpstreamHandler {

        private final DirectAttempt attempt;

        private ResponseHandler(DirectAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public long maxBodyBytes() {
            // A stream is passed on event by event.
            return attempt.call.isStream() ? Long.MAX_VALUE : HeldResponses.MAX_RESPONSE_BYTES;
        }

        @Override
        public long timeoutMillis() {
            return NO_TIMEOUT_MILLIS;
        }

        @Override
        public void beforeSend() {
            if (!attempt.ended && attempt.call.exchange.hasCallerLeft()) {
                outcomeListener.onCallerLeft(clock.getAsLong(), attempt);
            }
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            if (!attempt.ended) {
                AttemptRunner.this.onHead(clock.getAsLong(), attempt, status, headers);
            }
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (!attempt.ended) {
                AttemptRunner.this.onBody(clock.getAsLong(), attempt, bytes);
            }
        }

        @Override
        public void onComplete() {
            if (!attempt.ended) {
                AttemptRunner.this.onEnd(clock.getAsLong(), attempt);
            }
        }

        @Override
        public void onFailed(boolean requestSent, String reason) {
            if (!attempt.ended) {
                AttemptRunner.this.onConnectionFailed(clock.getAsLong(), attempt, requestSent, reason);
            }
        }
    }

    private void onHead(long now, DirectAttempt attempt, int status, HttpFields headers) {
        attempt.status = status;
        attempt.headers = headers;
        attempt.metadata = protocol.readMetadata(status, headers);
        recordProgress(now, attempt);
        String requestId = attempt.call.intent.id();
        backpressureListener.onResponseHead(
                now, attempt.upstream, attempt.sentAtNanos, requestId, status, attempt.metadata);
        if (attempt.metadata.requestId().filter(id -> !id.equals(requestId)).isPresent()) {
            // An upstream may respond twice or late, so these bytes belong to another request.
            attempt.exchange.cancel();
            onConnectionFailed(now, attempt, true, "the answer names another request");
        }
    }

    private void recordProgress(long now, DirectAttempt attempt) {
        long watchedNow = watchedClock.look(now);
        attempt.recordProgress(now, watchedNow);
        attempt.upstream.recordResponse(now, watchedNow);
        eventIntervals.onReceived(now);
    }

    private void onBody(long now, DirectAttempt attempt, ByteBuffer bytes) {
        DirectCall call = attempt.call;
        if (call.isStream() && !attempt.prefillOnly && attempt.isSuccess()) {
            attempt.upstream.recordResponse(now, watchedClock.look(now));
            eventIntervals.onReceived(now);
            attempt.eventSplitter.add(bytes);
            forwardEvents(now, attempt);
        } else {
            recordProgress(now, attempt);
            attempt.responseBody.add(bytes);
        }
        if (!attempt.ended) {
            limitHeldBytes(now, attempt);
        }
    }

    /** Gives up an attempt whose response is too large, or the largest of all if they are too large together. */
    private void limitHeldBytes(long now, DirectAttempt attempt) {
        boolean eventIsTooLarge =
                attempt.eventSplitter.pendingBytes() > HeldResponses.MAX_EVENT_BYTES && attempt.isEventStream();
        int heldBytes = attempt.eventSplitter.pendingBytes() + attempt.responseBody.size();
        if (eventIsTooLarge || heldBytes > HeldResponses.MAX_RESPONSE_BYTES) {
            giveUp(now, attempt, "the answer is too large");
            return;
        }
        heldResponses
                .record(attempt.number, heldBytes, attempt.statesLength())
                .ifPresent(number ->
                        giveUp(now, attempts.get(number), "the answers of all upstreams are too large together"));
    }

    private void giveUp(long now, DirectAttempt attempt, String reason) {
        attempt.exchange.cancelAndReset();
        onConnectionFailed(now, attempt, true, reason);
    }

    private void forwardEvents(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        int deliveredBefore = call.deliveredEvents;
        Optional<EventSplitter.Event> event = attempt.eventSplitter.next();
        // Bytes of an event that is not whole are no progress: they may come without end.
        boolean progress = event.isPresent() || !attempt.isEventStream();
        if (progress) {
            attempt.recordProgress(now, watchedClock.look(now));
        }
        while (event.isPresent() && !call.closed) {
            forwardEvent(now, attempt, event.get());
            event = attempt.eventSplitter.next();
        }
        eventIntervals.onEvents(now, attempt, call.deliveredEvents - deliveredBefore);
        if (progress && !attempt.hasOpenReplacement()) {
            progressChecks.set(attempt.number, now + MAX_CHECK_INTERVAL_NANOS);
        }
    }

    private void forwardEvent(long now, DirectAttempt attempt, EventSplitter.Event event) {
        DirectCall call = attempt.call;
        onFirstEvent(now, attempt);
        boolean alreadyDelivered = event.id().isPresent()
                && call.lastEventId.isPresent()
                && event.id().getAsLong() <= call.lastEventId.getAsLong();
        if (alreadyDelivered) {
            return;
        }
        // From here on nothing of another attempt is delivered.
        cancelOthers(now, attempt);
        responses.startResponse(now, attempt);
        if (!attempt.delivered) {
            attempt.delivered = true;
            recordOrigin(now, attempt);
            outcomeListener.onDelivered(now, attempt);
        }
        call.exchange.writePart(ByteBuffer.wrap(event.bytes()));
        if (call.deliveredEvents > 0) {
            call.longestGapNanos = Math.max(call.longestGapNanos, now - call.lastEventAtNanos);
        }
        call.lastEventAtNanos = now;
        call.deliveredEvents++;
        call.lastEventId = event.id().isPresent() ? event.id() : call.lastEventId;
    }

    private static void recordOrigin(long now, DirectAttempt attempt) {
        if (attempt.call.origin.isEmpty()) {
            attempt.call.origin =
                    Optional.of(new StreamOrigin(attempt.upstream.version, StreamOrigin.Source.DELIVERED, now));
        }
    }

    /** Records the first event of an attempt, and feeds its timing to the engine model. */
    private void onFirstEvent(long now, DirectAttempt attempt) {
        if (attempt.firstEventAtNanos == Core.NEVER) {
            attempt.firstEventAtNanos = now;
            outcomeListener.onFirstEvent(now, attempt);
        }
        if (attempt.promptPending) {
            onPromptProcessed(now, attempt);
        } else if (attempt.usedKvCache && attempt.call.deliveredEvents == 0) {
            engineModels
                    .of(attempt.upstream.service)
                    .observeHandover(attempt.call.promptTokens(), millis(now - attempt.sentAtNanos));
        }
    }

    private void onPromptProcessed(long now, DirectAttempt attempt) {
        removePendingPrompt(attempt);
        attempt.upstream.pendingPrompts.onPrefilled(now);
        loadGossip.onPrefillCompleted(
                attempt.upstream,
                new PromptSample(
                        attempt.upstream.id,
                        attempt.upstream.generatesTokens(),
                        attempt.streamsAtSend,
                        attempt.estimate.cachedTokens(),
                        attempt.estimate.uncachedTokens(),
                        attempt.estimate.queueMillis(),
                        millis(now - attempt.sentAtNanos)));
    }

    private static double millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    /** Handles the end of a response, as far as its framing tells. */
    private void onEnd(long now, DirectAttempt attempt) {
        attempt.eventSplitter.last().ifPresent(event -> forwardEvent(now, attempt, event));
        if (attempt.isBrokenOff()) {
            log.noteUnfinishedEvent(now, attempt);
            onConnectionFailed(now, attempt, true, "the stream ended before its end");
            return;
        }
        if (attempt.endsWithConnection() && !attempt.upstream.shutdownAnnounced) {
            // A crash closes the connection in the same way, so the upstream is asked whether it still listens.
            client.probe(attempt.upstream.address, attempt.upstream.id, result -> onEndProbed(attempt, result));
            return;
        }
        onComplete(now, attempt);
    }

    private void onEndProbed(DirectAttempt attempt, Reachability reachability) {
        if (attempt.ended) {
            return;
        }
        long now = clock.getAsLong();
        if (reachability == Reachability.REFUSED && !attempt.upstream.shutdownAnnounced) {
            onConnectionFailed(now, attempt, true, "the upstream ended with the connection");
            return;
        }
        onComplete(now, attempt);
    }

    private void onComplete(long now, DirectAttempt attempt) {
        if (attempt.prefillOnly && attempt.promptPending && attempt.status == HTTP_OK) {
            onPromptProcessed(now, attempt);
        }
        observeEventGap(attempt);
        eventIntervals.onStreamCompleted(attempt);
        close(attempt);
        attempt.upstream.recordCompletion();
        outcomeListener.onCompleted(now, attempt);
    }

    /** Feeds the mean gap between events to the engine model, if one engine produced the whole stream. */
    private void observeEventGap(DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (attempt.prefillOnly || call.deliveredEvents < MIN_EVENTS_FOR_GAP || call.attemptCount != 1) {
            return;
        }
        EngineLatencyModel model = engineModels.of(attempt.upstream.service);
        model.observeEventInterval(
                attempt.upstream.totalAttempts(),
                millis(call.lastEventAtNanos - call.responseStartedAtNanos) / (call.deliveredEvents - 1));
        model.prefillAllowance().observe(millis(call.longestGapNanos), call.route.maxEventGapMillis());
    }

    private void onConnectionFailed(long now, DirectAttempt attempt, boolean requestSent, String reason) {
        close(attempt);
        attempt.upstream.recordFailure(now);
        log.noteBroken(now, attempt, requestSent, reason);
        outcomeListener.onConnectionFailed(now, attempt, requestSent);
    }

    // ---- progress checks

    void tick(long now) {
        long watchedNow = watchedClock.look(now);
        Optional<Long> due = progressChecks.poll(now);
        while (due.isPresent()) {
            Option.of(attempts.get(due.get())).forEach(attempt -> checkProgress(now, watchedNow, attempt));
            due = progressChecks.poll(now);
        }
    }

    /** Reports an attempt that made no progress for too long, and schedules a later check. */
    private void checkProgress(long now, long watchedNow, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (attempt.ended) {
            return;
        }
        if (call.closed) {
            endIfOverdue(now, attempt);
            return;
        }
        if (attempt.hasOpenReplacement() && call.isStream()) {
            cancelFor(now, attempt, "replaced");
            outcomeListener.onReplaced(now, attempt);
            return;
        }
        long silentNanos = attempt.silentNanos(watchedNow);
        long timeoutNanos = timeoutNanos(watchedNow, attempt);
        if (silentNanos < timeoutNanos) {
            progressChecks.set(attempt.number, now + nextCheckNanos(watchedNow, attempt, timeoutNanos));
            return;
        }
        progressChecks.set(attempt.number, now + SILENT_CHECK_INTERVAL_NANOS);
        // Only a wholly silent upstream counts as failed: one that sends to others may be busy, and avoiding it would
        // overload the rest.
        attempt.upstream.recordSilence(now, watchedNow);
        if (call.openAttempts.getLast() == attempt) {
            outcomeListener.onSilent(now, attempt, silentNanos);
        }
    }

    /** Ends an attempt that runs on after its caller has left, once its time is up; else looks at it then. */
    private void endIfOverdue(long now, DirectAttempt attempt) {
        long overdueAt = attempt.call.deadlineNanos + OVERDUE_MARGIN_NANOS;
        if (now < overdueAt) {
            progressChecks.set(attempt.number, overdueAt);
        } else {
            cancelFor(now, attempt, "overdue");
        }
    }

    /**
     * Returns the time until an attempt may be found silent, alone or with its whole upstream. Where both are silent
     * already and the attempt may take longer, it is looked at again at intervals.
     */
    private static long nextCheckNanos(long watchedNow, DirectAttempt attempt, long timeoutNanos) {
        long ownNanos = attempt.silentNanos(watchedNow);
        long upstreamNanos = attempt.upstream.silentNanos(watchedNow);
        long untilSilentNanos = UpstreamInstance.SILENCE_NANOS - Math.min(ownNanos, upstreamNanos);
        long untilCheckNanos = untilSilentNanos > 0
                ? Math.min(untilSilentNanos, MAX_CHECK_INTERVAL_NANOS)
                : SILENT_CHECK_INTERVAL_NANOS;
        return Math.min(timeoutNanos - ownNanos, untilCheckNanos);
    }

    /** Returns the time without progress after which an attempt may be replaced. */
    private static long timeoutNanos(long watchedNow, DirectAttempt attempt) {
        if (!attempt.call.responseStarted) {
            return responseTimeoutNanos(attempt.call, attempt);
        }
        long stallNanos =
                attempt.upstream.isLongSilent(watchedNow) ? UpstreamInstance.SILENCE_NANOS : STREAM_STALL_NANOS;
        boolean hasEvent = attempt.firstEventAtNanos != Core.NEVER;
        return hasEvent ? stallNanos : Math.min(stallNanos, continuationTimeoutNanos(attempt));
    }

    /**
     * Returns the time without progress after which an attempt that continues a begun stream, and has sent no event,
     * may be replaced: it ends when another one must be sent to reach the caller in time, provided that the first event
     * is overdue by then. Guards against callers that leave although the route allows a further attempt.
     */
    private static long continuationTimeoutNanos(DirectAttempt attempt) {
        long latestSendAt = CallerTimeouts.latestSendAt(attempt.call);
        long firstEventDueAt = attempt.sentAtNanos + Durations.nanos((long) attempt.estimate.firstEventMillis());
        return firstEventDueAt <= latestSendAt
                ? Math.max(SILENT_CHECK_INTERVAL_NANOS, latestSendAt - attempt.lastProgressAtNanos)
                : STREAM_STALL_NANOS;
    }

    /** Cancels an attempt of a stream soon after its replacement was sent, unless it goes on before. */
    void limitOverlap(long now, DirectAttempt attempt, DirectAttempt replacement) {
        attempt.replacement = replacement;
        if (!attempt.ended && attempt.hasOpenReplacement() && attempt.call.isStream()) {
            progressChecks.set(attempt.number, now + MAX_STREAM_OVERLAP_NANOS);
        }
    }

    /** Cancels the other attempts of a call, as one of them has made progress. */
    void cancelOthers(long now, DirectAttempt attempt) {
        if (attempt.call.openAttempts.size() <= 1 && !attempt.ended) {
            return;
        }
        for (DirectAttempt other : List.copyOf(attempt.call.openAttempts)) {
            if (other != attempt) {
                cancelFor(now, other, "another-answered");
            }
        }
    }

    /** Cancels an attempt in favour of another one of its call. */
    void cancelFor(long now, DirectAttempt attempt, String reason) {
        cancel(attempt);
        log.noteCancelled(now, attempt, reason);
    }

    /** Closes an attempt and cancels its exchange, so that the upstream stops working on it. */
    void cancel(DirectAttempt attempt) {
        close(attempt);
        attempt.call.mayHaveRun |= !attempt.prefillOnly;
        if (attempt.exchange != null) {
            // An orderly close would still deliver what waits in the send buffer.
            attempt.exchange.cancelAndReset();
        }
    }

    private void close(DirectAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        heldResponses.remove(attempt.number);
        attempts.remove(attempt.number);
        attempt.call.openAttempts.remove(attempt);
        progressChecks.clear(attempt.number);
        attempt.upstream.localAttempts--;
        attempt.upstream.localMemoryTokens -= attempt.memoryTokens();
        attempt.upstream.eventWaits.remove(attempt.number);
        removePendingPrompt(attempt);
    }

    private static void removePendingPrompt(DirectAttempt attempt) {
        attempt.promptPending = false;
        attempt.upstream.pendingPrompts.remove(attempt.number);
    }
}
