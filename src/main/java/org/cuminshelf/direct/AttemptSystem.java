package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Deadlines;
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
 * is decided by {@link CallSystem}.
 */
final class AttemptSystem {

    /** What becomes of attempts. */
    interface Outcomes {

        /** An upstream showed the first event of its run. */
        void firstEvent(long now, AttemptRow attempt);

        /** An upstream answered in full, with success or without. */
        void answered(long now, AttemptRow attempt);

        /** The connection failed before the answer was whole; {@code sent} tells whether any of the request left. */
        void broken(long now, AttemptRow attempt, boolean sent);

        /** Nothing was heard for too long; the attempt is stopped. */
        void silent(long now, AttemptRow attempt);

        /** Whether a silent attempt may be given up for another. */
        boolean mayMove(long now, AttemptRow attempt);
    }

    /**
     * Silence of a stream that had begun after which a resumable one goes on elsewhere, where its engine still answers
     * others: it may only be busy, and starting anew costs it a whole prompt. Callers leave after 2 s.
     */
    private static final long STALLED = Durations.nanos(1_500);
    /** The same where nothing at all comes from the engine. */
    private static final long STALLED_WITH_ENGINE = Durations.nanos(600);
    /** Silence before the first byte after which an idempotent request is sent elsewhere, at the least. */
    private static final long SILENT_LEAST = Durations.nanos(150);
    /** Times the usual answer time that an idempotent request may take before it is sent elsewhere. */
    private static final int SILENT_FACTOR = 4;
    /** Silence before the first event after which a resumable stream is started elsewhere, beyond what is expected. */
    private static final long SILENT_STREAM = Durations.nanos(1_500);
    /** Times the expected time to a first event that adds to it. */
    private static final int SILENT_EXPECTED = 3;

    /** Events of a stream from which the time between two is told: fewer say more of the first than of the rest. */
    private static final int EVENTS_FOR_GAP = 5;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int OK = 200;
    private static final long MOST_BODY = 16 << 20;
    private static final int MIDDLE_PRIORITY = 5;
    private static final int HIGHEST_PRIORITY_NUMBER = 9;

    private final UpstreamProtocol protocol;
    private final UpstreamPort port;
    private final CallerAnswers callers;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Outcomes outcomes;
    private final EngineModels models;
    private final LoadGossip gossip;
    private final DemandWatch demandWatch;
    private final Map<Long, AttemptRow> attempts = new HashMap<>();
    private final Deadlines<Long> attemptChecks = Deadlines.create();
    private long nextAttempt = 1;

    AttemptSystem(
            UpstreamProtocol protocol,
            UpstreamPort port,
            CallerAnswers callers,
            LongSupplier clock,
            DecisionLog log,
            EngineModels models,
            LoadGossip gossip,
            DemandWatch demandWatch,
            Outcomes outcomes) {
        this.protocol = protocol;
        this.port = port;
        this.callers = callers;
        this.clock = clock;
        this.log = log;
        this.models = models;
        this.gossip = gossip;
        this.demandWatch = demandWatch;
        this.outcomes = outcomes;
    }

    long nextDue() {
        return attemptChecks.next();
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
    void send(long now, CallRow call, Placement.Choice choice) {
        UpstreamRow upstream = choice.upstream();
        AttemptRow attempt = new AttemptRow(nextAttempt++, call, choice, now);
        call.attempt = attempt;
        attempts.put(attempt.number, attempt);
        upstream.running++;
        upstream.tokens += attempt.tokens();
        if (attempt.estimate.workMillis() > 0) {
            upstream.prompts.add(attempt.number, new PromptQueue.PendingPrompt(now, attempt.estimate.workMillis()));
            attempt.promptWaits = true;
        }
        call.intent.generation().ifPresent(shape -> {
            double readyMillis = attempt.estimate.waitMillis() + attempt.estimate.workMillis();
            upstream.cache.add(shape.parts(), now + Durations.nanos((long) readyMillis));
            gossip.onSent(upstream, shape, readyMillis);
        });
        if (!attempt.prefillOnly) {
            call.attempts++;
        }
        AttemptPlan plan = new AttemptPlan(
                upstream.name,
                call.organisation.map(Organisation::name),
                Durations.millisLeft(now, call.deadline),
                priority(call),
                attempt.prefillOnly,
                attempt.prefillOnly ? Optional.empty() : call.cache,
                choice.source().map(row -> row.address),
                call.lastEvent);
        UpstreamRequest request = protocol.attempt(call.request, plan);
        attemptChecks.set(attempt.number, now + silence(call, attempt));
        attempt.exchange = port.send(upstream.address, upstream.id, request, new Answers(attempt));
    }

    /** The place of a call in an engine's queue: by the rank of its organisation, or that of its route. */
    private static int priority(CallRow call) {
        return Math.clamp(MIDDLE_PRIORITY - 2 + call.rank(), 0, HIGHEST_PRIORITY_NUMBER);
    }

    private static long silence(CallRow call, AttemptRow attempt) {
        if (call.route.kind() == RequestKind.IDEMPOTENT) {
            return Math.max(SILENT_LEAST, SILENT_FACTOR * attempt.upstream.usualLatency());
        }
        return SILENT_STREAM + SILENT_EXPECTED * Durations.nanos((long) attempt.estimate.firstMillis());
    }

    /** Takes the answer to one attempt. */
    private final class Answers implements UpstreamHandler {

        private final AttemptRow attempt;

        private Answers(AttemptRow attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            if (!attempt.ended) {
                AttemptSystem.this.onHead(clock.getAsLong(), attempt, status, headers);
            }
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (!attempt.ended) {
                AttemptSystem.this.onBody(clock.getAsLong(), attempt, bytes);
            }
        }

        @Override
        public void onComplete() {
            if (!attempt.ended) {
                AttemptSystem.this.onComplete(clock.getAsLong(), attempt);
            }
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            if (!attempt.ended) {
                AttemptSystem.this.onBroken(clock.getAsLong(), attempt, sent, reason);
            }
        }
    }

    private void onHead(long now, AttemptRow attempt, int status, HttpFields headers) {
        attempt.status = status;
        attempt.headers = headers;
        attempt.facts = protocol.facts(status, headers);
        attempt.lastProgressAt = now;
        String own = attempt.call.intent.id();
        demandWatch.onHead(now, attempt.upstream, attempt.sentAt, own, status, attempt.facts);
        if (attempt.facts.requestId().filter(id -> !id.equals(own)).isPresent()) {
            // An upstream may answer twice, or late: these bytes belong to another request.
            attempt.exchange.cancel();
            onBroken(now, attempt, true, "the answer names another request");
        }
    }

    private void onBody(long now, AttemptRow attempt, ByteBuffer bytes) {
        attempt.lastProgressAt = now;
        attempt.upstream.heardAt = now;
        CallRow call = attempt.call;
        if (call.isStream() && !attempt.prefillOnly && attempt.isSuccess()) {
            attempt.events.add(bytes);
            passEvents(now, attempt);
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        attempt.body.write(copy, 0, copy.length);
        if (attempt.body.size() > MOST_BODY) {
            attempt.exchange.cancel();
            onBroken(now, attempt, true, "the answer is too large");
        }
    }

    private void passEvents(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        Optional<EventSplitter.Event> event = attempt.events.next();
        while (event.isPresent() && !call.done) {
            onFirstEvent(now, attempt);
            boolean known = event.get().id().isPresent()
                    && call.lastEvent.isPresent()
                    && event.get().id().getAsLong() <= call.lastEvent.getAsLong();
            if (!known) {
                callers.begin(now, attempt);
                call.exchange.part(ByteBuffer.wrap(event.get().bytes()));
                if (call.eventsGiven > 0) {
                    call.longestPause = Math.max(call.longestPause, now - call.lastEventAt);
                }
                call.lastEventAt = now;
                call.eventsGiven++;
                call.lastEvent = event.get().id().isPresent() ? event.get().id() : call.lastEvent;
            }
            event = attempt.events.next();
        }
        attemptChecks.set(attempt.number, now + STALLED_WITH_ENGINE);
    }

    /** Learns from the first event of an attempt. */
    private void onFirstEvent(long now, AttemptRow attempt) {
        if (attempt.firstEventAt == Core.NEVER) {
            attempt.firstEventAt = now;
            outcomes.firstEvent(now, attempt);
        }
        if (attempt.promptWaits) {
            onPromptTaken(now, attempt);
        } else if (attempt.hadCache && attempt.call.eventsGiven == 0) {
            models.of(attempt.upstream.service)
                    .observeHandover(attempt.call.promptTokens(), millis(now - attempt.sentAt));
        }
    }

    private void onPromptTaken(long now, AttemptRow attempt) {
        forgetPrompt(attempt);
        attempt.upstream.prompts.onPrefilled(now);
        gossip.onTaken(
                attempt.upstream,
                new PromptSample(
                        attempt.upstream.id,
                        attempt.upstream.generates(),
                        attempt.streams,
                        attempt.estimate.held(),
                        attempt.estimate.uncached(),
                        attempt.estimate.waitMillis(),
                        millis(now - attempt.sentAt)));
    }

    private static double millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    private void onComplete(long now, AttemptRow attempt) {
        if (attempt.prefillOnly && attempt.promptWaits && attempt.status == OK) {
            onPromptTaken(now, attempt);
        }
        learnGap(attempt);
        end(attempt);
        outcomes.answered(now, attempt);
    }

    /** Learns from a stream that went through at one engine how far apart its events are. */
    private void learnGap(AttemptRow attempt) {
        CallRow call = attempt.call;
        if (attempt.prefillOnly || call.eventsGiven < EVENTS_FOR_GAP || call.attempts != 1) {
            return;
        }
        EngineLatencyModel model = models.of(attempt.upstream.service);
        model.observeEventInterval(
                attempt.upstream.occupancy(), millis(call.lastEventAt - call.firstAnswerAt) / (call.eventsGiven - 1));
        model.prefillAllowance().observe(millis(call.longestPause), call.route.pauseMillis());
    }

    private void onBroken(long now, AttemptRow attempt, boolean sent, String reason) {
        end(attempt);
        attempt.upstream.failed(now);
        CallRow call = attempt.call;
        log.note(
                "attempt",
                call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "sent",
                sent,
                "outcome",
                "broken",
                "reason",
                reason,
                "ms",
                Durations.millis(now - attempt.sentAt),
                "run-ms",
                attempt.firstEventAt == Core.NEVER ? "none" : Durations.millis(now - attempt.firstEventAt),
                "fingerprint",
                sent ? call.fingerprint() : "none");
        outcomes.broken(now, attempt, sent);
    }

    // ---- time

    void tick(long now) {
        Optional<Long> due = attemptChecks.poll(now);
        while (due.isPresent()) {
            Option.of(attempts.get(due.get())).forEach(attempt -> check(now, attempt));
            due = attemptChecks.poll(now);
        }
    }

    /** Looks after an attempt of which nothing was heard for a while. */
    private void check(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        if (attempt.ended || call.done) {
            return;
        }
        long quiet = now - attempt.lastProgressAt;
        boolean engineSilent = now - attempt.upstream.heardAt >= STALLED_WITH_ENGINE;
        long begun = engineSilent ? STALLED_WITH_ENGINE : STALLED;
        long allowed = call.begun ? begun : silence(call, attempt);
        if (quiet < allowed) {
            attemptChecks.set(attempt.number, Math.min(attempt.lastProgressAt + allowed, now + STALLED_WITH_ENGINE));
            return;
        }
        if (!outcomes.mayMove(now, attempt)) {
            attemptChecks.set(attempt.number, now + allowed);
            return;
        }
        // Kept connections may have gone silent without a reset; none of them is used again.
        port.forgetIdle(attempt.upstream.address, attempt.upstream.id);
        if (now - attempt.upstream.heardAt >= STALLED_WITH_ENGINE) {
            // It may be busy as long as it answers others, and avoiding it would overload the rest.
            attempt.upstream.failed(now);
        }
        stop(attempt);
        log.note(
                "attempt",
                call.intent.id(),
                "upstream",
                attempt.upstream.id,
                "outcome",
                "silent",
                "quiet-ms",
                Durations.millis(quiet),
                "events",
                call.eventsGiven);
        outcomes.silent(now, attempt);
    }

    /** Ends an attempt and has its upstream stop working on it. */
    void stop(AttemptRow attempt) {
        end(attempt);
        if (attempt.exchange != null) {
            attempt.exchange.cancel();
        }
    }

    private void end(AttemptRow attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempts.remove(attempt.number);
        attemptChecks.clear(attempt.number);
        attempt.upstream.running--;
        attempt.upstream.tokens -= attempt.tokens();
        forgetPrompt(attempt);
    }

    private static void forgetPrompt(AttemptRow attempt) {
        attempt.promptWaits = false;
        attempt.upstream.prompts.remove(attempt.number);
    }
}
