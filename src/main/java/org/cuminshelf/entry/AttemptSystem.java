package org.cuminshelf.entry;

import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * Dispatches attempts, receives their answers, and resolves attempts that fall silent.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A dispatched attempt gets no response, so it is unknown whether the request ran. An exchange that may not be
 *       repeated is sent to another upstream only after the sidecar has confirmed, over a new connection, that the
 *       attempt did not run and never will. A generation continues elsewhere after a timeout.</li>
 *   <li>The sidecar restarted. It knows nothing of the attempts of its earlier incarnation: a request that may not be
 *       repeated ends as "may have run".</li>
 *   <li>Parts of an answer arrive late, twice or out of order. Each chunk names its attempt and its offset: a chunk of
 *       no current attempt is dropped, an overlap is discarded, and a missing part is requested again.</li>
 * </ul>
 */
final class AttemptSystem {

    private static final long EXCHANGE_PROBE_DELAY_NANOS = Durations.nanos(400);
    private static final long GENERATION_PROBE_DELAY_NANOS = Durations.nanos(1_000);
    private static final long PROBE_INTERVAL_NANOS = Durations.nanos(500);
    /** Time without a new token after which a generation is abandoned although the sidecar answers probes. */
    private static final long STALL_TIMEOUT_NANOS = Durations.nanos(8_000);
    /** Time without any message from the sidecar after which a generation continues on another engine. */
    private static final long SIDECAR_SILENCE_TIMEOUT_NANOS = Durations.nanos(2_500);

    private static final int MAX_ATTEMPTS = 6;

    private final EntryState state;
    private final AnswerSystem answers;
    private final Router router;
    /** Silent attempts that could not be replaced so far. */
    private final Set<AttemptRow.Key> silentAttempts = new LinkedHashSet<>();

    private ClaimSystem claims;

    AttemptSystem(EntryState state, AnswerSystem answers, Router router) {
        this.state = state;
        this.answers = answers;
        this.router = router;
    }

    /** Sets the claim system; must be called before the first message. The two systems refer to each other. */
    void setClaimSystem(ClaimSystem system) {
        this.claims = system;
    }

    /**
     * Reserves an attempt on an upstream without sending it. Attempt numbers are unique over all sessions. Failure
     * this guards against: a late message of a dead sidecar makes the entry return to the old session and then to the
     * new one; if numbering restarted with each session, an answer to another call could match the new attempt.
     */
    AttemptRow reserve(CallRow call, Router.Choice choice) {
        UpstreamRow upstream = choice.upstream();
        AttemptRow.Key key = new AttemptRow.Key(upstream.address, upstream.session, state.nextAttemptNumber++);
        AttemptRow attempt = new AttemptRow(key, call, choice.uncachedTokens(), choice.prefillOnly());
        call.attempt = attempt;
        call.attemptCount++;
        state.attempts.put(key, attempt);
        upstream.addAttempt(attempt);
        state.prefillOnlyAttempts += attempt.prefillOnly ? 1 : 0;
        return attempt;
    }

    /** Sends a reserved attempt to its sidecar. A generation continues after the tokens already delivered. */
    void dispatch(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        checkAtMostOnce(call);
        call.phase = CallRow.Phase.RUNNING;
        attempt.dispatched = true;
        attempt.sentAtNanos = now;
        attempt.lastMessageAtNanos = now;
        attempt.lastProgressAtNanos = now;
        call.receivedBytes = 0;
        call.bufferedBody = ByteString.EMPTY;
        call.answerHead = call.headDelivered ? call.answerHead : null;
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setSession(attempt.key.session())
                .setNumber(attempt.key.number())
                .setPriority(call.priority)
                .setOrganisation(call.request.getOrganisation())
                .setTraceParent(call.request.getTraceParent())
                .setPromptCost((int) attempt.uncachedPromptTokens)
                .setDeadlineMs(Durations.millisLeft(now, call.deadlineNanos));
        if (call.isGeneration()) {
            Generation.Builder generation = call.generation().toBuilder();
            generation.addAllHeld(call.deliveredTokens);
            generation.setPrefillOnly(attempt.prefillOnly);
            generation.setKvFrom(call.kvCacheSource);
            dispatch.setGeneration(generation);
        } else {
            dispatch.setExchange(call.exchange());
        }
        state.upstreams.row(attempt.key.upstream()).ifPresent(row -> {
            row.lastDispatchAtNanos = now;
            row.addCachedBlocks(call.generation().getPrefixList());
        });
        state.probeTimers.set(attempt.key, now + probeDelayNanos(call));
        out.send(attempt.key.upstream(), Envelope.newBuilder().setDispatch(dispatch));
    }

    private void checkAtMostOnce(CallRow call) {
        state.invariants.check(
                call.isRepeatable() || !call.mayHaveRun,
                "at-most-once",
                () -> "call " + call.id + " is dispatched again although it may have run");
    }

    private static long probeDelayNanos(CallRow call) {
        return call.isGeneration() ? GENERATION_PROBE_DELAY_NANOS : EXCHANGE_PROBE_DELAY_NANOS;
    }

    void onChunk(long now, Address from, Chunk chunk, Outbox out) {
        AttemptRow attempt = findDispatched(from, chunk.getSession(), chunk.getNumber());
        if (attempt == null) {
            return;
        }
        onMessage(now, attempt);
        CallRow call = attempt.call;
        if (call.isGeneration()) {
            onTokens(now, attempt, chunk, out);
        } else {
            onBytes(attempt, chunk, out);
        }
    }

    private void onTokens(long now, AttemptRow attempt, Chunk chunk, Outbox out) {
        CallRow call = attempt.call;
        long received = call.deliveredTokens.size();
        if (chunk.getOffset() > received) {
            sendRevoke(now, attempt, out);
            return;
        }
        long overlap = received - chunk.getOffset();
        if (overlap >= chunk.getTokensCount()) {
            return;
        }
        attempt.lastProgressAtNanos = now;
        markPrefillComplete(attempt);
        if (chunk.hasLoad()) {
            onLoad(attempt.key.upstream(), chunk.getLoad());
        }
        List<String> newPart = chunk.getTokensList().subList((int) overlap, chunk.getTokensCount());
        answers.sendTokens(now, call, received, newPart, out);
    }

    private void onBytes(AttemptRow attempt, Chunk chunk, Outbox out) {
        CallRow call = attempt.call;
        if (chunk.hasHead() && call.answerHead == null) {
            call.answerHead = chunk.getHead();
        }
        long overlap = call.receivedBytes - chunk.getOffset();
        if (overlap < 0) {
            sendRevoke(attempt.lastMessageAtNanos, attempt, out);
            return;
        }
        if (overlap > chunk.getBody().size()) {
            return;
        }
        ByteString newPart = chunk.getBody().substring((int) overlap);
        call.receivedBytes += newPart.size();
        if (call.requiresClaim()) {
            call.bufferedBody = call.bufferedBody.concat(newPart);
        } else {
            answers.sendHead(call, out);
            answers.sendBody(call, newPart, out);
        }
    }

    void onEnded(long now, Address from, Ended ended, Outbox out) {
        AttemptRow attempt = findDispatched(from, ended.getSession(), ended.getNumber());
        if (attempt == null) {
            return;
        }
        onMessage(now, attempt);
        CallRow call = attempt.call;
        long received = call.isGeneration() ? call.deliveredTokens.size() : call.receivedBytes;
        boolean headMissing = !call.isGeneration() && ended.getRan() == Ran.RAN && call.answerHead == null;
        if (ended.getLength() > received || headMissing && ended.getCause() == Cause.CAUSE_NONE) {
            sendRevoke(now, attempt, out);
            return;
        }
        if (ended.hasLoad()) {
            onLoad(from, ended.getLoad());
        }
        release(attempt);
        Optional<UpstreamRow> upstream = state.upstreams.row(from);
        if (ended.getCause() == Cause.CAUSE_NONE) {
            upstream.ifPresent(state.upstreams::onSuccess);
            onCompleteAnswer(now, attempt, ended.getFinishReason(), out);
            return;
        }
        if (ended.getCause() == Cause.CONNECT_FAILED || ended.getCause() == Cause.CONNECTION_BROKEN) {
            upstream.ifPresent(row -> state.upstreams.onFailure(now, row));
        }
        boolean moved = ended.getCause() == Cause.MOVED && !call.deliveredTokens.isEmpty();
        call.kvCacheSource = moved ? from.value() : "";
        onAttemptFailed(now, call, ended.getRan(), ended.getCause(), 0, out);
    }

    private void onCompleteAnswer(long now, AttemptRow attempt, String finishReason, Outbox out) {
        CallRow call = attempt.call;
        if (call.requiresClaim() && call.claimGranted) {
            claims.record(now, call, out);
            return;
        }
        answers.sendHead(call, out);
        answers.finishComplete(call, finishReason, out);
        acknowledge(attempt.key, out);
    }

    /** Notifies the sidecar that the answer was received completely, so that it can discard it. */
    void acknowledge(AttemptRow.Key key, Outbox out) {
        out.send(
                key.upstream(),
                Envelope.newBuilder()
                        .setReceived(
                                Received.newBuilder().setSession(key.session()).setNumber(key.number())));
    }

    void onRefused(long now, Address from, Refused refused, Outbox out) {
        AttemptRow attempt = findDispatched(from, refused.getSession(), refused.getNumber());
        if (attempt == null) {
            return;
        }
        if (refused.hasLoad()) {
            onLoad(from, refused.getLoad());
        }
        release(attempt);
        if (refused.getCause() == Cause.OVERLOADED) {
            state.upstreams
                    .row(from)
                    .ifPresent(row -> row.avoidUntilNanos =
                            Math.max(row.avoidUntilNanos, now + Durations.nanos(refused.getRetryAfterMs())));
        } else if (refused.getCause() == Cause.UNKNOWN_SESSION) {
            state.upstreams.row(from).ifPresent(row -> row.openSentAtNanos = 0);
            attempt.call.excludedUpstreams.add(from);
        }
        onAttemptFailed(now, attempt.call, Ran.NOT_RUN, refused.getCause(), refused.getRetryAfterMs(), out);
    }

    void onRevokeAnswer(long now, Address from, RevokeAnswer answer, Outbox out) {
        AttemptRow attempt = findDispatched(from, answer.getSession(), answer.getNumber());
        if (attempt == null) {
            return;
        }
        attempt.lastMessageAtNanos = now;
        switch (answer.getState()) {
            case ATTEMPT_NOT_RUN -> {
                release(attempt);
                onAttemptFailed(now, attempt.call, Ran.NOT_RUN, Cause.REVOKED, 0, out);
            }
            case ATTEMPT_UNKNOWN, UNRECOGNIZED -> {
                release(attempt);
                onAttemptFailed(now, attempt.call, Ran.MAY_HAVE_RUN, Cause.UNKNOWN_SESSION, 0, out);
            }
            case ATTEMPT_RUNNING, ATTEMPT_ENDED -> {
                // The sidecar sends the rest of the answer in chunks.
            }
        }
    }

    /** Fails the attempts of a sidecar's earlier session; they were lost when it restarted. */
    void onRestart(long now, Address upstream, long session, Outbox out) {
        for (AttemptRow attempt : List.copyOf(state.attempts.values())) {
            boolean old = attempt.key.upstream().equals(upstream) && attempt.key.session() != session;
            if (old && attempt.dispatched) {
                release(attempt);
                onAttemptFailed(now, attempt.call, Ran.MAY_HAVE_RUN, Cause.UNKNOWN_SESSION, 0, out);
            }
        }
    }

    void onLoad(Address from, LoadReport load) {
        state.upstreams.row(from).ifPresent(row -> row.onLoad(load));
        state.routingDue = true;
    }

    /** Leaves a pause of this process out of the silence of all attempts. */
    void discountPause(long now, long pauseNanos) {
        for (AttemptRow attempt : state.attempts.values()) {
            attempt.lastMessageAtNanos = Math.min(now, attempt.lastMessageAtNanos + pauseNanos);
            attempt.lastProgressAtNanos = Math.min(now, attempt.lastProgressAtNanos + pauseNanos);
        }
    }

    /** Probes the attempts from which no message has arrived for some time. */
    void tick(long now, Outbox out) {
        Optional<AttemptRow.Key> due = state.probeTimers.poll(now);
        while (due.isPresent()) {
            AttemptRow attempt = state.attempts.get(due.get());
            if (attempt != null) {
                probe(now, attempt, out);
            }
            due = state.probeTimers.poll(now);
        }
        if (state.routingDue) {
            replaceSilent(now, out);
        }
    }

    /** Replaces silent attempts before waiting calls are routed, as long as another upstream has room for them. */
    private void replaceSilent(long now, Outbox out) {
        silentAttempts.removeIf(key -> !state.attempts.containsKey(key) || !isSilent(now, state.attempts.get(key)));
        Iterator<AttemptRow.Key> keys = silentAttempts.iterator();
        while (keys.hasNext() && replace(now, state.attempts.get(keys.next()), out)) {
            keys.remove();
        }
    }

    private void probe(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        long probeDueNanos = attempt.lastMessageAtNanos + probeDelayNanos(call);
        if (now < probeDueNanos) {
            state.probeTimers.set(attempt.key, probeDueNanos);
            return;
        }
        if (isSilent(now, attempt)) {
            if (replace(now, attempt, out)) {
                return;
            }
            silentAttempts.add(attempt.key);
        }
        sendRevoke(now, attempt, out);
        state.probeTimers.set(attempt.key, now + PROBE_INTERVAL_NANOS);
    }

    /** Returns whether a generation makes no progress, so that it is continued elsewhere if possible. */
    private static boolean isSilent(long now, AttemptRow attempt) {
        boolean sidecarSilent = now - attempt.lastMessageAtNanos > SIDECAR_SILENCE_TIMEOUT_NANOS;
        return attempt.call.isGeneration() && (sidecarSilent || isStalled(now, attempt));
    }

    /** Returns whether no token has arrived for long although the sidecar may answer. */
    private static boolean isStalled(long now, AttemptRow attempt) {
        return now - attempt.lastProgressAtNanos > STALL_TIMEOUT_NANOS;
    }

    /**
     * Requests that the sidecar revoke the attempt if it did not run, or else send the answer from the first missing
     * token or byte on.
     */
    private void sendRevoke(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        long received = call.isGeneration() ? call.deliveredTokens.size() : call.receivedBytes;
        Revoke revoke = Revoke.newBuilder()
                .setSession(attempt.key.session())
                .setNumber(attempt.key.number())
                .setHeld(received)
                .build();
        out.sendOnNewConnection(attempt.key.upstream(), Envelope.newBuilder().setRevoke(revoke));
    }

    /**
     * Replaces a silent attempt of a generation by one on another engine, if that is possible at once; otherwise the
     * attempt is kept, as its sidecar may be sound.
     *
     * @return whether it was replaced
     */
    private boolean replace(long now, AttemptRow attempt, Outbox out) {
        CallRow call = attempt.call;
        if (call.attemptCount >= MAX_ATTEMPTS) {
            return false;
        }
        Optional<Router.Choice> choice = router.chooseForRestart(now, call, attempt.key.upstream());
        if (choice.isEmpty() || !state.retryBudget.tryTake(call.target())) {
            return false;
        }
        cancel(attempt, out);
        release(attempt);
        call.excludedUpstreams.add(attempt.key.upstream());
        call.kvCacheSource = "";
        call.lastCause = isStalled(now, attempt) ? Cause.UPSTREAM_ERROR : Cause.UPSTREAM_SILENT;
        call.mayHaveRun = true;
        state.upstreams.row(attempt.key.upstream()).ifPresent(row -> state.upstreams.onFailure(now, row));
        dispatch(now, reserve(call, choice.get()), out);
        return true;
    }

    /** Requests that the sidecar stop the attempt; no answer is awaited. */
    void cancel(AttemptRow attempt, Outbox out) {
        Cancel cancel = Cancel.newBuilder()
                .setSession(attempt.key.session())
                .setNumber(attempt.key.number())
                .build();
        out.sendOnNewConnection(attempt.key.upstream(), Envelope.newBuilder().setCancel(cancel));
    }

    /**
     * Handles an attempt that ended without a complete answer: queues the call again if a retry is safe, and otherwise
     * finishes it.
     *
     * @param ran whether this attempt ran
     */
    void onAttemptFailed(long now, CallRow call, Ran ran, Cause cause, long retryAfterMillis, Outbox out) {
        if (call.phase == CallRow.Phase.DONE) {
            return;
        }
        call.lastCause = cause;
        call.lastRetryAfterMillis = retryAfterMillis;
        if (ran != Ran.NOT_RUN) {
            call.mayHaveRun = true;
        }
        if (ran == Ran.NOT_RUN && call.claimGranted) {
            call.moveClaimFrom = call.claimedAttempt;
        }
        if (canRetry(now, call, ran, cause)) {
            call.phase = CallRow.Phase.WAITING;
            call.attempt = null;
            state.waitingCalls.requeue(call);
            state.routingDue = true;
            return;
        }
        Ran reported = call.mayHaveRun ? ran == Ran.RAN ? Ran.RAN : Ran.MAY_HAVE_RUN : Ran.NOT_RUN;
        if (reported == Ran.NOT_RUN && call.claimGranted) {
            claims.release(call, out);
        }
        answers.finishFailed(call, reported, cause, retryAfterMillis, "", out);
    }

    private boolean canRetry(long now, CallRow call, Ran ran, Cause cause) {
        boolean safe = ran == Ran.NOT_RUN || call.isRepeatable();
        boolean restartable = call.isGeneration() || !call.headDelivered;
        boolean permanent = cause == Cause.CANCELLED || cause == Cause.ANSWER_TOO_LARGE || cause == Cause.BAD_REQUEST;
        if (!safe || !restartable || permanent || call.callerDisconnected || now >= call.deadlineNanos) {
            return false;
        }
        // With these causes the upstream declines work for now; they are not faults, so the retry is not budgeted.
        boolean exemptFromBudget = cause == Cause.MOVED
                || cause == Cause.ROLE_CHANGING
                || cause == Cause.LEAVING
                || cause == Cause.OVERLOADED;
        return exemptFromBudget || call.attemptCount < MAX_ATTEMPTS && state.retryBudget.tryTake(call.target());
    }

    /** Removes an attempt from the state of the entry and from the load of its upstream. */
    void release(AttemptRow attempt) {
        if (state.attempts.remove(attempt.key) == null) {
            return;
        }
        state.prefillOnlyAttempts -= attempt.prefillOnly ? 1 : 0;
        markPrefillComplete(attempt);
        state.probeTimers.clear(attempt.key);
        state.upstreams.row(attempt.key.upstream()).ifPresent(row -> {
            if (row.session == attempt.key.session()) {
                row.ownAttempts = Math.max(0, row.ownAttempts - 1);
                row.unreportedAttempts.remove(attempt.key.number());
            }
        });
        if (attempt.call.attempt == attempt) {
            attempt.call.attempt = null;
        }
        state.routingDue = true;
    }

    private void markPrefillComplete(AttemptRow attempt) {
        if (attempt.prefillComplete) {
            return;
        }
        attempt.prefillComplete = true;
        state.upstreams.row(attempt.key.upstream()).ifPresent(row -> {
            if (row.session == attempt.key.session()) {
                row.onPrefillComplete(attempt);
            }
        });
    }

    private void onMessage(long now, AttemptRow attempt) {
        attempt.lastMessageAtNanos = now;
        state.upstreams.row(attempt.key.upstream()).ifPresent(row -> state.upstreams.onMessage(now, row));
    }

    /** Returns the attempt if it is current and was dispatched, or else null. */
    private AttemptRow findDispatched(Address from, long session, long number) {
        AttemptRow attempt = state.attempts.get(new AttemptRow.Key(from, session, number));
        return attempt != null && attempt.dispatched ? attempt : null;
    }
}
