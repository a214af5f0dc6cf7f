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
 * Carries out orders on the upstream, one at a time, and refuses outdated ones. Times are in nanoseconds.
 *
 * <p>Guards against these failures:
 * <ul>
 *   <li>An order of a control process that is no longer the leader arrives late. Its fencing number is below the
 *       highest one seen, or it names an earlier incarnation of this sidecar, and it is refused, even if the upstream
 *       doesn't check fencing numbers.</li>
 *   <li>The sidecar restarts and loses the highest fencing number. Orders name the incarnation that they are for, and
 *       the control group issues none to this incarnation before it has closed those of the earlier one.</li>
 *   <li>A write of the earlier incarnation is still in transit to the upstream. No order is carried out before
 *       {@link #STARTUP_QUIET_NANOS} have passed and a read has then shown the upstream to be idle; an order is written
 *       within {@link #MAX_START_DELAY_NANOS} of its arrival or never.</li>
 *   <li>The upstream crashes during a change. The outcome is read back from the upstream, never assumed.</li>
 * </ul>
 */
final class OrderExecutor {

    /** An order that hasn't been written to the upstream within this time of its arrival expires. */
    static final long MAX_START_DELAY_NANOS = Durations.nanos(40_000);

    /**
     * Time after the start in which no order is carried out: a write of an earlier sidecar process can at most still be
     * in a socket buffer.
     */
    static final long STARTUP_QUIET_NANOS = Durations.nanos(2_500);

    private static final long NO_TOKEN = Long.MAX_VALUE;
    private static final long READ_RETRY_NANOS = Durations.nanos(200);
    private static final long MAX_DRAIN_NANOS = Durations.nanos(1_500);

    private final SidecarSettings settings;
    private final long incarnation;
    private final long startedAt;
    private final Invariants invariants;
    /** The order being carried out, or null. */
    private OrderInProgress current;

    private OrderReport lastReport;
    /** The highest fencing number of an accepted order. */
    private long highestFencingNumber;

    private long nextToken = 1;
    /**
     * Upstream states that answer a read with a lower token are ignored; {@link #NO_TOKEN} before the quiet time ends.
     */
    private long firstValidToken = NO_TOKEN;
    /** Whether the newest valid state showed the upstream to be idle. */
    private boolean isIdle;

    /** See {@link #isSettled()}. */
    private boolean hasSettled;

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

    long highestFencingNumber() {
        return highestFencingNumber;
    }

    /** Whether a role change is in progress, during which the upstream takes no new work. */
    boolean isRoleChangePending() {
        return current != null && current.order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE;
    }

    /**
     * Whether no order of an earlier sidecar process can reach the upstream any more. Guards against streams cut by a
     * role change that an earlier process wrote right before it died, and that arrives after this process started
     * streams.
     */
    boolean isSettled() {
        return hasSettled;
    }

    /** Whether an operator has drained the upstream. */
    boolean isDraining() {
        return draining;
    }

    void onOrder(long now, Address control, OrderSent sent, Outbox out) {
        Order order = sent.getOrder();
        if (order.getIncarnation() != incarnation) {
            report(out, control, sent.getGroup(), order.getNumber(), false, Cause.WRONG_INCARNATION);
            return;
        }
        if (order.getNumber() < highestFencingNumber) {
            report(out, control, sent.getGroup(), order.getNumber(), false, Cause.STALE_ORDER);
            return;
        }
        if (order.getNumber() == highestFencingNumber) {
            repeatReport(out, control);
            return;
        }
        if (current != null && current.phase != OrderInProgress.Phase.DRAINING) {
            return;
        }
        highestFencingNumber = order.getNumber();
        long startBefore = now + Math.min(MAX_START_DELAY_NANOS, Durations.nanos(sent.getStartWithinMs()));
        restartReads(now);
        long drainTime = Math.min(MAX_DRAIN_NANOS, (startBefore - now) / 2);
        current = new OrderInProgress(order, control, sent.getGroup(), startBefore, now + drainTime);
    }

    /** Ignores the answers to earlier reads, and reads the upstream again. */
    private void restartReads(long now) {
        isIdle = false;
        nextRead = now;
        if (firstValidToken != NO_TOKEN) {
            firstValidToken = nextToken;
        }
    }

    private void repeatReport(Outbox out, Address control) {
        if (lastReport != null && lastReport.getNumber() == highestFencingNumber) {
            out.send(control, Envelope.newBuilder().setOrderReport(lastReport));
        }
    }

    /**
     * Processes the state of the upstream. Only the answer to a read that was sent after the quiet time, and after the
     * current phase of the order began, is valid: a write of an earlier process may arrive after an earlier read has
     * found the upstream idle, and an answer may stay in a buffer while this process is paused.
     */
    void onState(long now, UpstreamState state, LoadReport load, Outbox out) {
        if (!state.getReachable() || state.getChanging()) {
            isIdle = false;
            return;
        }
        if (state.getToken() < firstValidToken) {
            return;
        }
        isIdle = true;
        hasSettled = true;
        if (current != null && current.phase == OrderInProgress.Phase.READING_BACK) {
            boolean applied = isApplied(current.order.getBody(), load);
            finish(out, applied, applied ? Cause.CAUSE_NONE : Cause.UPSTREAM_ERROR);
        }
    }

    void onApplied(long now, OrderApplied applied, Outbox out) {
        if (current == null || applied.getNumber() != current.order.getNumber()) {
            return;
        }
        boolean wasNotWritten = applied.getCause() == Cause.ORDER_EXPIRED || applied.getCause() == Cause.STALE_ORDER;
        if (!applied.getAccepted() && wasNotWritten) {
            finish(out, false, applied.getCause());
            return;
        }
        current.phase = OrderInProgress.Phase.READING_BACK;
        restartReads(now);
    }

    /** Advances the current order. Returns whether the attempts still running are to be moved to another engine. */
    boolean tick(long now, int runningAttempts, Outbox out) {
        lastTick = now;
        if (firstValidToken == NO_TOKEN && now - startedAt >= STARTUP_QUIET_NANOS) {
            firstValidToken = nextToken;
            nextRead = now;
        }
        if (needsRead() && now >= nextRead) {
            ReadUpstream read = ReadUpstream.newBuilder().setToken(nextToken++).build();
            out.send(Address.UPSTREAM, Envelope.newBuilder().setReadUpstream(read));
            nextRead = now + READ_RETRY_NANOS;
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
        if (!isIdle) {
            return false;
        }
        boolean waitsForAttempts = isRoleChangePending() && runningAttempts > 0;
        if (!waitsForAttempts) {
            apply(runningAttempts, out);
            return false;
        }
        return now >= current.drainUntil;
    }

    long nextDue() {
        long due = needsRead() ? nextRead : Core.NEVER;
        if (current != null && current.phase == OrderInProgress.Phase.DRAINING) {
            due = Math.min(due, current.startBefore);
            due = Math.min(due, ifInFuture(current.drainUntil));
            due = Math.min(due, ifInFuture(startedAt + STARTUP_QUIET_NANOS));
        }
        return due;
    }

    /**
     * Returns a time in the future unchanged, and otherwise {@link Core#NEVER}: a tick has already run since then, and
     * a due time in the past would make the process spin.
     */
    private long ifInFuture(long time) {
        return time > lastTick ? time : Core.NEVER;
    }

    private void apply(int runningAttempts, Outbox out) {
        invariants.check(
                !isRoleChangePending() || runningAttempts == 0,
                "no-request-cut-by-a-role-change",
                () -> "order " + current.order.getNumber() + " starts during " + runningAttempts + " attempts");
        current.phase = OrderInProgress.Phase.APPLYING;
        out.send(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setApplyOrder(
                                ApplyOrder.newBuilder().setOrder(current.order).setNotAfterNanos(current.startBefore)));
    }

    private boolean needsRead() {
        return !isIdle || current != null && current.phase == OrderInProgress.Phase.READING_BACK;
    }

    private void finish(Outbox out, boolean applied, Cause cause) {
        OrderInProgress finished = current;
        current = null;
        report(out, finished.control, finished.group, finished.order.getNumber(), applied, cause);
    }

    private void report(Outbox out, Address control, String group, long number, boolean applied, Cause cause) {
        OrderReport report = OrderReport.newBuilder()
                .setEngine(settings.vm())
                .setNumber(number)
                .setApplied(applied)
                .setCause(cause)
                .setGroup(group)
                .build();
        if (number == highestFencingNumber) {
            lastReport = report;
        }
        out.send(control, Envelope.newBuilder().setOrderReport(report));
    }

    /** Whether the upstream's state shows the result of an order. */
    private static boolean isApplied(OrderBody body, LoadReport load) {
        return switch (body.getKindCase()) {
            case CHANGE_ROLE -> load.getRole() == body.getChangeRole();
            case LOAD_MODEL -> load.getModelsList().contains(body.getLoadModel());
            case LOAD_ADAPTER -> load.getAdaptersList().contains(body.getLoadAdapter());
            case UNLOAD_ADAPTER -> !load.getAdaptersList().contains(body.getUnloadAdapter());
            case DRAIN, KIND_NOT_SET -> true;
        };
    }
}
