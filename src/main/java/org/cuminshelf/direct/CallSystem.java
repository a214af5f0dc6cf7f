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
import org.cuminshelf.core.Deadlines;
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
final class CallSystem {

    /** Calls that wait which are tried in vain at one time: what engines can't take now they can't for the others. */
    private static final int MOST_FAILED_TRIES = 3;
    /** Least time left for which another attempt is worth sending. */
    private static final long LEAST_TIME_LEFT = Durations.nanos(60);

    private final UpstreamProtocol protocol;
    private final UpstreamPort port;
    private final UpstreamTable upstreams;
    private final Placement placement;
    private final ControlFeed control;
    private final RepeatBudget budget;
    private final LongSupplier clock;
    private final Invariants invariants;
    private final DecisionLog log;
    private final Backpressure backpressure;
    private final DemandWatch demandWatch;
    private final PoisonSystem poison;
    private final UsageMeter usage;
    private final CallerAnswers callers;
    private final AttemptSystem attempts;
    private final Map<Long, CallRow> open = new HashMap<>();
    private final Deadlines<Long> callDeadlines = Deadlines.create();
    private final WaitingCalls waiting = new WaitingCalls();
    private final Admission admission;
    private final SizeFairness fairness = new SizeFairness();

    CallSystem(
            UpstreamProtocol protocol,
            UpstreamPort port,
            UpstreamTable upstreams,
            Placement placement,
            ControlFeed control,
            RepeatBudget budget,
            LongSupplier clock,
            Invariants invariants,
            DecisionLog log,
            EngineModels models,
            LoadGossip gossip,
            Backpressure backpressure,
            DemandWatch demandWatch,
            PoisonSystem poison,
            UsageMeter usage) {
        this.protocol = protocol;
        this.port = port;
        this.upstreams = upstreams;
        this.placement = placement;
        this.control = control;
        this.budget = budget;
        this.clock = clock;
        this.invariants = invariants;
        this.log = log;
        this.backpressure = backpressure;
        this.demandWatch = demandWatch;
        this.poison = poison;
        this.usage = usage;
        this.admission = new Admission(placement, control, waiting);
        this.callers = new CallerAnswers(control, log);
        this.attempts = new AttemptSystem(
                protocol, port, callers, clock, log, models, gossip, demandWatch, new AttemptOutcomes());
    }

    /** Gives answers that no call stands behind. */
    CallerAnswers callers() {
        return callers;
    }

    int open() {
        return open.size();
    }

    long nextDue() {
        long ownDue = Math.min(waiting.nextDue(), callDeadlines.next());
        return Math.min(Math.min(ownDue, attempts.nextDue()), poison.nextDue());
    }

    // ---- the way of a call

    void start(long now, CallRow call) {
        Optional<PoisonSystem.Refusal> poisonous = poison.refusal(now, call);
        if (poisonous.isPresent()) {
            call.done = true;
            callers.refuse(call, poisonous.get());
            return;
        }
        open.put(call.number, call);
        callDeadlines.set(call.number, call.deadline);
        budget.onRequest(now, call.service);
        backpressure.limits().onCall(now, call.service);
        call.intent.generation().ifPresent(shape -> {
            call.claim = Optional.of(fairness.arrived(call.route.name(), CallValues.size(shape)));
            call.offered = Optional.of(new OfferedGeneration(
                    control,
                    call.service,
                    placement.readMicros(now, call, shape),
                    placement.runningMicros(call.service, shape)));
        });
        place(now, call);
    }

    private void place(long now, CallRow call) {
        switch (admission.decide(now, call)) {
            case Admission.Decision.Send(Placement.Choice choice) -> send(now, call, choice);
            case Admission.Decision.Wait() -> {
                // It is tried again with the others that wait.
            }
            case Admission.Decision.Refuse(Verdict.NotRun verdict, String reason) -> {
                call.lastFailure = Optional.of(verdict);
                giveUp(now, call, reason);
            }
        }
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

    private void send(long now, CallRow call, Placement.Choice choice) {
        invariants.check(
                call.isRepeatable() || !call.mayHaveRun,
                "at-most-once",
                () -> "request " + call.intent.id() + " is sent again though it may have run");
        waiting.remove(call);
        call.claim.ifPresent(SizeFairness.Claim::sent);
        call.offered.ifPresent(work -> work.sent(choice));
        placement.sent(now, choice);
        returnPermit(call);
        attempts.send(now, call, choice);
        if (choice.prefillOnly()) {
            keepPermit(now, call);
        }
    }

    /**
     * Keeps a permit of the engine that is to go on, where all that could do so state limits. Guards against prompts
     * that are read in vain: many would be read for one permit, of which the first to be ready uses it.
     */
    private void keepPermit(long now, CallRow call) {
        call.keptPermit = placement.limitedForHandover(now, call).map(row -> row.id);
        call.keptPermit.ifPresent(start -> backpressure.limits().takePermit(now, start));
    }

    private void returnPermit(CallRow call) {
        call.keptPermit.ifPresent(backpressure.limits()::returnPermit);
        call.keptPermit = Optional.empty();
    }

    // ---- what became of an attempt

    private final class AttemptOutcomes implements AttemptSystem.Outcomes {

        @Override
        public void firstEvent(long now, AttemptRow attempt) {
            usage.began(attempt.call, now);
        }

        @Override
        public void answered(long now, AttemptRow attempt) {
            if (!attempt.prefillOnly && !attempt.facts.notExecuted()) {
                // A plain call begins to run when it arrives there; that a stream began was seen by its first event.
                usage.began(attempt.call, attempt.sentAt);
            }
            if (attempt.prefillOnly) {
                onPromptTaken(now, attempt);
            } else if (attempt.isSuccess()) {
                attempt.upstream.succeeded(now - attempt.sentAt);
                pass(now, attempt);
            } else {
                onRefusal(now, attempt);
            }
        }

        @Override
        public void broken(long now, AttemptRow attempt, boolean sent) {
            if (!sent) {
                // It never arrived anywhere: that counts neither as an attempt nor as a repeat.
                attempt.call.attempts -= attempt.prefillOnly ? 0 : 1;
                failed(now, attempt, new Verdict.NotRun(Cause.CONNECT_FAILED, CallerAnswers.RETRY_AFTER_MILLIS), false);
            } else {
                noteUnanswered(attempt);
                poison.broken(now, attempt);
                failed(now, attempt, unanswered(attempt, Cause.CONNECTION_BROKEN));
            }
        }

        @Override
        public void silent(long now, AttemptRow attempt) {
            noteUnanswered(attempt);
            failed(now, attempt, unanswered(attempt, Cause.UPSTREAM_SILENT));
        }

        @Override
        public boolean mayMove(long now, AttemptRow attempt) {
            return (attempt.prefillOnly || attempt.call.isRepeatable()) && mayRepeat(now, attempt.call);
        }
    }

    /** A plain call that was sent had most likely begun; a stream would have shown an event. */
    private void noteUnanswered(AttemptRow attempt) {
        if (!attempt.call.isStream()) {
            usage.began(attempt.call, attempt.sentAt);
        }
    }

    /** Taking a prompt in runs nothing; whatever else was sent and not answered may have run. */
    private static Verdict unanswered(AttemptRow attempt, Cause cause) {
        return attempt.prefillOnly
                ? new Verdict.NotRun(cause, CallerAnswers.RETRY_AFTER_MILLIS)
                : new Verdict.MayHaveRun(cause);
    }

    private void pass(long now, AttemptRow attempt) {
        callers.pass(now, attempt);
        // Whoever answered took the KV cache.
        attempt.call.cache = Optional.empty();
        attempt.call.claim.ifPresent(claim -> claim.ended(attempt.isSuccess()));
        if (attempt.isSuccess()) {
            poison.endedWell(now, attempt.call);
        }
        close(attempt.call);
    }

    /** The upstream answered in full, but not with success. */
    private void onRefusal(long now, AttemptRow attempt) {
        CallRow call = attempt.call;
        if (attempt.facts.isOtherThan(attempt.upstream.name)) {
            upstreams.end(now, attempt.upstream, "another start has its address");
            failed(now, attempt, new Verdict.NotRun(Cause.WRONG_INCARNATION, 0));
            return;
        }
        if (attempt.facts.notExecuted()) {
            refusedForNow(now, attempt);
            return;
        }
        boolean repeat = call.isRepeatable()
                && isServerError(attempt.status)
                && mayRepeat(now, call)
                && budget.take(now, call.service, control.entries().size());
        if (!call.begun && attempt.facts.authentic() && !repeat) {
            pass(now, attempt);
            return;
        }
        failed(now, attempt, new Verdict.HasRun(Cause.UPSTREAM_ERROR), !repeat);
    }

    /** The upstream takes nothing at this moment, which is no failure. */
    private void refusedForNow(long now, AttemptRow attempt) {
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
                Math.round(attempt.estimate.workMillis()),
                "running",
                attempt.upstream.running);
        long comeBack = admission.returnMillis(now, attempt.call);
        attempt.upstream.avoid(now + Durations.nanos(CallerAnswers.RETRY_AFTER_MILLIS) / 2);
        failed(now, attempt, new Verdict.NotRun(Cause.OVERLOADED, comeBack));
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
        if (attempt.facts.isOtherThan(attempt.upstream.name)) {
            upstreams.end(now, attempt.upstream, "another start has its address");
        } else if (attempt.facts.notExecuted()) {
            refusedForNow(now, attempt);
            return;
        } else {
            attempt.upstream.failed(now);
        }
        // Taking a prompt in runs nothing: whatever came back, the request did not run there.
        failed(now, attempt, new Verdict.NotRun(Cause.UPSTREAM_ERROR, 0));
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
                && poison.mayGoOn(call)
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
        callers.giveUp(now, call, reason);
        call.claim.ifPresent(claim -> claim.ended(false));
        close(call);
    }

    // ---- time, and callers that leave

    void tick(long now) {
        Optional<Long> due = callDeadlines.poll(now);
        while (due.isPresent()) {
            Option.of(open.get(due.get())).forEach(call -> expire(now, call));
            due = callDeadlines.poll(now);
        }
        attempts.tick(now);
        poison.tick(now);
        poison.takeQuarantined().forEach(request -> stopAll(now, request));
        tryWaiting(now);
    }

    /** Ends all calls of a request that turned out to be poison, wherever they wait or run. */
    private void stopAll(long now, Fingerprint request) {
        List<CallRow> copies = open.values().stream()
                .filter(call -> call.fingerprint().equals(request))
                .toList();
        for (CallRow call : copies) {
            call.lastFailure =
                    Optional.of(new Verdict.NotRun(Cause.UPSTREAM_ERROR, PoisonSystem.QUARANTINED_RETRY_AFTER_MILLIS));
            stop(now, call, "quarantined");
        }
    }

    private void expire(long now, CallRow call) {
        stop(now, call, "the time is up");
    }

    private void stop(long now, CallRow call, String reason) {
        AttemptRow attempt = call.attempt;
        if (attempt != null && !attempt.ended) {
            call.mayHaveRun |= !attempt.prefillOnly;
            noteUnanswered(attempt);
            attempts.stop(attempt);
        }
        giveUp(now, call, reason);
    }

    void callerGone(long now, CallRow call) {
        if (call.done) {
            return;
        }
        AttemptRow attempt = call.attempt;
        boolean running = attempt != null && !attempt.ended;
        if (running) {
            noteUnanswered(attempt);
        }
        if (running && (call.isStream() || call.isRepeatable())) {
            attempts.stop(attempt);
        }
        callers.gone(now, call);
        close(call);
    }

    private void close(CallRow call) {
        call.done = true;
        waiting.remove(call);
        open.remove(call.number);
        callDeadlines.clear(call.number);
        returnPermit(call);
        releaseCache(call);
    }

    /** Frees a KV cache that nobody will take; it would fill the engine's memory until it lapses. */
    private void releaseCache(CallRow call) {
        if (call.cache.isEmpty()) {
            return;
        }
        CacheHandle handle = call.cache.get();
        call.cache = Optional.empty();
        long now = clock.getAsLong();
        upstreams.rows().stream()
                .filter(row -> row.address.equals(handle.engine()))
                .findFirst()
                .ifPresent(row -> port.send(
                        row.address, row.id, protocol.release(handle), new Released(row, call.intent.id(), now)));
    }

    /** The answer to the release of a KV cache, which lapses by itself whatever comes back. */
    private final class Released implements UpstreamHandler {

        private final UpstreamRow upstream;
        private final String request;
        private final long sentAt;

        private Released(UpstreamRow upstream, String request, long sentAt) {
            this.upstream = upstream;
            this.request = request;
            this.sentAt = sentAt;
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            demandWatch.onHead(clock.getAsLong(), upstream, sentAt, request, status, protocol.facts(status, headers));
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
        return open.isEmpty() && attempts.isEmpty() && nextDue() == Core.NEVER;
    }
}
