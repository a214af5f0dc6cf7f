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
 * Sends the committed orders of a region to their sidecars until each reports, and closes them in the log.
 *
 * <p>An order is sent only after it is committed and only under a lease. What a deposed leader may still have on its
 * way is the same order with the same number, which a sidecar carries out once.
 */
final class SidecarOrderDispatcher {

    private static final long SEND_AGAIN = Durations.nanos(500);
    private static final int START_WITHIN_MILLIS = 40_000;

    private final String group;
    private final Replica replica;
    private final RegionStateMachine machine;
    private final Map<Long, Long> sentAt = new HashMap<>();
    private final Set<Long> closing = new HashSet<>();
    private final Map<String, Long> seeing = new HashMap<>();
    private long proposedTerm;

    SidecarOrderDispatcher(String group, Replica replica, RegionStateMachine machine) {
        this.group = group;
        this.replica = replica;
        this.machine = machine;
    }

    /** Notes a sidecar's incarnation in the log before any order may be meant for it. */
    void onAnnounce(long now, Address from, long incarnation, Announce announce) {
        forgetIfTermChanged();
        boolean proposed = seeing.getOrDefault(from.value(), 0L) == incarnation;
        if (!replica.isLeader() || proposed || !machine.isNew(from.value(), incarnation)) {
            return;
        }
        seeing.put(from.value(), incarnation);
        replica.propose(
                now,
                LogEntry.newBuilder()
                        .setSeen(UpstreamSeen.newBuilder()
                                .setEngine(from.value())
                                .setIncarnation(incarnation)));
    }

    void onReport(long now, Address from, OrderReport report) {
        forgetIfTermChanged();
        boolean known = machine.pendingOrder(from.value())
                .filter(order -> order.getNumber() == report.getNumber())
                .isPresent();
        if (!known || !replica.isLeader() || !closing.add(report.getNumber())) {
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
        forgetIfTermChanged();
        if (!replica.hasLease(now)) {
            return;
        }
        for (Order order : List.copyOf(machine.pendingOrders())) {
            Long before = sentAt.get(order.getNumber());
            if (before == null || now - before >= SEND_AGAIN) {
                sentAt.put(order.getNumber(), now);
                OrderSent sent = OrderSent.newBuilder()
                        .setOrder(order)
                        .setGroup(group)
                        .setStartWithinMs(START_WITHIN_MILLIS)
                        .build();
                out.send(Address.of(order.getEngine()), Envelope.newBuilder().setOrderSent(sent));
            }
        }
        if (machine.pendingOrders().isEmpty()) {
            sentAt.clear();
            closing.clear();
        }
    }

    long nextDue(long now) {
        return replica.isLeader() && !machine.pendingOrders().isEmpty() ? now + SEND_AGAIN / 2 : Core.NEVER;
    }

    /** What was proposed in an earlier term may be lost; it is proposed again where it is still wanting. */
    private void forgetIfTermChanged() {
        if (proposedTerm != replica.term()) {
            proposedTerm = replica.term();
            seeing.clear();
            closing.clear();
            sentAt.clear();
        }
    }
}
