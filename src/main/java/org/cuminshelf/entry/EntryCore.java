package org.cuminshelf.entry;

import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.core.PauseDetector;
import org.cuminshelf.message.CallGone;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.RevokeAnswer;
import org.cuminshelf.message.SessionOpened;
import org.cuminshelf.message.Stopped;

/**
 * The state machine of an entry: it receives messages, advances its systems at each tick, and sends messages. It does
 * no input or output of its own.
 */
public final class EntryCore implements Core {

    /** Longest time between two ticks while sessions are open, with a margin for a busy VM. */
    private static final long MAX_TICK_INTERVAL_NANOS = Durations.nanos(600);
    /** Time after which a caller may retry a call whose deadline passed. */
    private static final int DEADLINE_RETRY_AFTER_MILLIS = 500;

    private final EntryState state;
    private final long ownIncarnation;
    private final AnswerSystem answers;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final AdmissionSystem admission;
    private final RoutingSystem routing;
    private final PauseDetector pauses = PauseDetector.create(MAX_TICK_INTERVAL_NANOS);
    private volatile boolean leaving;
    private boolean stopReported;

    private EntryCore(EntryState state, long incarnation) {
        this.state = state;
        this.ownIncarnation = incarnation;
        Router router = new Router(state);
        this.answers = new AnswerSystem(state);
        this.attempts = new AttemptSystem(state, answers, router);
        this.claims = new ClaimSystem(state, answers, attempts, incarnation);
        this.attempts.setClaimSystem(claims);
        this.admission = new AdmissionSystem(state, answers, router);
        this.routing = new RoutingSystem(state, router, attempts, claims, answers);
    }

    /**
     * Creates the core of a starting entry.
     *
     * @param settings    the settings of the entry
     * @param self        the address of the entry
     * @param incarnation the incarnation of this process, never used before at this address
     * @param now         the monotonic time in nanoseconds
     * @param invariants  receives the results of invariant checks
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
                state.upstreams.onUpdate(from, input.getUpdate());
                state.config.onUpdate(now, from, input.getUpdate());
                state.routingDue = true;
            }
            case CLAIM_ANSWER -> claims.onAnswer(now, from, input.getClaimAnswer(), out);
            case STOP -> leaving = true;
            default -> {
                // Not addressed to an entry.
            }
        }
        removeFinishedCalls();
    }

    @Override
    public void tick(long now, Outbox out) {
        discountPause(now);
        state.config.tick(now, out);
        state.upstreams.tick(now, out);
        claims.tick(now, out);
        attempts.tick(now, out);
        expire(now, out);
        routing.tick(now, out);
        removeFinishedCalls();
        if (leaving && state.calls.isEmpty() && !stopReported) {
            stopReported = true;
            out.send(Address.PROCESS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
        }
    }

    /** Guards against sound sidecars that the first tick after a pause of this process takes for silent. */
    private void discountPause(long now) {
        long pauseNanos = pauses.onTick(now);
        if (pauseNanos > 0) {
            attempts.discountPause(now, pauseNanos);
            state.upstreams.discountPause(now, pauseNanos);
        }
    }

    @Override
    public long nextDue() {
        long due = Math.min(state.config.nextDue(), state.upstreams.nextDue());
        due = Math.min(due, Math.min(state.probeTimers.next(), state.claimTimers.next()));
        return Math.min(due, Math.min(state.callDeadlines.next(), routing.nextDue()));
    }

    /**
     * Returns whether this entry accepts calls.
     *
     * @return true if the configuration is known and the entry is not leaving
     */
    public boolean isReady() {
        return state.config.isReady() && !leaving;
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version, 0 before the first configuration
     */
    public long configVersion() {
        return state.config.version();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public org.cuminshelf.config.FleetConfig config() {
        return state.config.config();
    }

    /**
     * Returns the number of calls without a final answer.
     *
     * @return the number of open calls
     */
    public int openCalls() {
        return state.calls.size();
    }

    private void onSession(long now, Address from, long incarnation, SessionOpened opened, Outbox out) {
        Optional<UpstreamRow> row = state.upstreams.row(from);
        // A session opened for an earlier incarnation of this entry belongs to the attempts of that incarnation.
        boolean own = opened.getEntryIncarnation() == ownIncarnation;
        if (!own || row.isEmpty() || row.get().isSuperseded(incarnation)) {
            return;
        }
        boolean restarted =
                state.upstreams.onSession(now, row.get(), incarnation, opened.getSession(), opened.getLoad());
        if (restarted) {
            attempts.onRestart(now, from, opened.getSession(), out);
        }
        state.routingDue = true;
    }

    private void onRevokeAnswer(long now, Address from, RevokeAnswer answer, Outbox out) {
        if (answer.getQuestion() != 0) {
            claims.onRevokeAnswer(now, answer, out);
        } else {
            attempts.onRevokeAnswer(now, from, answer, out);
        }
    }

    private void onCallGone(CallGone gone, Outbox out) {
        CallRow call = state.calls.get(gone.getCall());
        if (call == null || call.phase == CallRow.Phase.DONE) {
            return;
        }
        call.callerDisconnected = true;
        if (!call.isGeneration()) {
            return;
        }
        if (call.attempt != null) {
            attempts.cancel(call.attempt, out);
            attempts.release(call.attempt);
        }
        answers.finishFailed(call, Ran.MAY_HAVE_RUN, Cause.CANCELLED, 0, "", out);
    }

    /** Finishes the calls whose deadline has passed. */
    private void expire(long now, Outbox out) {
        Optional<Long> due = state.callDeadlines.poll(now);
        while (due.isPresent()) {
            CallRow call = state.calls.get(due.get());
            if (call != null && call.phase != CallRow.Phase.DONE && call.phase != CallRow.Phase.RECORDING) {
                expire(call, out);
            }
            due = state.callDeadlines.poll(now);
        }
    }

    private void expire(CallRow call, Outbox out) {
        boolean sent = call.attempt != null && call.attempt.dispatched;
        boolean holderMayRun = call.phase == CallRow.Phase.QUERYING_HOLDER;
        Ran ran = sent || call.mayHaveRun || holderMayRun ? Ran.MAY_HAVE_RUN : Ran.NOT_RUN;
        if (call.attempt != null) {
            if (call.isGeneration()) {
                attempts.cancel(call.attempt, out);
            }
            attempts.release(call.attempt);
        }
        claims.cancel(call);
        if (ran == Ran.NOT_RUN && call.claimGranted) {
            claims.release(call, out);
        }
        Cause cause = call.lastCause == Cause.CAUSE_NONE || sent ? Cause.DEADLINE_PASSED : call.lastCause;
        answers.finishFailed(call, ran, cause, DEADLINE_RETRY_AFTER_MILLIS, "", out);
    }

    /** Removes finished calls, except those whose answer is still to be recorded. */
    private void removeFinishedCalls() {
        for (CallRow call : answers.drainFinished()) {
            claims.cancel(call);
            if (!claims.isPending(call)) {
                state.calls.remove(call.id);
            }
        }
    }
}
