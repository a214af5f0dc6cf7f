package org.cuminshelf.entry;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.config.ServiceConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.AttemptRef;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.ClaimAnswer;
import org.cuminshelf.message.ClaimDrop;
import org.cuminshelf.message.ClaimEnd;
import org.cuminshelf.message.ClaimMove;
import org.cuminshelf.message.ClaimRequest;
import org.cuminshelf.message.ClaimTake;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.ExchangeHead;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Revoke;
import org.cuminshelf.message.RevokeAnswer;

/**
 * Claims the idempotency key of an exchange at a replicated control group before the exchange is dispatched.
 *
 * <p>Failure it guards against: a caller resends a request through another entry while, or after, the first request
 * runs. Only the attempt that holds the claim may run. The claim moves to another attempt only after the holder's
 * sidecar has confirmed that the holder did not run and never will.
 */
final class ClaimSystem {

    /** A larger answer is recorded without its body. */
    static final int MAX_RECORDED_BODY_BYTES = 64 << 10;

    private static final long CLAIM_RETRY_INTERVAL_NANOS = Durations.nanos(300);
    private static final long HOLDER_QUERY_INTERVAL_NANOS = Durations.nanos(400);
    /** Time after which a query that the holder's sidecar did not answer fails with KEY_UNRESOLVED. */
    private static final long MAX_HOLDER_QUERY_NANOS = Durations.nanos(1_500);
    /** A younger claim is reported as in progress without a query to the holder's sidecar. */
    private static final long MIN_HOLDER_QUERY_CLAIM_AGE_MILLIS = 1_000;

    /** Time after which the caller gets the answer even though it is not yet recorded; recording goes on. */
    private static final long RECORD_WAIT_NANOS = Durations.nanos(500);
    /** Time after which an answer that the caller already has is no longer sent to the group. */
    private static final long RECORD_TIMEOUT_NANOS = Durations.nanos(30_000);

    private static final int RETRY_AFTER_MILLIS = 1_000;

    private final EntryState state;
    private final AnswerSystem answers;
    private final AttemptSystem attempts;
    /** Outstanding requests by question number. */
    private final Map<Long, PendingRequest> requestByQuestion = new HashMap<>();
    /** The question number of each call's outstanding request. */
    private final Map<Long, Long> questionByCall = new HashMap<>();

    private long nextQuestion;

    /** The outstanding claim request of one call. */
    private static final class PendingRequest {
        private final CallRow call;
        private final ClaimRequest request;
        private final long startedAtNanos;
        private final AttemptRow.Key attempt;
        /** The control process to which the request was last sent. */
        private Address targetLeader;
        /** The attempt whose sidecar is queried; null while no other attempt is known to hold the key. */
        private AttemptRef holder;

        private PendingRequest(CallRow call, ClaimRequest request, long startedAtNanos, AttemptRow.Key attempt) {
            this.call = call;
            this.request = request;
            this.startedAtNanos = startedAtNanos;
            this.attempt = attempt;
        }

        private long question() {
            return request.getQuestion();
        }
    }

    /**
     * Creates the system. Every request gets a new question number, and the first number is derived from the
     * incarnation. Failure this guards against: a late answer to an earlier question, of this call or of an earlier
     * incarnation, is matched to the current question, and an attempt is dispatched without holding the claim.
     */
    ClaimSystem(EntryState state, AnswerSystem answers, AttemptSystem attempts, long incarnation) {
        this.state = state;
        this.answers = answers;
        this.attempts = attempts;
        this.nextQuestion = Math.max(1, LongHashFunction.xx3().hashLong(incarnation) & Long.MAX_VALUE >> 1);
    }

    /** Requests the claim for a reserved attempt, or its move to this attempt from one that did not run. */
    void claim(long now, CallRow call, AttemptRow attempt, Outbox out) {
        call.phase = CallRow.Phase.CLAIMING;
        ClaimRequest.Builder request = request(call);
        if (call.moveClaimFrom != null) {
            request.setMove(ClaimMove.newBuilder().setFrom(call.moveClaimFrom).setTo(attempt.key.reference()));
        } else {
            request.setTake(ClaimTake.newBuilder()
                    .setBodyHash(bodyHash(call.exchange()))
                    .setAttempt(attempt.key.reference()));
        }
        send(now, new PendingRequest(call, request.build(), now, attempt.key), out);
    }

    /** Records the complete answer of a call under its key; the caller receives it once a quorum has recorded it. */
    void record(long now, CallRow call, Outbox out) {
        call.phase = CallRow.Phase.RECORDING;
        ClaimEnd.Builder end =
                ClaimEnd.newBuilder().setAttempt(call.claimedAttempt).setHead(call.answerHead);
        if (call.bufferedBody.size() <= MAX_RECORDED_BODY_BYTES) {
            end.setBody(call.bufferedBody);
        }
        AttemptRef reference = call.claimedAttempt;
        AttemptRow.Key key =
                new AttemptRow.Key(Address.of(reference.getSidecar()), reference.getSession(), reference.getNumber());
        send(now, new PendingRequest(call, request(call).setEnd(end).build(), now, key), out);
    }

    /** Releases the key of a call that did not run. The message may be lost: the sidecar can still be queried. */
    void release(CallRow call, Outbox out) {
        ClaimRequest drop = request(call)
                .setDrop(ClaimDrop.newBuilder().setAttempt(call.claimedAttempt))
                .build();
        out.send(state.config.leaderOf(drop.getGroup()), Envelope.newBuilder().setClaimRequest(drop));
    }

    /** Cancels the outstanding request of a finished call, unless it records the call's answer. */
    void cancel(CallRow call) {
        PendingRequest current = requestByQuestion.get(questionByCall.getOrDefault(call.id, 0L));
        if (current != null && current.request.getActionCase() != ClaimRequest.ActionCase.END) {
            remove(current);
        }
    }

    boolean isPending(CallRow call) {
        return questionByCall.containsKey(call.id);
    }

    void onAnswer(long now, Address from, ClaimAnswer answer, Outbox out) {
        PendingRequest pending = requestByQuestion.get(answer.getQuestion());
        if (pending == null) {
            return;
        }
        state.config.learnLeader(pending.request.getGroup(), answer.getLeader());
        switch (answer.getResult()) {
            case CLAIM_NOT_LEADER ->
                state.claimTimers.setIfEarlier(pending.question(), now + CLAIM_RETRY_INTERVAL_NANOS / 6);
            case CLAIM_UNAVAILABLE, UNRECOGNIZED -> {
                // Sent again when its timer expires.
            }
            case CLAIM_GRANTED -> onGranted(now, pending, out);
            case CLAIM_DONE -> onRecorded(pending, out);
            case CLAIM_HELD -> onHeld(now, pending, answer, out);
            case CLAIM_ANSWERED -> onAnsweredBefore(pending, answer.getHead(), answer.getBody(), out);
            case CLAIM_CONFLICT -> refuse(pending, Ran.NOT_RUN, Cause.KEY_CONFLICT, 0, out);
            case CLAIM_FULL -> refuse(pending, Ran.NOT_RUN, Cause.CLAIMS_FULL, RETRY_AFTER_MILLIS, out);
        }
    }

    /** Handles a sidecar's statement about the attempt that holds the key. */
    void onRevokeAnswer(long now, RevokeAnswer answer, Outbox out) {
        PendingRequest pending = requestByQuestion.get(answer.getQuestion());
        if (pending == null || pending.holder == null || pending.call.phase != CallRow.Phase.QUERYING_HOLDER) {
            return;
        }
        boolean same =
                pending.holder.getSession() == answer.getSession() && pending.holder.getNumber() == answer.getNumber();
        if (!same) {
            return;
        }
        switch (answer.getState()) {
            case ATTEMPT_NOT_RUN -> {
                resolve(pending);
                pending.call.moveClaimFrom = pending.holder;
                attempts.onAttemptFailed(now, pending.call, Ran.NOT_RUN, Cause.REVOKED, 0, out);
            }
            case ATTEMPT_ENDED -> onHolderEnded(now, pending, answer, out);
            case ATTEMPT_RUNNING -> refuse(pending, Ran.MAY_HAVE_RUN, Cause.KEY_IN_PROGRESS, RETRY_AFTER_MILLIS, out);
            case ATTEMPT_UNKNOWN, UNRECOGNIZED -> refuse(pending, Ran.MAY_HAVE_RUN, Cause.KEY_UNRESOLVED, 0, out);
        }
    }

    /** Records the holder's answer, which its own entry failed to record, before it is delivered to the caller. */
    private void onHolderEnded(long now, PendingRequest pending, RevokeAnswer answer, Outbox out) {
        CallRow call = pending.call;
        boolean complete = answer.getEnded().getCause() == Cause.CAUSE_NONE
                && answer.hasHead()
                && answer.getBody().size() == answer.getEnded().getLength();
        if (!complete) {
            Ran ran = answer.getEnded().getRan() == Ran.RAN ? Ran.RAN : Ran.MAY_HAVE_RUN;
            refuse(pending, ran, Cause.KEY_UNRESOLVED, 0, out);
            return;
        }
        call.claimedAttempt = pending.holder;
        call.answerHead = answer.getHead();
        call.bufferedBody = answer.getBody();
        record(now, call, out);
    }

    void tick(long now, Outbox out) {
        Optional<Long> due = state.claimTimers.poll(now);
        while (due.isPresent()) {
            PendingRequest pending = requestByQuestion.get(due.get());
            if (pending != null) {
                onTimer(now, pending, out);
            }
            due = state.claimTimers.poll(now);
        }
    }

    private void onTimer(long now, PendingRequest pending, Outbox out) {
        CallRow call = pending.call;
        if (call.phase == CallRow.Phase.QUERYING_HOLDER) {
            if (now - pending.startedAtNanos > MAX_HOLDER_QUERY_NANOS) {
                refuse(pending, Ran.MAY_HAVE_RUN, Cause.KEY_UNRESOLVED, RETRY_AFTER_MILLIS, out);
            } else {
                queryHolder(now, pending, out);
            }
            return;
        }
        if (call.phase == CallRow.Phase.RECORDING && now - pending.startedAtNanos > RECORD_WAIT_NANOS) {
            deliver(call, out);
        }
        if (call.phase == CallRow.Phase.DONE && now - pending.startedAtNanos > RECORD_TIMEOUT_NANOS) {
            resolve(pending);
            return;
        }
        state.config.suspectLeader(pending.request.getGroup(), pending.targetLeader);
        send(now, pending, out);
    }

    private void send(long now, PendingRequest pending, Outbox out) {
        add(pending);
        pending.targetLeader = state.config.leaderOf(pending.request.getGroup());
        state.claimTimers.set(pending.question(), now + CLAIM_RETRY_INTERVAL_NANOS);
        out.send(pending.targetLeader, Envelope.newBuilder().setClaimRequest(pending.request));
    }

    private void onGranted(long now, PendingRequest pending, Outbox out) {
        CallRow call = pending.call;
        if (call.phase != CallRow.Phase.CLAIMING) {
            return;
        }
        resolve(pending);
        call.claimGranted = true;
        call.claimedAttempt = pending.attempt.reference();
        call.moveClaimFrom = null;
        AttemptRow attempt = state.attempts.get(pending.attempt);
        boolean stillUsable = attempt != null
                && state.upstreams
                        .row(pending.attempt.upstream())
                        .filter(row -> row.session == pending.attempt.session() && row.acceptsWork(now))
                        .isPresent();
        if (stillUsable) {
            attempts.dispatch(now, attempt, out);
            return;
        }
        if (attempt != null) {
            attempts.release(attempt);
        }
        attempts.onAttemptFailed(now, call, Ran.NOT_RUN, Cause.NO_UPSTREAM, 0, out);
    }

    private void onRecorded(PendingRequest pending, Outbox out) {
        if (pending.request.getActionCase() != ClaimRequest.ActionCase.END) {
            return;
        }
        resolve(pending);
        if (pending.call.phase == CallRow.Phase.RECORDING) {
            deliver(pending.call, out);
        }
        attempts.acknowledge(pending.attempt, out);
    }

    private void deliver(CallRow call, Outbox out) {
        answers.sendHead(call, out);
        answers.sendBody(call, call.bufferedBody, out);
        answers.finishComplete(call, "", out);
    }

    private void onHeld(long now, PendingRequest pending, ClaimAnswer answer, Outbox out) {
        if (pending.request.getActionCase() == ClaimRequest.ActionCase.END) {
            onRecorded(pending, out);
            return;
        }
        releaseReserved(pending);
        if (answer.getAgeMs() < MIN_HOLDER_QUERY_CLAIM_AGE_MILLIS) {
            refuse(pending, Ran.MAY_HAVE_RUN, Cause.KEY_IN_PROGRESS, RETRY_AFTER_MILLIS, out);
            return;
        }
        pending.call.phase = CallRow.Phase.QUERYING_HOLDER;
        resolve(pending);
        ClaimRequest queryRequest =
                pending.request.toBuilder().setQuestion(nextQuestion++).build();
        PendingRequest query = new PendingRequest(pending.call, queryRequest, now, pending.attempt);
        query.holder = answer.getHolder();
        add(query);
        queryHolder(now, query, out);
    }

    private void queryHolder(long now, PendingRequest query, Outbox out) {
        state.claimTimers.set(query.question(), now + HOLDER_QUERY_INTERVAL_NANOS);
        Revoke revoke = Revoke.newBuilder()
                .setSession(query.holder.getSession())
                .setNumber(query.holder.getNumber())
                .setQuestion(query.question())
                .build();
        out.sendOnNewConnection(
                Address.of(query.holder.getSidecar()), Envelope.newBuilder().setRevoke(revoke));
    }

    private void onAnsweredBefore(PendingRequest pending, ExchangeHead head, ByteString body, Outbox out) {
        resolve(pending);
        releaseReserved(pending);
        CallRow call = pending.call;
        if (call.phase == CallRow.Phase.DONE) {
            return;
        }
        if (head.getStatus() == 0) {
            answers.finishFailed(call, Ran.RAN, Cause.ANSWER_TOO_LARGE, 0, "", out);
            return;
        }
        call.answerHead = head;
        call.bufferedBody = body;
        deliver(call, out);
    }

    private void refuse(PendingRequest pending, Ran ran, Cause cause, long retryAfterMillis, Outbox out) {
        resolve(pending);
        releaseReserved(pending);
        if (pending.call.phase != CallRow.Phase.DONE) {
            answers.finishFailed(pending.call, ran, cause, retryAfterMillis, "", out);
        }
    }

    private void releaseReserved(PendingRequest pending) {
        AttemptRow attempt = state.attempts.get(pending.attempt);
        if (attempt != null && !attempt.dispatched) {
            attempts.release(attempt);
        }
    }

    private void resolve(PendingRequest pending) {
        remove(pending);
        if (pending.call.phase == CallRow.Phase.DONE) {
            state.calls.remove(pending.call.id);
        }
    }

    /** Registers the one outstanding request of a call. The answer to a replaced request is ignored. */
    private void add(PendingRequest pending) {
        Long previous = questionByCall.get(pending.call.id);
        if (previous != null && previous != pending.question()) {
            requestByQuestion.remove(previous);
            state.claimTimers.clear(previous);
        }
        requestByQuestion.put(pending.question(), pending);
        questionByCall.put(pending.call.id, pending.question());
    }

    private void remove(PendingRequest pending) {
        requestByQuestion.remove(pending.question());
        questionByCall.remove(pending.call.id, pending.question());
        state.claimTimers.clear(pending.question());
    }

    private ClaimRequest.Builder request(CallRow call) {
        return ClaimRequest.newBuilder()
                .setQuestion(nextQuestion++)
                .setOrganisation(call.request.getOrganisation())
                .setService(call.target())
                .setKey(call.request.getIdempotencyKey())
                .setGroup(group(call));
    }

    /** Returns the group that stores the key: that of the service's home region, or else that of this entry. */
    private String group(CallRow call) {
        return Optional.ofNullable(state.config.config().services().get(call.target()))
                .flatMap(ServiceConfig::homeRegion)
                .orElse(state.settings.claimGroup());
    }

    private static long bodyHash(Exchange exchange) {
        LongHashFunction hash = LongHashFunction.xx3();
        long head = hash.hashChars(exchange.getMethod() + " " + exchange.getPath());
        return hash.hashBytes(exchange.getBody().toByteArray()) ^ Long.rotateLeft(head, 1);
    }
}
