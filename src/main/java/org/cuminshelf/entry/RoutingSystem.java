package org.cuminshelf.entry;

import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;

/** Gives waiting calls to upstreams, in the order in which they deserve it. */
final class RoutingSystem {

    private static final long LOOK_AGAIN = Durations.nanos(20);

    private final EntryTables tables;
    private final Router router;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private long lookAgainAt = Core.NEVER;

    RoutingSystem(EntryTables tables, Router router, AttemptSystem attempts, ClaimSystem claims) {
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
                continue;
            }
            Optional<Router.Choice> choice = router.choose(now, call);
            if (choice.isPresent()) {
                send(now, call, choice.get(), out);
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
