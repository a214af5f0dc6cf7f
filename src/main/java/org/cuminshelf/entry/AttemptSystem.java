package org.cuminshelf.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Cancel;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Chunk;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Received;
import org.cuminshelf.message.Refused;
import org.cuminshelf.message.Revoke;
import org.cuminshelf.message.RevokeAnswer;

/**
 * Sends attempts, takes their answers and finds out what became of silent ones.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>Bytes were sent and nothing comes back. Whether the request ran is unknown, so nothing is sent anywhere else
 *       before the sidecar swore over a new connection that this attempt did not run and never will.</li>
 *   <li>The sidecar restarted. It can't swear for its earlier incarnation: a request that may not be repeated ends as
 *       "may have run".</li>
 *   <li>An answer comes late, twice or out of order. Chunks name their attempt and their place in the answer; what
 *       belongs to no current attempt is dropped, an overlap is cut off, a gap is asked for again.</li>
 * </ul>
 */
final class AttemptSystem {

    private static final long PROBE_EXCHANGE_AFTER = Durations.nanos(400);
    private static final long PROBE_GENERATION_AFTER = Durations.nanos(1_000);
    private static final long PROBE_AGAIN = Durations.nanos(500);
    /** An engine that answers probes but gives no token for this long is given up. */
    private static final long STUCK_AFTER = Durations.nanos(8_000);
    /** Silence of the sidecar itself after which a generation goes on elsewhere. */
    private static final long LOST_AFTER = Durations.nanos(2_500);

    private static final int MOST_ATTEMPTS = 6;

    private final EntryState tables;
    private final AnswerSystem answers;
    private ClaimSystem claims;

    AttemptSystem(EntryState tables, AnswerSystem answers) {
        this.tables = tables;
        this.answers = answers;
    }

    void claims(ClaimSystem system) {
        this.claims = system;
    }

    /**
     * Reserves an attempt on an upstream without sending anything. Numbers are never used twice here. Failure
     * this guards against: an answer of a dead sidecar arrives late and makes the entry go back to its session and then
     * forth to the new one; numbers counted anew would name the attempts of other calls, whose answers would be taken.
     */
    AttemptRow reserve(CallRow call, Router.Choice choice) {
        UpstreamRow upstream = choice.upstream();
        AttemptRow.Key key = new AttemptRow.Key(upstream.address, upstream.session, tables.nextAttempt++);
        AttemptRow attempt = new AttemptRow(key, call, choice.uncachedTokens(), choice.prefillOnly());
        call.attempt = attempt;
        call.attempts++;
        tables.attempts.put(key, attempt);
        upstream.sent(attempt);
        tables.prefilling += attempt.prefillOnly ? 1 : 0;
        return attempt;
    }

    void dispatch(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        checkAtMostOnce(call);
        call.phase = CallRow.Phase.RUNNING;
        attempt.dispatched = true;
        attempt.sentAt = now;
        attempt.lastHeard = now;
        attempt.lastProgress = now;
        call.receivedBytes = 0;
        call.gathered = ByteString.EMPTY;
        call.head = call.headDelivered ? call.head : null;
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setSession(attempt.key.session())
                .setNumber(attempt.key.number())
                .setPriority(call.priority)
                .setOrganisation(call.request.getOrganisation())
                .setTraceParent(call.request.getTraceParent())
                .setPromptCost((int) attempt.promptCost)
                .setDeadlineMs(Durations.millisLeft(now, call.deadline));
        if (call.isGeneration()) {
            Generation.Builder generation = call.generation().toBuilder();
            generation.addAllHeld(call.delivered);
            generation.setPrefillOnly(attempt.prefillOnly);
            generation.setKvFrom(call.kvFrom);
            dispatch.setGeneration(generation);
        } else {
            dispatch.setExchange(call.exchange());
        }
        tables.upstreams.row(attempt.key.upstream()).ifPresent(row -> {
            row.lastUsed = now;
            row.remember(call.generation().getPrefixList());
        });
        tables.probes.set(attempt.key, now + probeAfter(call));
        out.send(attempt.key.upstream(), Envelope.newBuilder().setDispatch(dispatch));
    }

    private void checkAtMostOnce(CallRow call) {
        tables.invariants.check(
                call.isRepeatable() || !call.mayHaveRun,
                "at-most-once",
                () -> "call " + call.id + " is sent again though it may have run");
    }

    private static long probeAfter(CallRow call) {
        return call.isGeneration() ? PROBE_GENERATION_AFTER : PROBE_EXCHANGE_AFTER;
    }

    void onChunk(long now, Address from, Chunk chunk, Outbox out) {
        AttemptRow attempt = current(from, chunk.getSession(), chunk.getNumber());
        if (attempt == null) {
            return;
        }
        heard(now, attempt);
        CallRow call = attempt.call;
        if (call.isGeneration()) {
            onTokens(now, attempt, chunk, out);
        } else {
            onBytes(attempt, chunk, out);
        }
    }

    private void onTokens(long now, AttemptRow attempt, Chunk chunk, Outbox out) {
        CallRow call = attempt.call;
        long held = call.delivered.size();
        if (chunk.getOffset() > held) {
            askAgain(now, attempt, out);
            return;
        }
        long overlap = held - chunk.getOffset();
        if (overlap >= chunk.getTokensCount()) {
            return;
        }
        attempt.lastProgress = now;
        prefillDone(attempt);
        if (chunk.hasLoad()) {
            onLoad(attempt.key.upstream(), chunk.getLoad());
        }
        List<String> fresh = chunk.getTokensList().subList((int) overlap, chunk.getTokensCount());
        answers.tokens(now, call, held, fresh, out);
    }

    private void onBytes(AttemptRow attempt, Chunk chunk, Outbox out) {
        CallRow call = attempt.call;
        if (chunk.hasHead() && call.head == null) {
            call.head = chunk.getHead();
        }
        long overlap = call.receivedBytes - chunk.getOffset();
        if (overlap < 0) {
            askAgain(attempt.lastHeard, attempt, out);
            return;
        }
        if (overlap > chunk.getBody().size()) {
            return;
        }
        ByteString fresh = chunk.getBody().substring((int) overlap);
        call.receivedBytes += fresh.size();
        if (call.hasKey()) {
            call.gathered = call.gathered.concat(fresh);
        } else {
            answers.head(call, out);
            answers.body(call, fresh, out);
        }
    }

    void onEnded(long now, Address from, Ended ended, Outbox out) {
        AttemptRow attempt = current(from, ended.getSession(), ended.getNumber());
        if (attempt == null) {
            return;
        }
        heard(now, attempt);
        CallRow call = attempt.call;
        long held = call.isGeneration() ? call.delivered.size() : call.receivedBytes;
        boolean headMissing = !call.isGeneration() && ended.getRan() == Ran.RAN && call.head == null;
        if (ended.getLength() > held || headMissing && ended.getCause() == Cause.CAUSE_NONE) {
            askAgain(now, attempt, out);
            return;
        }
        if (ended.hasLoad()) {
            onLoad(from, ended.getLoad());
        }
        release(attempt);
        Optional<UpstreamRow> upstream = tables.upstreams.row(from);
        if (ended.getCause() == Cause.CAUSE_NONE) {
            upstream.ifPresent(tables.upstreams::succeeded);
            answeredInFull(now, attempt, ended.getFinishReason(), out);
            return;
        }
        if (ended.getCause() == Cause.CONNECT_FAILED || ended.getCause() == Cause.CONNECTION_BROKEN) {
            upstream.ifPresent(row -> tables.upstreams.failed(now, row));
        }
        boolean moved = ended.getCause() == Cause.MOVED && !call.delivered.isEmpty();
        call.kvFrom = moved ? from.value() : "";
        failed(now, call, ended.getRan(), ended.getCause(), 0, out);
    }

    private void answeredInFull(long now, AttemptRow attempt, String finishReason, Outbox out) {
        CallRow call = attempt.call;
        if (call.hasKey() && call.claimed) {
            claims.record(now, call, out);
            return;
        }
        answers.head(call, out);
        answers.finishWhole(call, finishReason, out);
        acknowledge(attempt.key, out);
    }

    void acknowledge(AttemptRow.Key key, Outbox out) {
        out.send(
                key.upstream(),
                Envelope.newBuilder()
                        .setReceived(
                                Received.newBuilder().setSession(key.session()).setNumber(key.number())));
    }

    void onRefused(long now, Address from, Refused refused, Outbox out) {
        AttemptRow attempt = current(from, refused.getSession(), refused.getNumber());
        if (attempt == null) {
            return;
        }
        if (refused.hasLoad()) {
            onLoad(from, refused.getLoad());
        }
        release(attempt);
        if (refused.getCause() == Cause.OVERLOADED) {
            tables.upstreams
                    .row(from)
                    .ifPresent(row -> row.avoidUntil =
                            Math.max(row.avoidUntil, now + Durations.nanos(refused.getRetryAfterMs())));
        } else if (refused.getCause() == Cause.UNKNOWN_SESSION) {
            tables.upstreams.row(from).ifPresent(row -> row.openSentAt = 0);
            attempt.call.excluded.add(from);
        }
        failed(now, attempt.call, Ran.NOT_RUN, refused.getCause(), refused.getRetryAfterMs(), out);
    }

    void onRevokeAnswer(long now, Address from, RevokeAnswer answer, Outbox out) {
        AttemptRow attempt = current(from, answer.getSession(), answer.getNumber());
        if (attempt == null) {
            return;
        }
        attempt.lastHeard = now;
        switch (answer.getState()) {
            case ATTEMPT_NOT_RUN -> {
                release(attempt);
                failed(now, attempt.call, Ran.NOT_RUN, Cause.REVOKED, 0, out);
            }
            case ATTEMPT_UNKNOWN, UNRECOGNIZED -> {
                release(attempt);
                failed(now, attempt.call, Ran.MAY_HAVE_RUN, Cause.UNKNOWN_SESSION, 0, out);
            }
            case ATTEMPT_RUNNING, ATTEMPT_ENDED -> {
                // The rest of the answer follows in chunks.
            }
        }
    }

    /** A sidecar turned out to be another incarnation: its attempts are lost with it. */
    void onRestart(long now, Address upstream, long session, Outbox out) {
        for (AttemptRow attempt : List.copyOf(tables.attempts.values())) {
            boolean old = attempt.key.upstream().equals(upstream) && attempt.key.session() != session;
            if (old && attempt.dispatched) {
                release(attempt);
                failed(now, attempt.call, Ran.MAY_HAVE_RUN, Cause.UNKNOWN_SESSION, 0, out);
            }
        }
    }

    void onLoad(Address from, LoadReport load) {
        tables.upstreams.row(from).ifPresent(row -> row.onLoad(load));
        tables.routingDue = true;
    }

    /** Finds silent attempts and asks what became of them. */
    void tick(long now, Outbox out) {
        Optional<AttemptRow.Key> due = tables.probes.poll(now);
        while (due.isPresent()) {
            AttemptRow attempt = tables.attempts.get(due.get());
            if (attempt != null) {
                probe(now, attempt, out);
            }
            due = tables.probes.poll(now);
        }
    }

    private void probe(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        long quietUntil = attempt.lastHeard + probeAfter(call);
        if (now < quietUntil) {
            tables.probes.set(attempt.key, quietUntil);
            return;
        }
        boolean stuck = now - attempt.lastProgress > STUCK_AFTER;
        boolean lost = now - attempt.lastHeard > LOST_AFTER;
        if (call.isGeneration() && (stuck || lost)) {
            giveUp(now, attempt, stuck ? Cause.UPSTREAM_ERROR : Cause.UPSTREAM_SILENT, out);
            return;
        }
        askAgain(now, attempt, out);
        tables.probes.set(attempt.key, now + PROBE_AGAIN);
    }

    private void askAgain(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        long held = call.isGeneration() ? call.delivered.size() : call.receivedBytes;
        Revoke revoke = Revoke.newBuilder()
                .setSession(attempt.key.session())
                .setNumber(attempt.key.number())
                .setHeld(held)
                .build();
        out.sendFresh(attempt.key.upstream(), Envelope.newBuilder().setRevoke(revoke));
    }

    private void giveUp(long now, AttemptRow attempt, Cause cause, Outbox out) {
        cancel(attempt, out);
        release(attempt);
        attempt.call.excluded.add(attempt.key.upstream());
        attempt.call.kvFrom = "";
        tables.upstreams.row(attempt.key.upstream()).ifPresent(row -> tables.upstreams.failed(now, row));
        failed(now, attempt.call, Ran.MAY_HAVE_RUN, cause, 0, out);
    }

    void cancel(AttemptRow attempt, Outbox out) {
        Cancel cancel = Cancel.newBuilder()
                .setSession(attempt.key.session())
                .setNumber(attempt.key.number())
                .build();
        out.sendFresh(attempt.key.upstream(), Envelope.newBuilder().setCancel(cancel));
    }

    /** An attempt ended without a whole answer: tries again where that is safe, or tells the caller. */
    void failed(long now, CallRow call, Ran ran, Cause cause, long retryAfterMillis, Outbox out) {
        if (call.phase == CallRow.Phase.DONE) {
            return;
        }
        call.lastCause = cause;
        call.lastRetryAfterMillis = retryAfterMillis;
        if (ran != Ran.NOT_RUN) {
            call.mayHaveRun = true;
        }
        if (ran == Ran.NOT_RUN && call.claimed) {
            call.moveFrom = call.claimedAttempt;
        }
        if (canTryAgain(now, call, ran, cause)) {
            call.phase = CallRow.Phase.WAITING;
            call.attempt = null;
            tables.waiting.addAgain(call);
            tables.routingDue = true;
            return;
        }
        Ran told = call.mayHaveRun ? ran == Ran.RAN ? Ran.RAN : Ran.MAY_HAVE_RUN : Ran.NOT_RUN;
        if (told == Ran.NOT_RUN && call.claimed) {
            claims.drop(call, out);
        }
        answers.finishFailed(call, told, cause, retryAfterMillis, "", out);
    }

    private boolean canTryAgain(long now, CallRow call, Ran ran, Cause cause) {
        boolean safe = ran == Ran.NOT_RUN || call.isRepeatable();
        boolean restartable = call.isGeneration() || !call.headDelivered;
        boolean hopeless = cause == Cause.CANCELLED || cause == Cause.ANSWER_TOO_LARGE || cause == Cause.BAD_REQUEST;
        if (!safe || !restartable || hopeless || call.callerGone || now >= call.deadline) {
            return false;
        }
        // These say that the upstream wants no more work now, not that a try went wrong.
        boolean free = cause == Cause.MOVED
                || cause == Cause.ROLE_CHANGING
                || cause == Cause.LEAVING
                || cause == Cause.OVERLOADED;
        return free || call.attempts < MOST_ATTEMPTS && tables.retryBudget.take(call.target());
    }

    /** Takes an attempt out of the tables. */
    void release(AttemptRow attempt) {
        if (tables.attempts.remove(attempt.key) == null) {
            return;
        }
        tables.prefilling -= attempt.prefillOnly ? 1 : 0;
        prefillDone(attempt);
        tables.probes.clear(attempt.key);
        tables.upstreams.row(attempt.key.upstream()).ifPresent(row -> {
            if (row.session == attempt.key.session()) {
                row.running = Math.max(0, row.running - 1);
                row.uncounted.remove(attempt.key.number());
            }
        });
        if (attempt.call.attempt == attempt) {
            attempt.call.attempt = null;
        }
        tables.routingDue = true;
    }

    private void prefillDone(AttemptRow attempt) {
        if (attempt.promptTaken) {
            return;
        }
        attempt.promptTaken = true;
        tables.upstreams.row(attempt.key.upstream()).ifPresent(row -> {
            if (row.session == attempt.key.session()) {
                row.promptTaken(attempt);
            }
        });
    }

    private void heard(long now, AttemptRow attempt) {
        attempt.lastHeard = now;
        tables.upstreams.row(attempt.key.upstream()).ifPresent(row -> tables.upstreams.heard(now, row));
    }

    private AttemptRow current(Address from, long session, long number) {
        AttemptRow attempt = tables.attempts.get(new AttemptRow.Key(from, session, number));
        return attempt != null && attempt.dispatched ? attempt : null;
    }
}
