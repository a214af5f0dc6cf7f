package org.cuminshelf.sidecar;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.Order;

/** The order that a sidecar is carrying out; there is at most one. Times are in nanoseconds. */
final class OrderInProgress {

    /** The progress of the order. */
    enum Phase {
        /** Waits until the upstream is idle and, for a role change, until its attempts have ended. */
        DRAINING,
        /** Has been handed to the upstream, which may or may not have received it. */
        APPLYING,
        /** The state of the upstream is being read to determine the outcome. */
        READING_BACK
    }

    final Order order;
    final Address control;
    final String group;
    /** The order must not be written to the upstream after this time. */
    final long startBefore;
    /** Attempts still running at this time are moved to another engine. */
    final long drainUntil;

    Phase phase = Phase.DRAINING;

    OrderInProgress(Order order, Address control, String group, long startBefore, long drainUntil) {
        this.order = order;
        this.control = control;
        this.group = group;
        this.startBefore = startBefore;
        this.drainUntil = drainUntil;
    }
}
