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

/** Gives waiting calls to upstreams, in the order in which they deserve it. */
final class RoutingSystem {

    private static final double MILLIS_PER_SECOND = 1e3;
    /** Share of the limit by which the estimate may be off: it takes slow moments for usual ones. */
    private static final double DOUBT = 1.12;

    private static final long SHORTEST_RETRY_AFTER_MILLIS = 250;
    private static final long LOOK_AGAIN = Durations.nanos(20);

    private final EntryState tables;
    private final Router router;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final AnswerSystem answers;
    private long lookAgainAt = Core.NEVER;

    RoutingSystem(EntryState tables, Router router, AttemptSystem attempts, ClaimSystem claims, AnswerSystem answers) {
        this.answers = answers;
        this.tables = tables;
        this.router = router;
        this.attempts = attempts;
        this.claims = claims;
    }

    void tick(long now, Outbox out) {
        if (!tables.routingDue && now < lookAgainAt) {
            return;
        }
        tables.routingDue = false;
        Set<String> full = new HashSet<>();
        Iterator<CallRow> calls = tables.waiting.inOrder();
        while (calls.hasNext()) {
            CallRow call = calls.next();
            if (full.contains(call.target())) {
                refuseIfLate(now, call, out);
                continue;
            }
            Optional<Router.Choice> choice = router.choose(now, call);
            if (choice.isPresent() && comesTooLate(now, call, choice.get().firstTokenSeconds())) {
                refuse(now, call, choice.get().firstTokenSeconds(), out);
            } else if (choice.isPresent()) {
                send(now, call, choice.get(), out);
            } else if (comesTooLate(now, call, 0)) {
                refuse(now, call, 0, out);
            } else if (call.excluded.isEmpty()) {
                full.add(call.target());
            } else {
                // All that is left were tried before: they may be tried again.
                call.excluded.clear();
            }
        }
        lookAgainAt = tables.waiting.size() > 0 ? now + LOOK_AGAIN : Core.NEVER;
    }

    long nextDue() {
        return tables.routingDue ? 0 : lookAgainAt;
    }

    private void refuseIfLate(long now, CallRow call, Outbox out) {
        if (comesTooLate(now, call, 0)) {
            refuse(now, call, 0, out);
        }
    }

    /**
     * Whether the first token would come too late even from the best engine. Such a call is refused at once, with the
     * time after which to come back: taken in, it would be late itself and make those behind it late.
     */
    private boolean comesTooLate(long now, CallRow call, double firstTokenSeconds) {
        if (!call.isGeneration() || !call.delivered.isEmpty()) {
            return false;
        }
        return Durations.millis(now - call.arrivedAt) + firstTokenSeconds * MILLIS_PER_SECOND
                > firstTokenLimitMillis(call) * DOUBT;
    }

    /** The model's time to the first token; a caller that names a deadline of its own accepts half of that. */
    private long firstTokenLimitMillis(CallRow call) {
        ModelConfig model = tables.config.config().models().get(call.target());
        return Math.max(model.firstTokenMillis(), call.request.getDeadlineMs() / 2);
    }

    private void refuse(long now, CallRow call, double firstTokenSeconds, Outbox out) {
        double late = Durations.millis(now - call.arrivedAt)
                + firstTokenSeconds * MILLIS_PER_SECOND
                - firstTokenLimitMillis(call);
        long retryAfter = Math.max(SHORTEST_RETRY_AFTER_MILLIS, (long) late);
        answers.finishFailed(call, Ran.NOT_RUN, Cause.OVERLOADED, retryAfter, "", out);
    }

    private void send(long now, CallRow call, Router.Choice choice, Outbox out) {
        tables.waiting.taken(call);
        AttemptRow attempt = attempts.reserve(call, choice);
        if (call.hasKey() && (!call.claimed || call.moveFrom != null)) {
            claims.claim(now, call, attempt, out);
        } else {
            attempts.dispatch(now, attempt, out);
        }
    }
}
