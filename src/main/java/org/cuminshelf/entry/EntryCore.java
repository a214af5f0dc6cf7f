package org.cuminshelf.entry;

import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.CallGone;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.RevokeAnswer;
import org.cuminshelf.message.SessionOpened;
import org.cuminshelf.message.Stopped;

/** The decisions of an entry: its tables and the systems that run over them, in this order at each tick. */
public final class EntryCore implements Core {

    private static final int RETRY_AFTER_DEADLINE_MILLIS = 500;

    private final EntryState tables;
    private final long ownIncarnation;
    private final AnswerSystem answers;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final AdmissionSystem admission;
    private final RoutingSystem routing;
    private volatile boolean leaving;
    private boolean stopReported;

    private EntryCore(EntryState tables, long incarnation) {
        this.tables = tables;
        this.ownIncarnation = incarnation;
        Router router = new Router(tables);
        this.answers = new AnswerSystem(tables);
        this.attempts = new AttemptSystem(tables, answers);
        this.claims = new ClaimSystem(tables, answers, attempts, incarnation);
        this.attempts.claims(claims);
        this.admission = new AdmissionSystem(tables, answers, router);
        this.routing = new RoutingSystem(tables, router, attempts, claims, answers);
    }

    /**
     * Makes the core of a starting entry.
     *
     * @param settings    its place
     * @param self        its own address
     * @param incarnation the incarnation of this process, never used before at this address
     * @param now         the time in nanoseconds
     * @param invariants  receives the outcome of assertions
     * @return the core
     */
    public static EntryCore start(
            EntrySettings settings, Address self, long incarnation, long now, Invariants invariants) {
        return new EntryCore(new EntryState(settings, self, now, invariants), incarnation);
    }

    @Override
    public void accept(long now, Envelope input, Outbox out) {
        Address from = Address.of(input.getFrom());
        switch (input.getBodyCase()) {
            case CALL_ARRIVED -> admission.onCall(now, input.getCallArrived(), leaving, out);
            case CALL_GONE -> onCallGone(input.getCallGone(), out);
            case CHUNK -> attempts.onChunk(now, from, input.getChunk(), out);
            case ENDED -> attempts.onEnded(now, from, input.getEnded(), out);
            case REFUSED -> attempts.onRefused(now, from, input.getRefused(), out);
            case REVOKE_ANSWER -> onRevokeAnswer(now, from, input.getRevokeAnswer(), out);
            case SESSION_OPENED -> onSession(now, from, input.getIncarnation(), input.getSessionOpened(), out);
            case LOAD_REPORT -> attempts.onLoad(from, input.getLoadReport());
            case UPDATE -> {
                tables.upstreams.onUpdate(from, input.getUpdate());
                tables.config.onUpdate(now, from, input.getUpdate());
                tables.routingDue = true;
            }
            case CLAIM_ANSWER -> claims.onAnswer(now, from, input.getClaimAnswer(), out);
            case STOP -> leaving = true;
            default -> {
                // Not a message for an entry.
            }
        }
        forgetDone();
    }

    @Override
    public void tick(long now, Outbox out) {
        tables.config.tick(now, out);
        tables.upstreams.tick(now, out);
        claims.tick(now, out);
        attempts.tick(now, out);
        expire(now, out);
        routing.tick(now, out);
        forgetDone();
        if (leaving && tables.calls.isEmpty() && !stopReported) {
            stopReported = true;
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    @Override
    public long nextDue() {
        long due = Math.min(tables.config.nextDue(), tables.upstreams.nextDue());
        due = Math.min(due, Math.min(tables.probes.next(), tables.claimRetries.next()));
        return Math.min(due, Math.min(tables.callDeadlines.next(), routing.nextDue()));
    }

    /**
     * Tells whether this entry may be given calls.
     *
     * @return true when the configuration is known and it is not leaving
     */
    public boolean isReady() {
        return tables.config.isReady() && !leaving;
    }

    /**
     * The version of the configuration in force here.
     *
     * @return the version, 0 before the first
     */
    public long configVersion() {
        return tables.config.version();
    }

    /**
     * The configuration in force here.
     *
     * @return the configuration
     */
    public org.cuminshelf.config.FleetConfig config() {
        return tables.config.config();
    }

    /**
     * Counts the calls not answered yet.
     *
     * @return their number
     */
    public int openCalls() {
        return tables.calls.size();
    }

    private void onSession(long now, Address from, long incarnation, SessionOpened opened, Outbox out) {
        Optional<UpstreamRow> row = tables.upstreams.row(from);
        // A session that the sidecar opened for a dead incarnation of this entry holds attempts of that one.
        boolean own = opened.getEntryIncarnation() == ownIncarnation;
        if (!own || row.isEmpty() || row.get().isSuperseded(incarnation)) {
            return;
        }
        boolean restarted =
                tables.upstreams.onSession(now, row.get(), incarnation, opened.getSession(), opened.getLoad());
        if (restarted) {
            attempts.onRestart(now, from, opened.getSession(), out);
        }
        tables.routingDue = true;
    }

    private void onRevokeAnswer(long now, Address from, RevokeAnswer answer, Outbox out) {
        if (answer.getQuestion() != 0) {
            claims.onRevokeAnswer(now, answer, out);
        } else {
            attempts.onRevokeAnswer(now, from, answer, out);
        }
    }

    private void onCallGone(CallGone gone, Outbox out) {
        CallRow call = tables.calls.get(gone.getCall());
        if (call == null || call.phase == CallRow.Phase.DONE) {
            return;
        }
        call.callerGone = true;
        if (!call.isGeneration()) {
            return;
        }
        if (call.attempt != null) {
            attempts.cancel(call.attempt, out);
            attempts.release(call.attempt);
        }
        answers.finishFailed(call, Ran.MAY_HAVE_RUN, Cause.CANCELLED, 0, "", out);
    }

    /** Gives calls whose deadline passed their final answer. */
    private void expire(long now, Outbox out) {
        Optional<Long> due = tables.callDeadlines.poll(now);
        while (due.isPresent()) {
            CallRow call = tables.calls.get(due.get());
            if (call != null && call.phase != CallRow.Phase.DONE && call.phase != CallRow.Phase.RECORDING) {
                expire(call, out);
            }
            due = tables.callDeadlines.poll(now);
        }
    }

    private void expire(CallRow call, Outbox out) {
        boolean sent = call.attempt != null && call.attempt.dispatched;
        boolean otherMayRun = call.phase == CallRow.Phase.ASKING;
        Ran ran = sent || call.mayHaveRun || otherMayRun ? Ran.MAY_HAVE_RUN : Ran.NOT_RUN;
        if (call.attempt != null) {
            if (call.isGeneration()) {
                attempts.cancel(call.attempt, out);
            }
            attempts.release(call.attempt);
        }
        claims.forget(call);
        if (ran == Ran.NOT_RUN && call.claimed) {
            claims.drop(call, out);
        }
        Cause cause = call.lastCause == Cause.CAUSE_NONE || sent ? Cause.DEADLINE_PASSED : call.lastCause;
        answers.finishFailed(call, ran, cause, RETRY_AFTER_DEADLINE_MILLIS, "", out);
    }

    private void forgetDone() {
        for (CallRow call : answers.takeFinished()) {
            claims.forget(call);
            if (!claims.isPending(call)) {
                tables.calls.remove(call.id);
            }
        }
    }
}
