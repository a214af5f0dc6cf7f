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
final class OrderExecutor {

    /** An order is written within this time of its arrival or not at all. */
    static final long LONGEST_START = Durations.nanos(40_000);

    /** Silence kept after a start: a write of a dead predecessor is at most a socket buffer away. */
    static final long WAIT_OUT = Durations.nanos(2_500);

    private static final long NO_TOKEN = Long.MAX_VALUE;
    private static final long READ_AGAIN = Durations.nanos(200);
    private static final long DRAIN_PATIENCE = Durations.nanos(1_500);

    private final SidecarSettings settings;
    private final long incarnation;
    private final long startedAt;
    private final Invariants invariants;
    private OrderInProgress current;
    private OrderReport lastReport;
    private long fence;
    private long nextToken = 1;
    private long firstValidToken = NO_TOKEN;
    private boolean rested;
    private boolean settled;
    private long nextRead;
    private boolean draining;
    private long lastTick;

    OrderExecutor(SidecarSettings settings, long incarnation, long startedAt, Invariants invariants) {
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

    /**
     * Whether no order of a predecessor can reach the upstream any more. Failure this guards against: a sidecar dies
     * right after it wrote a role change; its successor starts streams, and the change lands and cuts them.
     */
    boolean isSettled() {
        return settled;
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
        if (current != null && current.phase != OrderInProgress.Phase.DRAINING) {
            return;
        }
        fence = order.getNumber();
        long startBefore = now + Math.min(LONGEST_START, Durations.nanos(sent.getStartWithinMs()));
        askAnew(now);
        long patience = Math.min(DRAIN_PATIENCE, (startBefore - now) / 2);
        current = new OrderInProgress(order, control, sent.getGroup(), startBefore, now + patience);
    }

    /** From here on only answers to new questions count. */
    private void askAnew(long now) {
        rested = false;
        nextRead = now;
        if (firstValidToken != NO_TOKEN) {
            firstValidToken = nextToken;
        }
    }

    private void repeatReport(Outbox out, Address control) {
        if (lastReport != null && lastReport.getNumber() == fence) {
            out.send(control, Envelope.newBuilder().setOrderReport(lastReport));
        }
    }

    /**
     * Takes the upstream's own word. Only the answer to a question asked after the wait, or after the present step
     * began, counts: a write of a predecessor may land after an earlier reading found the upstream at rest, and a
     * reading may lie in a buffer while this process is paused.
     */
    void onState(long now, UpstreamState state, LoadReport load, Outbox out) {
        if (!state.getReachable() || state.getChanging()) {
            rested = false;
            return;
        }
        if (state.getToken() < firstValidToken) {
            return;
        }
        rested = true;
        settled = true;
        if (current != null && current.phase == OrderInProgress.Phase.READING_BACK) {
            boolean applied = isInForce(current.order.getBody(), load);
            finish(out, applied, applied ? Cause.CAUSE_NONE : Cause.UPSTREAM_ERROR);
        }
    }

    void onApplied(long now, OrderApplied applied, Outbox out) {
        if (current == null || applied.getNumber() != current.order.getNumber()) {
            return;
        }
        boolean never = applied.getCause() == Cause.ORDER_EXPIRED || applied.getCause() == Cause.STALE_ORDER;
        if (!applied.getAccepted() && never) {
            finish(out, false, applied.getCause());
            return;
        }
        current.phase = OrderInProgress.Phase.READING_BACK;
        askAnew(now);
    }

    /** Advances the current order. Returns whether the attempts still running should be moved elsewhere. */
    boolean tick(long now, int running, Outbox out) {
        lastTick = now;
        if (firstValidToken == NO_TOKEN && now - startedAt >= WAIT_OUT) {
            firstValidToken = nextToken;
            nextRead = now;
        }
        if (needsRead() && now >= nextRead) {
            ReadUpstream read = ReadUpstream.newBuilder().setToken(nextToken++).build();
            out.send(Address.UPSTREAM, Envelope.newBuilder().setReadUpstream(read));
            nextRead = now + READ_AGAIN;
        }
        if (current == null || current.phase != OrderInProgress.Phase.DRAINING) {
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
        if (!rested) {
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
        if (current != null && current.phase == OrderInProgress.Phase.DRAINING) {
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
        current.phase = OrderInProgress.Phase.APPLYING;
        out.send(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setApplyOrder(
                                ApplyOrder.newBuilder().setOrder(current.order).setNotAfterNanos(current.startBefore)));
    }

    private boolean needsRead() {
        return !rested || current != null && current.phase == OrderInProgress.Phase.READING_BACK;
    }

    private void finish(Outbox out, boolean applied, Cause cause) {
        OrderInProgress done = current;
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
