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
 * Claims idempotency keys on a quorum before anything is dispatched under them.
 *
 * <p>Failure it guards against: a caller resends through another entry while, or after, its first request runs. Only
 * the attempt that holds the claim may run; the claim moves to another attempt only after a sidecar swore that the
 * holder did not run and never will.
 */
final class ClaimSystem {

    /** Answers above this size are recorded without their body. */
    static final int LARGEST_RECORDED_BODY = 64 << 10;

    private static final long ASK_AGAIN = Durations.nanos(300);
    private static final long ASK_HOLDER_AGAIN = Durations.nanos(400);
    private static final long LONGEST_ASKING = Durations.nanos(1_500);
    /** A claim younger than this is taken to be in progress without asking its sidecar. */
    private static final long YOUNG_CLAIM_MILLIS = 1_000;

    private static final long RECORD_PATIENCE = Durations.nanos(500);
    private static final long RECORD_GIVE_UP = Durations.nanos(30_000);
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private final EntryState tables;
    private final AnswerSystem answers;
    private final AttemptSystem attempts;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, Long> questionOfCall = new HashMap<>();
    private long nextQuestion;

    /** What is being asked of the group for one call. */
    private static final class Pending {
        private final CallRow call;
        private final ClaimRequest request;
        private final long since;
        private final AttemptRow.Key attempt;
        private Address askedLeader;
        private AttemptRef holder;

        private Pending(CallRow call, ClaimRequest request, long since, AttemptRow.Key attempt) {
            this.call = call;
            this.request = request;
            this.since = since;
            this.attempt = attempt;
        }

        private long question() {
            return request.getQuestion();
        }
    }

    /**
     * Makes the system. Questions are numbered from a place that depends on the incarnation, and each has a number of
     * its own. Failure this guards against: a late answer to an earlier question, of this call or of an earlier
     * incarnation, is taken for the answer to the present one, so that an attempt is sent under a claim it does not
     * hold.
     */
    ClaimSystem(EntryState tables, AnswerSystem answers, AttemptSystem attempts, long incarnation) {
        this.tables = tables;
        this.answers = answers;
        this.attempts = attempts;
        this.nextQuestion = Math.max(1, LongHashFunction.xx3().hashLong(incarnation) & Long.MAX_VALUE >> 1);
    }

    /** Claims the key of a call for a reserved attempt, or moves the claim to it. */
    void claim(long now, CallRow call, AttemptRow attempt, Outbox out) {
        call.phase = CallRow.Phase.CLAIMING;
        ClaimRequest.Builder request = request(call);
        if (call.moveFrom != null) {
            request.setMove(ClaimMove.newBuilder().setFrom(call.moveFrom).setTo(attempt.key.reference()));
        } else {
            request.setTake(ClaimTake.newBuilder()
                    .setBodyHash(bodyHash(call.exchange()))
                    .setAttempt(attempt.key.reference()));
        }
        ask(now, new Pending(call, request.build(), now, attempt.key), out);
    }

    /** Records the whole answer of a call under its key; the caller gets it when a quorum holds it. */
    void record(long now, CallRow call, Outbox out) {
        call.phase = CallRow.Phase.RECORDING;
        ClaimEnd.Builder end =
                ClaimEnd.newBuilder().setAttempt(call.claimedAttempt).setHead(call.head);
        if (call.gathered.size() <= LARGEST_RECORDED_BODY) {
            end.setBody(call.gathered);
        }
        AttemptRef reference = call.claimedAttempt;
        AttemptRow.Key key =
                new AttemptRow.Key(Address.of(reference.getSidecar()), reference.getSession(), reference.getNumber());
        ask(now, new Pending(call, request(call).setEnd(end).build(), now, key), out);
    }

    /** Frees the key of a call that did not run. Losing this message is harmless: the holder can still be asked. */
    void drop(CallRow call, Outbox out) {
        ClaimRequest drop = request(call)
                .setDrop(ClaimDrop.newBuilder().setAttempt(call.claimedAttempt))
                .build();
        out.send(tables.config.leaderOf(drop.getGroup()), Envelope.newBuilder().setClaimRequest(drop));
    }

    /** Stops asking for a call that has its final answer, unless its answer is still to be recorded. */
    void forget(CallRow call) {
        Pending held = pending.get(questionOfCall.getOrDefault(call.id, 0L));
        if (held != null && held.request.getActionCase() != ClaimRequest.ActionCase.END) {
            remove(held);
        }
    }

    boolean isPending(CallRow call) {
        return questionOfCall.containsKey(call.id);
    }

    void onAnswer(long now, Address from, ClaimAnswer answer, Outbox out) {
        Pending asked = pending.get(answer.getQuestion());
        if (asked == null) {
            return;
        }
        tables.config.learnLeader(asked.request.getGroup(), answer.getLeader());
        switch (answer.getResult()) {
            case CLAIM_NOT_LEADER -> tables.claimRetries.setIfEarlier(asked.question(), now + ASK_AGAIN / 6);
            case CLAIM_UNAVAILABLE, UNRECOGNIZED -> {
                // Asked again when its time is due.
            }
            case CLAIM_GRANTED -> granted(now, asked, out);
            case CLAIM_DONE -> recorded(asked, out);
            case CLAIM_HELD -> held(now, asked, answer, out);
            case CLAIM_ANSWERED -> answeredBefore(asked, answer.getHead(), answer.getBody(), out);
            case CLAIM_CONFLICT -> refuse(asked, Ran.NOT_RUN, Cause.KEY_CONFLICT, 0, out);
            case CLAIM_FULL -> refuse(asked, Ran.NOT_RUN, Cause.CLAIMS_FULL, RETRY_AFTER_MILLIS, out);
        }
    }

    /** Takes a sidecar's word about the attempt of another entry that holds the key. */
    void onRevokeAnswer(long now, RevokeAnswer answer, Outbox out) {
        Pending asked = pending.get(answer.getQuestion());
        if (asked == null || asked.holder == null || asked.call.phase != CallRow.Phase.ASKING) {
            return;
        }
        boolean same =
                asked.holder.getSession() == answer.getSession() && asked.holder.getNumber() == answer.getNumber();
        if (!same) {
            return;
        }
        switch (answer.getState()) {
            case ATTEMPT_NOT_RUN -> {
                settle(asked);
                asked.call.moveFrom = asked.holder;
                attempts.failed(now, asked.call, Ran.NOT_RUN, Cause.REVOKED, 0, out);
            }
            case ATTEMPT_ENDED -> onHolderEnded(now, asked, answer, out);
            case ATTEMPT_RUNNING -> refuse(asked, Ran.MAY_HAVE_RUN, Cause.KEY_IN_PROGRESS, RETRY_AFTER_MILLIS, out);
            case ATTEMPT_UNKNOWN, UNRECOGNIZED -> refuse(asked, Ran.MAY_HAVE_RUN, Cause.KEY_UNRESOLVED, 0, out);
        }
    }

    /** The holder's answer was never recorded, its entry being gone: records it before handing it on. */
    private void onHolderEnded(long now, Pending asked, RevokeAnswer answer, Outbox out) {
        CallRow call = asked.call;
        boolean whole = answer.getEnded().getCause() == Cause.CAUSE_NONE
                && answer.hasHead()
                && answer.getBody().size() == answer.getEnded().getLength();
        if (!whole) {
            Ran ran = answer.getEnded().getRan() == Ran.RAN ? Ran.RAN : Ran.MAY_HAVE_RUN;
            refuse(asked, ran, Cause.KEY_UNRESOLVED, 0, out);
            return;
        }
        call.claimedAttempt = asked.holder;
        call.head = answer.getHead();
        call.gathered = answer.getBody();
        record(now, call, out);
    }

    void tick(long now, Outbox out) {
        Optional<Long> due = tables.claimRetries.poll(now);
        while (due.isPresent()) {
            Pending asked = pending.get(due.get());
            if (asked != null) {
                askAgain(now, asked, out);
            }
            due = tables.claimRetries.poll(now);
        }
    }

    private void askAgain(long now, Pending asked, Outbox out) {
        CallRow call = asked.call;
        if (call.phase == CallRow.Phase.ASKING) {
            if (now - asked.since > LONGEST_ASKING) {
                refuse(asked, Ran.MAY_HAVE_RUN, Cause.KEY_UNRESOLVED, RETRY_AFTER_MILLIS, out);
            } else {
                askHolder(now, asked, out);
            }
            return;
        }
        if (call.phase == CallRow.Phase.RECORDING && now - asked.since > RECORD_PATIENCE) {
            deliver(call, out);
        }
        if (call.phase == CallRow.Phase.DONE && now - asked.since > RECORD_GIVE_UP) {
            settle(asked);
            return;
        }
        tables.config.suspectLeader(asked.request.getGroup(), asked.askedLeader);
        ask(now, asked, out);
    }

    private void ask(long now, Pending asked, Outbox out) {
        add(asked);
        asked.askedLeader = tables.config.leaderOf(asked.request.getGroup());
        tables.claimRetries.set(asked.question(), now + ASK_AGAIN);
        out.send(asked.askedLeader, Envelope.newBuilder().setClaimRequest(asked.request));
    }

    private void granted(long now, Pending asked, Outbox out) {
        CallRow call = asked.call;
        if (call.phase != CallRow.Phase.CLAIMING) {
            return;
        }
        settle(asked);
        call.claimed = true;
        call.claimedAttempt = asked.attempt.reference();
        call.moveFrom = null;
        AttemptRow attempt = tables.attempts.get(asked.attempt);
        boolean stillThere = attempt != null
                && tables.upstreams
                        .row(asked.attempt.upstream())
                        .filter(row -> row.session == asked.attempt.session() && row.isOpen(now))
                        .isPresent();
        if (stillThere) {
            attempts.dispatch(now, attempt, out);
            return;
        }
        if (attempt != null) {
            attempts.release(attempt);
        }
        attempts.failed(now, call, Ran.NOT_RUN, Cause.NO_UPSTREAM, 0, out);
    }

    private void recorded(Pending asked, Outbox out) {
        if (asked.request.getActionCase() != ClaimRequest.ActionCase.END) {
            return;
        }
        settle(asked);
        if (asked.call.phase == CallRow.Phase.RECORDING) {
            deliver(asked.call, out);
        }
        attempts.acknowledge(asked.attempt, out);
    }

    private void deliver(CallRow call, Outbox out) {
        answers.head(call, out);
        answers.body(call, call.gathered, out);
        answers.finishWhole(call, "", out);
    }

    private void held(long now, Pending asked, ClaimAnswer answer, Outbox out) {
        if (asked.request.getActionCase() == ClaimRequest.ActionCase.END) {
            recorded(asked, out);
            return;
        }
        releaseReserved(asked);
        if (answer.getAgeMs() < YOUNG_CLAIM_MILLIS) {
            refuse(asked, Ran.MAY_HAVE_RUN, Cause.KEY_IN_PROGRESS, RETRY_AFTER_MILLIS, out);
            return;
        }
        asked.call.phase = CallRow.Phase.ASKING;
        settle(asked);
        ClaimRequest again =
                asked.request.toBuilder().setQuestion(nextQuestion++).build();
        Pending asking = new Pending(asked.call, again, now, asked.attempt);
        asking.holder = answer.getHolder();
        add(asking);
        askHolder(now, asking, out);
    }

    private void askHolder(long now, Pending asking, Outbox out) {
        tables.claimRetries.set(asking.question(), now + ASK_HOLDER_AGAIN);
        Revoke revoke = Revoke.newBuilder()
                .setSession(asking.holder.getSession())
                .setNumber(asking.holder.getNumber())
                .setQuestion(asking.question())
                .build();
        out.sendFresh(
                Address.of(asking.holder.getSidecar()), Envelope.newBuilder().setRevoke(revoke));
    }

    private void answeredBefore(Pending asked, ExchangeHead head, ByteString body, Outbox out) {
        settle(asked);
        releaseReserved(asked);
        CallRow call = asked.call;
        if (call.phase == CallRow.Phase.DONE) {
            return;
        }
        if (head.getStatus() == 0) {
            answers.finishFailed(call, Ran.RAN, Cause.ANSWER_TOO_LARGE, 0, "", out);
            return;
        }
        call.head = head;
        call.gathered = body;
        deliver(call, out);
    }

    private void refuse(Pending asked, Ran ran, Cause cause, long retryAfterMillis, Outbox out) {
        settle(asked);
        releaseReserved(asked);
        if (asked.call.phase != CallRow.Phase.DONE) {
            answers.finishFailed(asked.call, ran, cause, retryAfterMillis, "", out);
        }
    }

    private void releaseReserved(Pending asked) {
        AttemptRow attempt = tables.attempts.get(asked.attempt);
        if (attempt != null && !attempt.dispatched) {
            attempts.release(attempt);
        }
    }

    private void settle(Pending asked) {
        remove(asked);
        if (asked.call.phase == CallRow.Phase.DONE) {
            tables.calls.remove(asked.call.id);
        }
    }

    /** One question for each call: a new one takes the place of the one before, whose answer is then for nobody. */
    private void add(Pending asked) {
        Long before = questionOfCall.get(asked.call.id);
        if (before != null && before != asked.question()) {
            pending.remove(before);
            tables.claimRetries.clear(before);
        }
        pending.put(asked.question(), asked);
        questionOfCall.put(asked.call.id, asked.question());
    }

    private void remove(Pending asked) {
        pending.remove(asked.question());
        questionOfCall.remove(asked.call.id, asked.question());
        tables.claimRetries.clear(asked.question());
    }

    private ClaimRequest.Builder request(CallRow call) {
        return ClaimRequest.newBuilder()
                .setQuestion(nextQuestion++)
                .setOrganisation(call.request.getOrganisation())
                .setService(call.target())
                .setKey(call.request.getIdempotencyKey())
                .setGroup(group(call));
    }

    private String group(CallRow call) {
        return Optional.ofNullable(tables.config.config().services().get(call.target()))
                .flatMap(ServiceConfig::homeRegion)
                .orElse(tables.settings.claimGroup());
    }

    private static long bodyHash(Exchange exchange) {
        LongHashFunction hash = LongHashFunction.xx3();
        long head = hash.hashChars(exchange.getMethod() + " " + exchange.getPath());
        return hash.hashBytes(exchange.getBody().toByteArray()) ^ Long.rotateLeft(head, 1);
    }
}
