package org.cuminshelf.direct;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Deadlines;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.Cause;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Carries calls to their one answer: sends attempts, passes answers on, and decides after each failure what may still
 * be done. The rule is the verdict's: what did not run may go elsewhere; what may have run goes elsewhere only if it
 * may be repeated, and is never answered as "not run".
 */
final class CallSystem {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * Silence of a stream that had begun after which a resumable one goes on elsewhere, where its engine still answers
     * others: it may only be busy, and starting anew costs it a whole prompt. Callers leave after 2 s.
     */
    private static final long STALLED = Durations.nanos(1_500);
    /** The same where nothing at all comes from the engine. */
    private static final long STALLED_WITH_ENGINE = Durations.nanos(600);
    /** Time for which a caller waits for the first event at the most, and times the target, whichever is longer. */
    private static final double LONGEST_FIRST_MILLIS = 1_900;

    private static final double LONGEST_FIRST_FACTOR = 3.8;
    /**
     * Milliseconds that a prompt may wait for others before it. Under more work than the engines can take, a longer
     * queue serves no more requests but all of them late: with 600 ms a fifth of the answered prompts of heavy days
     * were late, with 150 ms a twentieth, and the mean worth of five days rose by 0.023. Targets are 200 ms and more.
     */
    private static final double LONGEST_WAIT_MILLIS = 150;
    /**
     * Milliseconds of prompts before it for which a prompt waits at an engine rather than here. It covers the time in
     * which entries don't know of each other's prompts; with less, all of them find the same engine free at once.
     */
    private static final double ENGINE_WAIT_MILLIS = 100;
    /** Milliseconds to the first event of a usual prompt, where no engine could be estimated. */
    private static final double USUAL_FIRST_MILLIS = 50;
    /** Calls that wait which are tried in vain at one time: what engines can't take now they can't for the others. */
    private static final int MOST_FAILED_TRIES = 3;
    /** Silence before the first byte after which an idempotent request is sent elsewhere, at the least. */
    private static final long SILENT_LEAST = Durations.nanos(150);
    /** Times the usual answer time that an idempotent request may take before it is sent elsewhere. */
    private static final int SILENT_FACTOR = 4;
    /** Silence before the first event after which a resumable stream is started elsewhere, beyond what is expected. */
    private static final long SILENT_STREAM = Durations.nanos(1_500);
    /** Times the expected time to a first event that adds to it. */
    private static final int SILENT_EXPECTED = 3;
    /** Least time left for which another attempt is worth sending. */
    private static final long LEAST_TIME_LEFT = Durations.nanos(60);
    /** When to come back after a refusal, in milliseconds: soon enough for an upstream's place to have come free. */
    private static final long RETRY_AFTER_MILLIS = 200;

    /** The same where all places of all engines are taken: streams end after some 2 s, so half of them by then. */
    private static final long FULL_RETRY_AFTER_MILLIS = 1_000;

    private static final long MOST_BODY = 16 << 20;
    private static final int MIDDLE_PRIORITY = 5;
    private static final int HIGHEST_PRIORITY_NUMBER = 9;

    private final UpstreamProtocol protocol;
    private final UpstreamPort port;
    private final UpstreamTable upstreams;
    private final Placement placement;
    private final ControlFeed control;
    private final RepeatBudget budget;
    private final LongSupplier clock;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Map<Long, CallRow> open = new HashMap<>();
    private final Map<Long, AttemptRow> attempts = new HashMap<>();
    private final Deadlines<Long> callDeadlines = Deadlines.create();
    private final Deadlines<Long> attemptChecks = Deadlines.create();
    private final WaitingCalls waiting = new WaitingCalls();
    private long nextAttempt = 1;

    CallSystem(
            UpstreamProtocol protocol,
            UpstreamPort port,
            UpstreamTable upstreams,
            Placement placement,
            ControlFeed control,
            RepeatBudget budget,
            LongSupplier clock,
            Invariants invariants,
            DecisionLog log) {
        this.protocol = protocol;
        this.port = port;
        this.upstreams = upstreams;
        this.placement = placement;
        this.control = control;
        this.budget = budget;
        this.clock = clock;
        this.invariants = invariants;
        this.log = log;
    }

    int open() {
        return open.size();
    }

    long nextDue() {
        return Math.min(waiting.nextDue(), Math.min(callDeadlines.next(), attemptChecks.next()));
    }

    // ---- the way of a call

    void start(long now, CallRow call) {
        open.put(call.number, call);
        callDeadlines.set(call.number, call.deadline);
        budget.onRequest(now, call.service);
        call.intent
                .generation()
                .ifPresent(shape ->
                        control.offered(call.service, placement.offeredTokens(now, call, shape), shape.outputTokens()));
        place(now, call);
    }

    /** Sends a call where it is served best, lets it wait, or refuses it. */
    private void place(long now, CallRow call) {
        Optional<Placement.Choice> choice = placement.choose(now, call);
        choice.ifPresent(found -> expect(call, found));
        if (choice.isEmpty()) {
            boolean full = placement.hasOpen(now, call);
            boolean waits = full ? waitsForTurn(now, call, USUAL_FIRST_MILLIS) : waitsForUpstreams(now, call);
            if (!waits) {
                refuseUnplaced(now, call, full);
            }
        } else if (isHopeless(now, call, choice.get())) {
            refuseLate(now, call, choice.get());
        } else if (choice.get().waitMillis() <= ENGINE_WAIT_MILLIS
                || !waitsForTurn(
                        now, call, choice.get().firstMillis() - choice.get().waitMillis())) {
            sendUnlessLate(now, call, choice.get());
        }
    }

    private static void expect(CallRow call, Placement.Choice choice) {
        if (call.attempt == null) {
            call.expectedMillis = choice.firstMillis();
            call.waitMillis = choice.waitMillis();
        }
    }

    /** Whether a call waits here for its turn; one that an upstream has had, or whose answer began, doesn't. */
    private boolean waitsForTurn(long now, CallRow call, double ownMillis) {
        return call.attempt == null && call.isStream() && waiting.addForTurn(now, call, ownMillis);
    }

    /**
     * Whether a call waits for upstreams that this entry has not heard of yet. Guards against a refusal of all that comes
     * while all processes restart together, of which half came back before anything was known and was lost.
     */
    private boolean waitsForUpstreams(long now, CallRow call) {
        return call.attempt == null && control.isYoung(now) && waiting.addForUpstreams(now, call);
    }

    private void sendUnlessLate(long now, CallRow call, Placement.Choice choice) {
        if (call.attempt != null || choice.waitMillis() <= LONGEST_WAIT_MILLIS) {
            send(now, call, choice);
        } else {
            refuseLate(now, call, choice);
        }
    }

    private void refuseUnplaced(long now, CallRow call, boolean full) {
        call.lastFailure = Optional.of(
                full
                        ? new Verdict.NotRun(Cause.OVERLOADED, FULL_RETRY_AFTER_MILLIS)
                        : new Verdict.NotRun(Cause.NO_UPSTREAM, RETRY_AFTER_MILLIS));
        giveUp(now, call, full ? "all places are taken" : "no-upstream");
    }

    private void refuseLate(long now, CallRow call, Placement.Choice choice) {
        long wait = (long) Math.max(RETRY_AFTER_MILLIS, choice.waitMillis());
        call.lastFailure = Optional.of(new Verdict.NotRun(Cause.OVERLOADED, wait));
        giveUp(now, call, "too-late");
    }

    /** Tries calls that wait, as long as engines take any. */
    private void tryWaiting(long now) {
        int failures = 0;
        for (CallRow call : waiting.due(now)) {
            if (failures < MOST_FAILED_TRIES || waiting.isOver(now, call)) {
                AttemptRow before = call.attempt;
                place(now, call);
                failures += call.attempt == before ? 1 : 0;
            }
        }
    }

    /**
     * Whether a generation would be answered too late to be of use. Guards against a queue of which every answer is
     * late, or made for callers that have left: what can't be served in time is refused at once, while the rest is.
     */
    private static boolean isHopeless(long now, CallRow call, Placement.Choice choice) {
        if (call.begun || call.cache.isPresent() || choice.firstMillis() == 0) {
            return false;
        }
        double target = call.route.targetMillis();
        double own = choice.firstMillis() - choice.waitMillis();
        double first = Durations.millis(now - call.arrivedAt) + own;
        return first > Math.max(LONGEST_FIRST_MILLIS, LONGEST_FIRST_FACTOR * target)
                || now + Durations.nanos((long) own) > call.deadline;
    }

    private void send(long now, CallRow call, Placement.Choice choice) {
        invariants.check(
                call.isRepeatable() || !call.mayHaveRun,
                "at-most-once",
                () -> "request " + call.intent.id() + " is sent again though it may have run");
        waiting.remove(call);
        UpstreamRow upstream = choice.upstream();
        AttemptRow attempt = new AttemptRow(nextAttempt++, call, choice, now);
        call.attempt = attempt;
        attempts.put(attempt.number, attempt);
        upstream.running++;
        upstream.tokens += attempt.tokens();
        upstream.promptWaiting[UpstreamRow.rankIndex(call.route.priority())] += attempt.promptMillis;
        attempt.promptCounted = true;
        call.intent.generation().ifPresent(shape -> upstream.cache.add(shape.parts(), placement.cacheShare(call)));
        if (!attempt.prefillOnly) {
            call.attempts++;
        }
        AttemptPlan plan = new AttemptPlan(
                upstream.id,
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

    /** The place of a call in an engine's queue: by the rank of its route. */
    private static int priority(CallRow call) {
        return Math.min(HIGHEST_PRIORITY_NUMBER, MIDDLE_PRIORITY - 2 + call.route.priority());
    }

    private static long silence(CallRow call, AttemptRow attempt) {
        if (call.route.kind() == RequestKind.IDEMPOTENT) {
            return Math.max(SILENT_LEAST, SILENT_FACTOR * attempt.upstream.usualLatency());
        }
        return SILENT_STREAM + SILENT_EXPECTED * Durations.nanos((long) attempt.firstMillis);
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
                CallSystem.this.onHead(clock.getAsLong(), attempt, status, headers);
            }
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            if (!attempt.ended) {
                CallSystem.this.onBody(clock.getAsLong(), attempt, bytes);
            }
        }

        @Override
        public void onComplete() {
            if (!attempt.ended) {
                CallSystem.this.onComplete(clock.getAsLong(), attempt);
            }
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            if (!attempt.ended) {
                CallSystem.this.onBroken(clock.getAsLong(), attempt, sent, reason);
            }
        }
    }

    private void onHead(long now, AttemptRow attempt, int status, HttpFields headers) {
        attempt.status = status;
        attempt.headers = headers;
        attempt.facts = protocol.facts(status, headers);
        attempt.lastProgressAt = now;
        String own = attempt.call.intent.id();
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
            uncountPrompt(attempt);
            boolean known = event.get().id().isPresent()
                    && call.lastEvent.isPresent()
                    && event.get().id().getAsLong() <= call.lastEvent.getAsLong();
            if (!known) {
                begin(now, call, attempt);
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

    private static void begin(long now, CallRow call, AttemptRow attempt) {
        if (!call.begun) {
            call.begun = true;
            call.firstAnswerAt = now;
            call.exchange.begin(attempt.status, passedHeaders(attempt.headers));
        }
    }

    private void onComplete(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        end(attempt);
        if (attempt.prefillOnly) {
            onPromptTaken(now, attempt);
        } else if (attempt.isSuccess()) {
            attempt.upstream.succeeded(now - attempt.sentAt);
            if (call.isStream()) {
                begin(now, call, attempt);
                call.exchange.part(ByteBuffer.wrap(attempt.events.rest()));
                call.exchange.end();
            } else {
                call.firstAnswerAt = now;
                call.exchange.answer(
                        attempt.status, passedHeaders(attempt.headers), ByteBuffer.wrap(attempt.body.toByteArray()));
            }
            finish(now, call, attempt, String.valueOf(attempt.status));
        } else {
            onRefusal(now, attempt);
        }
    }

    /** The upstream answered in full, but not with success. */
    private void onRefusal(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        if (attempt.facts.isOtherThan(attempt.upstream.id)) {
            upstreams.end(now, attempt.upstream.id, "another start has its address");
            failed(now, attempt, new Verdict.NotRun(Cause.WRONG_INCARNATION, 0));
            return;
        }
        if (attempt.facts.notExecuted()) {
            log.note(
                    "attempt",
                    call.intent.id(),
                    "upstream",
                    attempt.upstream.id,
                    "outcome",
                    "not-executed",
                    "status",
                    attempt.status,
                    "prompt-ms",
                    Math.round(attempt.promptMillis),
                    "running",
                    attempt.upstream.running);
            attempt.upstream.avoid(now + Durations.nanos(RETRY_AFTER_MILLIS) / 2);
            failed(now, attempt, new Verdict.NotRun(Cause.OVERLOADED, RETRY_AFTER_MILLIS));
            return;
        }
        boolean repeat = call.isRepeatable()
                && isServerError(attempt.status)
                && mayRepeat(now, call)
                && budget.take(now, call.service, control.entries().size());
        if (!call.begun && attempt.facts.authentic() && !repeat) {
            call.exchange.answer(
                    attempt.status, passedHeaders(attempt.headers), ByteBuffer.wrap(attempt.body.toByteArray()));
            finish(now, call, attempt, String.valueOf(attempt.status));
            return;
        }
        failed(now, attempt, new Verdict.HasRun(Cause.UPSTREAM_ERROR), !repeat);
    }

    private static boolean isServerError(int status) {
        int firstServerError = 500;
        return status >= firstServerError;
    }

    private void onPromptTaken(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        int ok = 200;
        Optional<String> handle =
                attempt.status == ok ? protocol.cacheHandle(attempt.body.toByteArray()) : Optional.empty();
        if (handle.isPresent()) {
            attempt.upstream.succeeded(now - attempt.sentAt);
            call.readMillis = Durations.millis(now - attempt.sentAt);
            call.cache = Optional.of(new CacheHandle(attempt.upstream.address, handle.get()));
            place(now, call);
            return;
        }
        if (attempt.facts.isOtherThan(attempt.upstream.id)) {
            upstreams.end(now, attempt.upstream.id, "another start has its address");
        } else {
            attempt.upstream.failed(now);
        }
        // Taking a prompt in runs nothing: whatever came back, the request did not run there.
        failed(now, attempt, new Verdict.NotRun(Cause.UPSTREAM_ERROR, 0));
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
                Durations.millis(now - attempt.sentAt));
        if (!sent) {
            // It never arrived anywhere: that counts neither as an attempt nor as a repeat.
            call.attempts -= attempt.prefillOnly ? 0 : 1;
            failed(now, attempt, new Verdict.NotRun(Cause.CONNECT_FAILED, RETRY_AFTER_MILLIS), false);
        } else if (attempt.prefillOnly) {
            failed(now, attempt, new Verdict.NotRun(Cause.CONNECTION_BROKEN, RETRY_AFTER_MILLIS));
        } else {
            failed(now, attempt, new Verdict.MayHaveRun(Cause.CONNECTION_BROKEN));
        }
    }

    // ---- after a failure

    private void failed(long now, AttemptRow attempt, Verdict verdict) {
        failed(now, attempt, verdict, true);
    }

    private void failed(long now, AttemptRow attempt, Verdict verdict, boolean arrived) {
        CallRow call = attempt.call;
        if (call.done) {
            return;
        }
        call.excluded.add(attempt.upstream.id);
        call.lastFailure = Optional.of(verdict);
        if (!(verdict instanceof Verdict.NotRun)) {
            call.mayHaveRun = true;
        }
        if (attempt.prefillOnly) {
            call.wholeOnly = true;
        } else if (call.cache.isPresent()) {
            // A refusal may leave the KV cache where it is: another engine may have room for it.
            call.handoversFailed++;
            if (!(verdict instanceof Verdict.NotRun) || call.handoversFailed > 1) {
                releaseCache(call);
            }
        }
        boolean safe = !call.mayHaveRun || call.isRepeatable();
        if (safe
                && mayRepeat(now, call)
                && budget.take(now, call.service, control.entries().size())) {
            place(now, call);
        } else {
            giveUp(now, call, verdict.word() + "/" + verdict.cause());
        }
    }

    private boolean mayRepeat(long now, CallRow call) {
        return call.attempts < call.route.maxAttempts() && now + LEAST_TIME_LEFT < call.deadline;
    }

    /** Gives the final answer at once. */
    private void giveUp(long now, CallRow call, String reason) {
        if (call.done) {
            return;
        }
        if (call.begun) {
            call.exchange.abort();
        } else if (call.mayHaveRun) {
            boolean late = now >= call.deadline;
            answerPlainly(
                    call.exchange, late ? GATEWAY_TIMEOUT : BAD_GATEWAY, "The request may have run: " + reason + ".");
        } else {
            long wait = call.lastFailure
                    .filter(verdict -> verdict instanceof Verdict.NotRun)
                    .map(verdict -> ((Verdict.NotRun) verdict).retryAfterMillis())
                    .filter(millis -> millis > 0)
                    .orElse(RETRY_AFTER_MILLIS);
            refuse(call.exchange, "The request did not run: " + reason + ".", wait);
        }
        log.note(
                "request",
                call.intent.id(),
                "outcome",
                call.begun ? "cut" : call.mayHaveRun ? "may-have-run" : "not-run",
                "reason",
                reason,
                "route",
                call.route.name(),
                "config",
                control.version(),
                "attempts",
                call.attempts,
                "events",
                call.eventsGiven,
                "upstream",
                call.attempt == null ? "none" : call.attempt.upstream.id,
                "quiet-ms",
                call.attempt == null ? 0 : Durations.millis(now - call.attempt.lastProgressAt),
                "tokens",
                call.promptTokens(),
                "expected-ms",
                Math.round(call.expectedMillis),
                "wait-ms",
                Math.round(call.waitMillis),
                "ms",
                Durations.millis(now - call.arrivedAt));
        close(call);
    }

    void refuseUnready(CallerExchange exchange, CallIntent intent) {
        log.note("request", intent.id(), "outcome", "not-run", "reason", "no confirmed configuration yet");
        refuse(exchange, "This process has no confirmed configuration yet.", RETRY_AFTER_MILLIS);
    }

    private static void refuse(CallerExchange exchange, String text, long retryAfterMillis) {
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.RETRY_AFTER, String.valueOf(retryAfterMillis / 1_000.0))
                .put(HttpHeader.CONTENT_TYPE, "text/plain");
        exchange.answer(UNAVAILABLE, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    void answerPlainly(CallerExchange exchange, int status, String text) {
        HttpFields headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, "text/plain");
        exchange.answer(status, headers, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpFields passedHeaders(HttpFields headers) {
        HttpFields.Mutable passed = HttpFields.build();
        headers.forEach(field -> {
            if (!HopHeaders.contains(field)) {
                passed.add(field);
            }
        });
        return passed;
    }

    // ---- time, and callers that leave

    void tick(long now) {
        Optional<Long> due = callDeadlines.poll(now);
        while (due.isPresent()) {
            Option.of(open.get(due.get())).forEach(call -> expire(now, call));
            due = callDeadlines.poll(now);
        }
        due = attemptChecks.poll(now);
        while (due.isPresent()) {
            Option.of(attempts.get(due.get())).forEach(attempt -> check(now, attempt));
            due = attemptChecks.poll(now);
        }
        tryWaiting(now);
    }

    private void expire(long now, CallRow call) {
        AttemptRow attempt = call.attempt;
        if (attempt != null && !attempt.ended) {
            call.mayHaveRun |= !attempt.prefillOnly;
            stop(attempt);
        }
        giveUp(now, call, "the time is up");
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
        boolean mayMove = attempt.prefillOnly || call.isRepeatable();
        if (!mayMove || !mayRepeat(now, call)) {
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
        failed(
                now,
                attempt,
                attempt.prefillOnly
                        ? new Verdict.NotRun(Cause.UPSTREAM_SILENT, 0)
                        : new Verdict.MayHaveRun(Cause.UPSTREAM_SILENT));
    }

    void callerGone(long now, CallRow call) {
        if (call.done) {
            return;
        }
        AttemptRow attempt = call.attempt;
        boolean running = attempt != null && !attempt.ended;
        if (running && (call.isStream() || call.isRepeatable())) {
            stop(attempt);
        }
        log.ordinary(
                call.intent.id(),
                "outcome",
                "caller-gone",
                "route",
                call.route.name(),
                "events",
                call.eventsGiven,
                "ms",
                Durations.millis(now - call.arrivedAt));
        close(call);
    }

    private void stop(AttemptRow attempt) {
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
        uncountPrompt(attempt);
    }

    private static void uncountPrompt(AttemptRow attempt) {
        if (attempt.promptCounted) {
            attempt.promptCounted = false;
            attempt.upstream.promptWaiting[UpstreamRow.rankIndex(attempt.call.route.priority())] -=
                    attempt.promptMillis;
        }
    }

    private void finish(long now, CallRow call, AttemptRow attempt, String outcome) {
        log.ordinary(
                call.intent.id(),
                "outcome",
                outcome,
                "route",
                call.route.name(),
                "upstream",
                attempt.upstream.id,
                "attempts",
                call.attempts,
                "events",
                call.eventsGiven,
                "tokens",
                call.promptTokens(),
                "expected-ms",
                Math.round(call.expectedMillis),
                "wait-ms",
                Math.round(call.waitMillis),
                "read-ms",
                call.readMillis,
                "way",
                attempt.hadCache ? "split" : "whole",
                "pause-ms",
                Durations.millis(call.longestPause),
                "first-ms",
                Durations.millis(call.firstAnswerAt - call.arrivedAt),
                "ms",
                Durations.millis(now - call.arrivedAt));
        call.cache = Optional.empty();
        close(call);
    }

    private void close(CallRow call) {
        call.done = true;
        waiting.remove(call);
        open.remove(call.number);
        callDeadlines.clear(call.number);
        releaseCache(call);
    }

    /** Frees a KV cache that nobody will take; it would fill the engine's memory until it lapses. */
    private void releaseCache(CallRow call) {
        if (call.cache.isEmpty()) {
            return;
        }
        CacheHandle handle = call.cache.get();
        call.cache = Optional.empty();
        upstreams.rows().stream()
                .filter(row -> row.address.equals(handle.engine()))
                .findFirst()
                .ifPresent(row -> port.send(row.address, row.id, protocol.release(handle), new Ignored()));
    }

    /** The answer to a word that needs none. */
    private static final class Ignored implements UpstreamHandler {
        @Override
        public void onHead(int status, HttpFields headers) {
            // Whatever the engine says, the cache lapses by itself.
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // As above.
        }

        @Override
        public void onComplete() {
            // As above.
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            // As above.
        }
    }

    /** When the next check is due, for tests of a table that should be empty. */
    boolean isIdle() {
        return open.isEmpty() && attempts.isEmpty() && nextDue() == Core.NEVER;
    }
}
