package org.cuminshelf.entry;

import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Ran;

/** Assigns waiting calls to upstreams in the order of {@link WaitingCalls}, and refuses those that would be late. */
final class RoutingSystem {

    private static final double MILLIS_PER_SECOND = 1e3;
    /** Factor by which the estimate may exceed the limit, because short slowdowns make it too high. */
    private static final double ESTIMATE_TOLERANCE = 1.12;

    private static final long MIN_RETRY_AFTER_MILLIS = 250;
    private static final long RECHECK_INTERVAL_NANOS = Durations.nanos(20);

    private final EntryState state;
    private final Router router;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final AnswerSystem answers;
    private long recheckAtNanos = Core.NEVER;

    RoutingSystem(EntryState state, Router router, AttemptSystem attempts, ClaimSystem claims, AnswerSystem answers) {
        this.answers = answers;
        this.state = state;
        this.router = router;
        this.attempts = attempts;
        this.claims = claims;
    }

    void tick(long now, Outbox out) {
        if (!state.routingDue && now < recheckAtNanos) {
            return;
        }
        state.routingDue = false;
        Set<String> saturatedTargets = new HashSet<>();
        Iterator<CallRow> calls = state.waitingCalls.inOrder();
        while (calls.hasNext()) {
            CallRow call = calls.next();
            if (saturatedTargets.contains(call.target())) {
                refuseIfLate(now, call, out);
                continue;
            }
            Optional<Router.Choice> choice = router.choose(now, call);
            if (choice.isPresent()
                    && missesFirstTokenLimit(now, call, choice.get().firstTokenSeconds())) {
                refuse(now, call, choice.get().firstTokenSeconds(), out);
            } else if (choice.isPresent()) {
                send(now, call, choice.get(), out);
            } else if (missesFirstTokenLimit(now, call, 0)) {
                refuse(now, call, 0, out);
            } else if (call.excludedUpstreams.isEmpty()) {
                saturatedTargets.add(call.target());
            } else {
                // Only excluded upstreams are left; allow them again.
                call.excludedUpstreams.clear();
            }
        }
        recheckAtNanos = state.waitingCalls.size() > 0 ? now + RECHECK_INTERVAL_NANOS : Core.NEVER;
    }

    long nextDue() {
        return state.routingDue ? 0 : recheckAtNanos;
    }

    private void refuseIfLate(long now, CallRow call, Outbox out) {
        if (missesFirstTokenLimit(now, call, 0)) {
            refuse(now, call, 0, out);
        }
    }

    /**
     * Returns whether the first token would be late even from the best engine. Such a call is refused at once with a
     * retry time: if accepted, it would be late and would delay the calls behind it.
     */
    private boolean missesFirstTokenLimit(long now, CallRow call, double firstTokenSeconds) {
        if (!call.isGeneration() || !call.deliveredTokens.isEmpty()) {
            return false;
        }
        return Durations.millis(now - call.arrivedAtNanos) + firstTokenSeconds * MILLIS_PER_SECOND
                > firstTokenLimitMillis(call) * ESTIMATE_TOLERANCE;
    }

    /** The model's limit for the first token, or half of the deadline that the caller stated if that is longer. */
    private long firstTokenLimitMillis(CallRow call) {
        ModelConfig model = state.config.config().models().get(call.target());
        return Math.max(model.firstTokenMillis(), call.request.getDeadlineMs() / 2);
    }

    private void refuse(long now, CallRow call, double firstTokenSeconds, Outbox out) {
        double lateMillis = Durations.millis(now - call.arrivedAtNanos)
                + firstTokenSeconds * MILLIS_PER_SECOND
                - firstTokenLimitMillis(call);
        long retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, (long) lateMillis);
        answers.finishFailed(call, Ran.NOT_RUN, Cause.OVERLOADED, retryAfterMillis, "", out);
    }

    private void send(long now, CallRow call, Router.Choice choice, Outbox out) {
        state.waitingCalls.removeRouted(call);
        AttemptRow attempt = attempts.reserve(call, choice);
        if (call.requiresClaim() && (!call.claimGranted || call.moveClaimFrom != null)) {
            claims.claim(now, call, attempt, out);
        } else {
            attempts.dispatch(now, attempt, out);
        }
    }
}
