package org.cuminshelf.control;

import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.replica.Replica;

/**
 * Whether this control process is the one that orders engines and reports to the platform.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A deposed leader goes on: only a leader under its lease holds, and no other is elected before that ends.</li>
 *   <li>Two processes take turns faster than whoever listens can tell them apart: a new leader waits for the stated
 *       lease before its first call. It has heard all engines and entries by then.</li>
 *   <li>Two processes show the same number: the number is the term, in which one process at the most leads.</li>
 * </ul>
 */
final class DutyLease {

    /** Time in which a new leader hears all engines and entries again. */
    private static final long SETTLE = Durations.nanos(2_500);

    private final Replica replica;
    private final long wait;
    private long heldTerm = -1;
    private long heldSince = Core.NEVER;

    DutyLease(Replica replica, long leaseMillis) {
        this.replica = replica;
        this.wait = Math.max(SETTLE, Durations.nanos(leaseMillis));
    }

    void tick(long now) {
        if (replica.hasLease(now) && heldTerm != replica.term()) {
            heldTerm = replica.term();
            heldSince = now;
        }
    }

    /** Whether this process leads, and no other can. */
    boolean holds(long now) {
        return replica.hasLease(now) && heldTerm == replica.term();
    }

    /** Whether it holds, and for long enough to act. */
    boolean mayAct(long now) {
        return holds(now) && now - heldSince >= wait;
    }

    /** The fencing number of its calls. */
    long number() {
        return replica.term();
    }

    /** Until when what it decides now may be carried out, by this process's monotonic clock. */
    long until(long now) {
        return replica.leaseEnd(now);
    }
}
