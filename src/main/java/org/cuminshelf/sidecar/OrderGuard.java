package org.cuminshelf.sidecar;

import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.ApplyOrder;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderReport;
import org.cuminshelf.message.OrderSent;
import org.cuminshelf.message.ReadUpstream;
import org.cuminshelf.message.UpstreamState;

/**
 * Carries out orders on the upstream, one at a time, and refuses those whose authority is gone.
 *
 * <p>Failures it guards against, and how:
 * <ul>
 *   <li>An order of a deposed control process arrives late. Its fencing number is below the highest one seen, or it
 *       names an earlier incarnation of this sidecar; either way it is refused here, whether or not the upstream
 *       checks numbers itself.</li>
 *   <li>The sidecar restarts and has lost the highest number. Orders name the incarnation they are meant for, and the
 *       group gives none to this incarnation before it has closed those of the earlier one.</li>
 *   <li>A write of the earlier incarnation is still on its way to the upstream. No order is carried out before
 *       {@link #WAIT_OUT} has passed and the upstream was read and is at rest; an order starts within
 *       {@link #LONGEST_START} or never.</li>
 *   <li>The upstream crashes in the middle of a change. The outcome is read back from it, never assumed.</li>
 * </ul>
 */
final class OrderGuard {

    /** An order is written within this time of its arrival or not at all. */
    static final long LONGEST_START = Durations.nanos(40_000);

    /** Silence kept after a start: a write of a dead predecessor is at most a socket buffer away. */
    static final long WAIT_OUT = Durations.nanos(2_500);

    private static final long READ_AGAIN = Durations.nanos(200);
    private static final long DRAIN_PATIENCE = Durations.nanos(1_500);

    private final SidecarSettings settings;
    private final long incarnation;
    private final long startedAt;
    private final Invariants invariants;
    private OrderRow current;
    private OrderReport lastReport;
    private long fence;
    private boolean rested;
    private long nextRead;
    private boolean draining;
    private long lastTick;

    OrderGuard(SidecarSettings settings, long incarnation, long startedAt, Invariants invariants) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.startedAt = startedAt;
        this.invariants = invariants;
        this.nextRead = startedAt;
    }

    long lastOrder() {
        return fence;
    }

    /** Whether a change keeps new work away. */
    boolean isChanging() {
        return current != null && current.order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE;
    }

    /** Whether operators withdrew the upstream. */
    boolean isDraining() {
        return draining;
    }

    void onOrder(long now, Address control, OrderSent sent, Outbox out) {
        Order order = sent.getOrder();
        if (order.getIncarnation() != incarnation) {
            report(out, control, sent.getGroup(), order.getNumber(), false, Cause.WRONG_INCARNATION);
            return;
        }
        if (order.getNumber() < fence) {
            report(out, control, sent.getGroup(), order.getNumber(), false, Cause.STALE_ORDER);
            return;
        }
        if (order.getNumber() == fence) {
            repeatReport(out, control);
            return;
        }
        if (current != null && current.phase != OrderRow.Phase.DRAINING) {
            return;
        }
        fence = order.getNumber();
        long startBefore = now + Math.min(LONGEST_START, Durations.nanos(sent.getStartWithinMs()));
        long patience = Math.min(DRAIN_PATIENCE, (startBefore - now) / 2);
        current = new OrderRow(order, control, sent.getGroup(), startBefore, now + patience);
    }

    private void repeatReport(Outbox out, Address control) {
        if (lastReport != null && lastReport.getNumber() == fence) {
            out.send(control, Envelope.newBuilder().setOrderReport(lastReport));
        }
    }

    void onState(UpstreamState state, LoadReport load, Outbox out) {
        if (!state.getReachable() || state.getChanging()) {
            return;
        }
        rested = true;
        if (current != null && current.phase == OrderRow.Phase.READING_BACK) {
            boolean applied = isInForce(current.order.getBody(), load);
            finish(out, applied, applied ? Cause.CAUSE_NONE : Cause.UPSTREAM_ERROR);
        }
    }

    void onApplied(OrderApplied applied, Outbox out) {
        if (current == null || applied.getNumber() != current.order.getNumber()) {
            return;
        }
        if (applied.getAccepted()) {
            current.phase = OrderRow.Phase.READING_BACK;
            return;
        }
        if (applied.getCause() == Cause.ORDER_EXPIRED || applied.getCause() == Cause.STALE_ORDER) {
            finish(out, false, applied.getCause());
            return;
        }
        current.phase = OrderRow.Phase.READING_BACK;
    }

    /** Advances the current order. Returns whether the attempts still running should be moved elsewhere. */
    boolean tick(long now, int running, Outbox out) {
        lastTick = now;
        if (needsRead() && now >= nextRead) {
            out.send(Address.UPSTREAM, Envelope.newBuilder().setReadUpstream(ReadUpstream.getDefaultInstance()));
            nextRead = now + READ_AGAIN;
        }
        if (current == null || current.phase != OrderRow.Phase.DRAINING) {
            return false;
        }
        if (now >= current.startBefore) {
            finish(out, false, Cause.ORDER_EXPIRED);
            return false;
        }
        if (current.order.getBody().getKindCase() == OrderBody.KindCase.DRAIN) {
            draining = current.order.getBody().getDrain();
            finish(out, true, Cause.CAUSE_NONE);
            return false;
        }
        if (!rested || now - startedAt < WAIT_OUT) {
            return false;
        }
        boolean waitsForWork = isChanging() && running > 0;
        if (!waitsForWork) {
            apply(running, out);
            return false;
        }
        return now >= current.drainUntil;
    }

    long nextDue() {
        long due = needsRead() ? nextRead : Core.NEVER;
        if (current != null && current.phase == OrderRow.Phase.DRAINING) {
            due = Math.min(due, current.startBefore);
            due = Math.min(due, ifAhead(current.drainUntil));
            due = Math.min(due, ifAhead(startedAt + WAIT_OUT));
        }
        return due;
    }

    /** A time that has passed wakes nobody: what it was waited for is seen at the next tick that has another cause. */
    private long ifAhead(long time) {
        return time > lastTick ? time : Core.NEVER;
    }

    private void apply(int running, Outbox out) {
        invariants.check(
                !isChanging() || running == 0,
                "no-request-cut-by-a-role-change",
                () -> "order " + current.order.getNumber() + " starts over " + running + " attempts");
        current.phase = OrderRow.Phase.APPLYING;
        out.send(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setApplyOrder(
                                ApplyOrder.newBuilder().setOrder(current.order).setNotAfterNanos(current.startBefore)));
    }

    private boolean needsRead() {
        return !rested || current != null && current.phase == OrderRow.Phase.READING_BACK;
    }

    private void finish(Outbox out, boolean applied, Cause cause) {
        OrderRow done = current;
        current = null;
        report(out, done.control, done.group, done.order.getNumber(), applied, cause);
    }

    private void report(Outbox out, Address control, String group, long number, boolean applied, Cause cause) {
        OrderReport report = OrderReport.newBuilder()
                .setEngine(settings.vm())
                .setNumber(number)
                .setApplied(applied)
                .setCause(cause)
                .setGroup(group)
                .build();
        if (number == fence) {
            lastReport = report;
        }
        out.send(control, Envelope.newBuilder().setOrderReport(report));
    }

    private static boolean isInForce(OrderBody body, LoadReport load) {
        return switch (body.getKindCase()) {
            case CHANGE_ROLE -> load.getRole() == body.getChangeRole();
            case LOAD_MODEL -> load.getModelsList().contains(body.getLoadModel());
            case LOAD_ADAPTER -> load.getAdaptersList().contains(body.getLoadAdapter());
            case UNLOAD_ADAPTER -> !load.getAdaptersList().contains(body.getUnloadAdapter());
            case DRAIN, KIND_NOT_SET -> true;
        };
    }
}
