package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/**
 * Calls that cannot be sent now but probably soon, ordered by the time at which they must be sent.
 *
 * <p>Smooths clustered arrivals, during which more prompts or streams arrive within a tenth of a second than engines
 * accept. Engines prefill admitted prompts in order of arrival, so a prompt queued there cannot be overtaken by a more
 * urgent one. Here the call that must start soonest is first, and calls that can no longer be in time are last. A slot
 * is released every few milliseconds, so that a short wait avoids most refusals of such a cluster.
 */
final class AdmissionQueue {

    /**
     * Interval between attempts to send queued calls: about as often as a slot is released in the smallest deployment.
     */
    private static final long RETRY_INTERVAL_NANOS = Durations.nanos(10);
    /**
     * Share of its latency target for which a call waits for capacity: a refusal within that time costs its caller no
     * more than an immediate one. A longer wait delays refusals and answers: with 300 ms, a fifth of the prompts of
     * heavy days were late that were in time with 100.
     */
    private static final double MAX_WAIT_TARGET_SHARE = 0.125;
    /** Milliseconds reserved for the usual error of latency estimates. */
    private static final double SAFETY_MARGIN_MILLIS = 30;
    /**
     * Longest wait of a call for upstreams that a restarted entry has not discovered yet. Each upstream announces
     * itself every 1.2 s; callers cancel a silent stream after 2 s.
     */
    private static final long MAX_DISCOVERY_WAIT_NANOS = Durations.nanos(1_500);
    /** Share of a call's time after which it is refused instead, so that its caller has time to retry. */
    private static final double MAX_DISCOVERY_WAIT_SHARE = 0.5;

    /**
     * A queued call.
     *
     * @param call          the call
     * @param latestStartAt when it must be sent to be in time, in nanoseconds
     * @param expiresAt     when its maximum wait ends, in nanoseconds
     */
    private record QueuedCall(DirectCall call, long latestStartAt, long expiresAt) {}

    private final Map<Long, QueuedCall> calls = new HashMap<>();
    private long nextRetryAt = Core.NEVER;

    /**
     * Queues a call until an engine has capacity for it, if it can still be in time.
     *
     * @param now       the time in nanoseconds
     * @param call      the call
     * @param ownMillis milliseconds from its sending to its first event
     * @return whether it is queued
     */
    boolean addForCapacity(long now, DirectCall call, double ownMillis) {
        double slackMillis = call.route.targetLatencyMillis() - ownMillis;
        double maxWaitMillis = Math.clamp(
                slackMillis - SAFETY_MARGIN_MILLIS, 0, MAX_WAIT_TARGET_SHARE * call.route.targetLatencyMillis());
        return add(now, call, slackMillis, Durations.nanos((long) maxWaitMillis));
    }

    /**
     * Queues a call until an upstream that requested a backoff or limits its rate accepts requests again, if that is
     * within the maximum wait of the call. A call whose prompt was prefilled waits longer, as its KV cache would be
     * lost.
     *
     * @param now        the time in nanoseconds
     * @param call       the call
     * @param nextSendAt when an upstream accepts a request again, in nanoseconds
     * @return whether it is queued
     */
    boolean addUntil(long now, DirectCall call, long nextSendAt) {
        double share = call.kvCache.isPresent() ? 1 : MAX_WAIT_TARGET_SHARE;
        long maxWaitNanos = Durations.nanos((long) (share * call.route.targetLatencyMillis()));
        boolean inTime = nextSendAt < call.arrivedAtNanos + maxWaitNanos;
        return inTime && add(now, call, call.route.targetLatencyMillis(), maxWaitNanos);
    }

    /**
     * Queues a call until upstreams are discovered.
     *
     * @param now  the time in nanoseconds
     * @param call the call
     * @return whether it is queued
     */
    boolean addForDiscovery(long now, DirectCall call) {
        return add(
                now,
                call,
                call.route.targetLatencyMillis(),
                maxDiscoveryWaitNanos(call.deadlineNanos - call.arrivedAtNanos));
    }

    /** Returns how long a call waits for discovery at most, given its total time; both in nanoseconds. */
    static long maxDiscoveryWaitNanos(long totalNanos) {
        return Math.min(MAX_DISCOVERY_WAIT_NANOS, (long) (MAX_DISCOVERY_WAIT_SHARE * totalNanos));
    }

    private boolean add(long now, DirectCall call, double slackMillis, long maxWaitNanos) {
        long expiresAt = Math.min(call.deadlineNanos, call.arrivedAtNanos + maxWaitNanos);
        if (now >= expiresAt) {
            calls.remove(call.number);
            return false;
        }
        long latestStartAt = call.arrivedAtNanos + Durations.nanos((long) slackMillis);
        calls.put(call.number, new QueuedCall(call, latestStartAt, expiresAt));
        nextRetryAt = Math.min(nextRetryAt, now + RETRY_INTERVAL_NANOS);
        return true;
    }

    void remove(DirectCall call) {
        calls.remove(call.number);
    }

    long nextDue() {
        return calls.isEmpty() ? Core.NEVER : nextRetryAt;
    }

    /**
     * Returns the calls to try now, those that must start soonest first; calls that can no longer be in time are last.
     */
    List<DirectCall> due(long now) {
        if (now < nextDue()) {
            return List.of();
        }
        nextRetryAt = now + RETRY_INTERVAL_NANOS;
        List<QueuedCall> ordered = new ArrayList<>(calls.values());
        ordered.sort(Comparator.comparing((QueuedCall queued) -> queued.latestStartAt < now)
                .thenComparingLong(QueuedCall::latestStartAt)
                .thenComparingLong(queued -> queued.call.number));
        return ordered.stream().map(QueuedCall::call).toList();
    }

    /** Returns whether the maximum wait of a call has ended, so that it must be sent or refused now. */
    boolean isExpired(long now, DirectCall call) {
        QueuedCall queued = calls.get(call.number);
        return queued == null || now >= queued.expiresAt;
    }
}
