package org.cuminshelf.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderClosed;
import org.cuminshelf.message.OrderReport;
import org.cuminshelf.message.OrderSent;
import org.cuminshelf.message.UpstreamSeen;
import org.cuminshelf.replica.Replica;

/**
 * Sends the committed orders of a region to their sidecars until each sidecar reports the outcome, and closes them in
 * the log.
 *
 * <p>An order is sent only after it is committed and only under a lease. A message of a deposed leader that is still in
 * transit carries the same order with the same number, which a sidecar applies only once.
 */
final class SidecarOrderDispatcher {

    private static final long RESEND_INTERVAL_NANOS = Durations.nanos(500);
    /** Time after the receipt of an order within which the sidecar may start to apply it. */
    private static final int MAX_START_DELAY_MILLIS = 40_000;

    private final String group;
    private final Replica replica;
    private final RegionStateMachine machine;
    /** Time in nanoseconds at which an order was last sent, by order number. */
    private final Map<Long, Long> sentAt = new HashMap<>();
    /** Numbers of the orders whose closing was proposed in this term. */
    private final Set<Long> proposedClosings = new HashSet<>();
    /** Sidecar incarnations proposed in this term, by address. */
    private final Map<String, Long> proposedIncarnations = new HashMap<>();

    private long proposedTerm;

    SidecarOrderDispatcher(String group, Replica replica, RegionStateMachine machine) {
        this.group = group;
        this.replica = replica;
        this.machine = machine;
    }

    /** Records a sidecar's incarnation in the log, which is required before orders can be addressed to it. */
    void onAnnounce(long now, Address from, long incarnation, Announce announce) {
        resetOnTermChange();
        boolean alreadyProposed = proposedIncarnations.getOrDefault(from.value(), 0L) == incarnation;
        if (!replica.isLeader() || alreadyProposed || !machine.isNew(from.value(), incarnation)) {
            return;
        }
        proposedIncarnations.put(from.value(), incarnation);
        replica.propose(
                now,
                LogEntry.newBuilder()
                        .setSeen(UpstreamSeen.newBuilder()
                                .setEngine(from.value())
                                .setIncarnation(incarnation)));
    }

    void onReport(long now, Address from, OrderReport report) {
        resetOnTermChange();
        boolean matchesPending = machine.pendingOrder(from.value())
                .filter(order -> order.getNumber() == report.getNumber())
                .isPresent();
        if (!matchesPending || !replica.isLeader() || !proposedClosings.add(report.getNumber())) {
            return;
        }
        replica.propose(
                now,
                LogEntry.newBuilder()
                        .setClosed(OrderClosed.newBuilder()
                                .setEngine(from.value())
                                .setNumber(report.getNumber())
                                .setApplied(report.getApplied())
                                .setCause(report.getCause())));
    }

    void tick(long now, Outbox out) {
        resetOnTermChange();
        if (!replica.hasLease(now)) {
            return;
        }
        for (Order order : List.copyOf(machine.pendingOrders())) {
            Long lastSentAt = sentAt.get(order.getNumber());
            if (lastSentAt == null || now - lastSentAt >= RESEND_INTERVAL_NANOS) {
                sentAt.put(order.getNumber(), now);
                OrderSent message = OrderSent.newBuilder()
                        .setOrder(order)
                        .setGroup(group)
                        .setStartWithinMs(MAX_START_DELAY_MILLIS)
                        .build();
                out.send(Address.of(order.getEngine()), Envelope.newBuilder().setOrderSent(message));
            }
        }
        if (machine.pendingOrders().isEmpty()) {
            sentAt.clear();
            proposedClosings.clear();
        }
    }

    long nextDue(long now) {
        return replica.isLeader() && !machine.pendingOrders().isEmpty() ? now + RESEND_INTERVAL_NANOS / 2 : Core.NEVER;
    }

    /** Proposals of an earlier term may be lost, so they are forgotten and made again where still needed. */
    private void resetOnTermChange() {
        if (proposedTerm != replica.term()) {
            proposedTerm = replica.term();
            proposedIncarnations.clear();
            proposedClosings.clear();
            sentAt.clear();
        }
    }
}
