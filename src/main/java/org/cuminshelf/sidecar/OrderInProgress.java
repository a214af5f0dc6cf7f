package org.cuminshelf.sidecar;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.Order;

/** The one order a sidecar is carrying out. */
final class OrderInProgress {

    /** How far the order is. */
    enum Phase {
        /** Waits for the attempts on the upstream to end. */
        DRAINING,
        /** Was written to the upstream, or may have been. */
        APPLYING,
        /** The upstream's own state is read to learn the outcome. */
        READING_BACK
    }

    final Order order;
    final Address control;
    final String group;
    final long startBefore;
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
