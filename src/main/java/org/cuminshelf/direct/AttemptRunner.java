package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DeadlineQueue;
import org.cuminshelf.core.Durations;
import org.cuminshelf.engines.EngineLatencyModel;
import org.cuminshelf.engines.PromptQueue;
import org.cuminshelf.engines.PromptSample;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.organisations.Organisation;
import org.cuminshelf.routes.RequestKind;
import org.eclipse.jetty.http.HttpFields;

/**
 * Sends attempts to upstreams, takes what comes back, and notices when nothing does. What an outcome means for the call
 * is decided by {@link CallDispatcher}.
 */
final class AttemptRunner {

    /** What becomes of attempts. */
    interface OutcomeListener {

        /** An upstream showed the first event of its run. */
        void onFirstEvent(long now, DirectAttempt attempt);

        /** An upstream answered in full, with success or without. */
        void onCompleted(long now, DirectAttempt attempt);

        /** The connection failed before the answer was whole; {@code sent} tells whether any of the request left. */
        void onConnectionFailed(long now, DirectAttempt attempt, boolean requestSent);

        /** Nothing was heard for too long; the attempt is stopped. */
        void onTimeout(long now, DirectAttempt attempt);

        /** Whether a silent attempt may be given up for another. */
        boolean mayAbandon(long now, DirectAttempt attempt);
    }

    /**
     * Silence of a stream that had begun after which a resumable one goes on elsewhere, where its engine still answers
     * others: it may only be busy, and starting anew costs it a whole prompt. Callers leave after 2 s.
     */
    private static final long STREAM_STALL_NANOS = Durations.nanos(1_500);
    /** The same where nothing at all comes from the engine. */
    private static final long UPSTREAM_SILENCE_NANOS = Durations.nanos(600);
    /** Silence before the first byte after which an idempotent request is sent elsewhere, at the least. */
    private static final long MIN_RESPONSE_TIMEOUT_NANOS = Durations.nanos(150);
    /** Times the usual answer time that an idempotent request may take before it is sent elsewhere. */
    private static final int RESPONSE_TIMEOUT_LATENCY_FACTOR = 4;
    /** Silence before the first event after which a resumable stream is started elsewhere, beyond what is expected. */
    private static final long FIRST_EVENT_MARGIN_NANOS = Durations.nanos(1_500);
    /** Times the expected time to a first event that adds to it. */
    private static final int FIRST_EVENT_ESTIMATE_FACTOR = 3;

    /** Events of a stream from which the time between two is told: fewer say more of the first than of the rest. */
    private static final int MIN_EVENTS_FOR_GAP = 5;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int HTTP_OK = 200;
    private static final long MAX_BODY_BYTES = 16 << 20;
    private static final int DEFAULT_QUEUE_PRIORITY = 5;
    private static final int MAX_QUEUE_PRIORITY = 9;

    private final UpstreamProtocol protocol;
    private final UpstreamClient client;
    private final CallerResponses responses;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final OutcomeListener outcomeListener;
    private final EngineModels engineModels;
    private final LoadGossip loadGossip;
    private final BackpressureListener backpressureListener;
    private final Map<Long, DirectAttempt> attempts = new HashMap<>();
    private final DeadlineQueue<Long> progressChecks = DeadlineQueue.create();
    private long nextAttemptNumber = 1;

    AttemptRunner(
            UpstreamProtocol protocol,
            UpstreamClient client,
            CallerResponses responses,
            LongSupplier clock,
            DecisionLog log,
            EngineModels engineModels,
            LoadGossip loadGossip,
            BackpressureListener backpressureListener,
            OutcomeListener outcomeListener) {
        this.protocol = protocol;
        this.client = client;
        this.responses = responses;
        this.clock = clock;
        this.log = log;
        this.engineModels = engineModels;
        this.loadGossip = loadGossip;
        this.backpressureListener = backpressureListener;
        this.outcomeListener = outcomeListener;
    }

    long nextDue() {
        return progressChecks.next();
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /**
     * Sends a call to the upstream chosen for it.
     *
     * @param now    the time in nanoseconds
     * @param call   the call
     * @param choice where it goes
     */
    void send(long now, DirectCall call, UpstreamSelector.Choice choice) {
        UpstreamInstance upstream = choice.upstream();
        DirectAttempt attempt = new DirectAttempt(nextAttemptNumber++, call, choice, now);
        call.lastAttempt = attempt;
        attempts.put(attempt.number, attempt);
        upstream.localAttempts++;
        upstream.localMemoryTokens += attempt.memoryTokens();
        if (attempt.estimate.prefillMillis() > 0) {
            upstream.pendingPrompts.add(
                    attempt.number, new PromptQueue.PendingPrompt(now, attempt.estimate.prefillMillis()));
            attempt.promptPending = true;
        }
        call.intent.generation().ifPresent(shape -> {
            double readyMillis = attempt.estimate.queueMillis() + attempt.estimate.prefillMillis();
            upstream.promptCache.recordPrompt(shape.segments(), now + Durations.nanos((long) readyMillis));
            loadGossip.onPromptSent(upstream, shape, readyMillis);
        });
        if (!attempt.prefillOnly) {
            call.attemptCount++;
        }
        AttemptPlan plan = new AttemptPlan(
                upstream.name,
                call.organisation.map(Organisation::name),
                Durations.millisLeft(now, call.deadlineNanos),
                queuePriority(call),
                attempt.prefillOnly,
                attempt.prefillOnly ? Optional.empty() : call.kvCache,
                choice.prefixSource().map(row -> row.address),
                call.lastEventId);
        UpstreamRequest request = protocol.attemptRequest(call.request, plan);
        progressChecks.set(attempt.number, now + responseTimeoutNanos(call, attempt));
        attempt.exchange = client.send(upstream.address, upstream.id, request, new ResponseHandler(attempt));
    }

    /** The place of a call in an engine's queue: by the rank of its organisation, or that of its route. */
    private static int queuePriority(DirectCall call) {
        return Math.clamp(DEFAULT_QUEUE_PRIORITY - 2 + call.priority(), 0, MAX_QUEUE_PRIORITY);
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

    /** Takes the answer to one attempt. */
    private final class ResponseHandler implements UpstreamHandler {

        private final DirectAttempt attempt;

        private ResponseHandler(DirectAttempt attempt) {
            this.attempt = attempt;
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
                AttemptRunner.this.onComplete(clock.getAsLong(), attempt);
            }
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            if (!attempt.ended) {
                AttemptRunner.this.onConnectionFailed(clock.getAsLong(), attempt, sent, reason);
            }
        }
    }

    private void onHead(long now, DirectAttempt attempt, int status, HttpFields headers) {
        attempt.status = status;
        attempt.headers = headers;
        attempt.metadata = protocol.readMetadata(status, headers);
        attempt.lastProgressAtNanos = now;
        String requestId = attempt.call.intent.id();
        backpressureListener.onResponseHead(
                now, attempt.upstream, attempt.sentAtNanos, requestId, status, attempt.metadata);
        if (attempt.metadata.requestId().filter(id -> !id.equals(requestId)).isPresent()) {
            // An upstream may answer twice, or late: these bytes belong to another request.
            attempt.exchange.cancel();
            onConnectionFailed(now, attempt, true, "the answer names another request");
        }
    }

    private void onBody(long now, DirectAttempt attempt, ByteBuffer bytes) {
        attempt.lastProgressAtNanos = now;
        attempt.upstream.lastResponseAtNanos = now;
        DirectCall call = attempt.call;
        if (call.isStream() && !attempt.prefillOnly && attempt.isSuccess()) {
            attempt.eventSplitter.add(bytes);
            forwardEvents(now, attempt);
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        attempt.responseBody.write(copy, 0, copy.length);
        if (attempt.responseBody.size() > MAX_BODY_BYTES) {
            attempt.exchange.cancel();
            onConnectionFailed(now, attempt, true, "the answer is too large");
        }
    }

    private void forwardEvents(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        Optional<EventSplitter.Event> event = attempt.eventSplitter.next();
        while (event.isPresent() && !call.closed) {
            onFirstEvent(now, attempt);
            boolean alreadyDelivered = event.get().id().isPresent()
                    && call.lastEventId.isPresent()
                    && event.get().id().getAsLong() <= call.lastEventId.getAsLong();
            if (!alreadyDelivered) {
                responses.startResponse(now, attempt);
                call.exchange.part(ByteBuffer.wrap(event.get().bytes()));
                if (call.deliveredEvents > 0) {
                    call.longestGapNanos = Math.max(call.longestGapNanos, now - call.lastEventAtNanos);
                }
                call.lastEventAtNanos = now;
                call.deliveredEvents++;
                call.lastEventId = event.get().id().isPresent() ? event.get().id() : call.lastEventId;
            }
            event = attempt.eventSplitter.next();
        }
        progressChecks.set(attempt.number, now + UPSTREAM_SILENCE_NANOS);
    }

    /** Learns from the first event of an attempt. */
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

    private void onComplete(long now, DirectAttempt attempt) {
        if (attempt.prefillOnly && attempt.promptPending && attempt.status == HTTP_OK) {
            onPromptProcessed(now, attempt);
        }
        observeEventGap(attempt);
        close(attempt);
        outcomeListener.onCompleted(now, attempt);
    }

    /** Learns from a stream that went through at one engine how far apart its events are. */
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
        DirectCall call = attempt.call;
        log.note(
                "attempt",
                call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "sent",
                requestSent,
                "outcome",
                "broken",
                "reason",
                reason,
                "ms",
                Durations.millis(now - attempt.sentAtNanos),
                "run-ms",
                attempt.firstEventAtNanos == Core.NEVER ? "none" : Durations.millis(now - attempt.firstEventAtNanos),
                "fingerprint",
                requestSent ? call.fingerprint() : "none");
        outcomeListener.onConnectionFailed(now, attempt, requestSent);
    }

    // ---- time

    void tick(long now) {
        Optional<Long> due = progressChecks.poll(now);
        while (due.isPresent()) {
            Option.of(attempts.get(due.get())).forEach(attempt -> checkProgress(now, attempt));
            due = progressChecks.poll(now);
        }
    }

    /** Looks after an attempt of which nothing was heard for a while. */
    private void checkProgress(long now, DirectAttempt attempt) {
        DirectCall call = attempt.call;
        if (attempt.ended || call.closed) {
            return;
        }
        long silentNanos = now - attempt.lastProgressAtNanos;
        boolean upstreamSilent = now - attempt.upstream.lastResponseAtNanos >= UPSTREAM_SILENCE_NANOS;
        long stallNanos = upstreamSilent ? UPSTREAM_SILENCE_NANOS : STREAM_STALL_NANOS;
        long timeoutNanos = call.responseStarted ? stallNanos : responseTimeoutNanos(call, attempt);
        if (silentNanos < timeoutNanos) {
            progressChecks.set(
                    attempt.number, Math.min(attempt.lastProgressAtNanos + timeoutNanos, now + UPSTREAM_SILENCE_NANOS));
            return;
        }
        if (!outcomeListener.mayAbandon(now, attempt)) {
            progressChecks.set(attempt.number, now + timeoutNanos);
            return;
        }
        // Kept connections may have gone silent without a reset; none of them is used again.
        client.discardIdleConnections(attempt.upstream.address, attempt.upstream.id);
        if (now - attempt.upstream.lastResponseAtNanos >= UPSTREAM_SILENCE_NANOS) {
            // It may be busy as long as it answers others, and avoiding it would overload the rest.
            attempt.upstream.recordFailure(now);
        }
        cancel(attempt);
        log.note(
                "attempt",
                call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "silent",
                "quiet-ms",
                Durations.millis(silentNanos),
                "events",
                call.deliveredEvents);
        outcomeListener.onTimeout(now, attempt);
    }

    /** Ends an attempt and has its upstream stop working on it. */
    void cancel(DirectAttempt attempt) {
        close(attempt);
        if (attempt.exchange != null) {
            attempt.exchange.cancel();
        }
    }

    private void close(DirectAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempts.remove(attempt.number);
        progressChecks.clear(attempt.number);
        attempt.upstream.localAttempts--;
        attempt.upstream.localMemoryTokens -= attempt.memoryTokens();
        removePendingPrompt(attempt);
    }

    private static void removePendingPrompt(DirectAttempt attempt) {
        attempt.promptPending = false;
        attempt.upstream.pendingPrompts.remove(attempt.number);
    }
}
