package org.cuminshelf.control;

import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.replica.Replica;

/**
 * Decides whether this control process is the one that orders engines and reports to the platform.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A deposed leader continues to act. Only a leader with a valid lease holds the duty, and no other leader is
 *       elected before that lease ends.</li>
 *   <li>Holders alternate faster than the receiver of their calls can distinguish them. A new leader waits for the
 *       configured lease before its first call. By then it has received messages from all engines and entries.</li>
 *   <li>Two processes use the same fencing number. The number is the term, which has at most one leader.</li>
 * </ul>
 */
final class DutyLease {

    /** Time within which a new leader receives messages from all engines and entries. */
    private static final long MIN_SETTLE_NANOS = Durations.nanos(2_500);

    private final Replica replica;
    private final long settleNanos;
    private long heldTerm = -1;
    private long heldSince = Core.NEVER;

    DutyLease(Replica replica, long leaseMillis) {
        this.replica = replica;
        this.settleNanos = Math.max(MIN_SETTLE_NANOS, Durations.nanos(leaseMillis));
    }

    void tick(long now) {
        if (replica.hasLease(now) && heldTerm != replica.term()) {
            heldTerm = replica.term();
            heldSince = now;
        }
    }

    /** Returns whether this process leads under a valid lease, so that no other process can. */
    boolean isHeld(long now) {
        return replica.hasLease(now) && heldTerm == replica.term();
    }

    /** Returns whether this process has held the duty for long enough to act. */
    boolean mayAct(long now) {
        return isHeld(now) && now - heldSince >= settleNanos;
    }

    /** The fencing number for calls of this holder. */
    long fencingNumber() {
        return replica.term();
    }

    /** Time, on this process's monotonic clock in nanoseconds, until which a decision made now may be carried out. */
    long expiresAt(long now) {
        return replica.leaseEnd(now);
    }
}
