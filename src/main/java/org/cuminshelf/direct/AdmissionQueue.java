package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.shares.Standing;

/**
 * Calls that cannot be sent now but probably soon, ordered by priority and by the time at which they must be sent.
 *
 * <p>Smooths clustered arrivals, during which more prompts or streams arrive within a tenth of a second than engines
 * accept. Engines prefill prompts of one priority in order of arrival, so a prompt queued there cannot be overtaken by
 * one that must start sooner. Here calls of kinds and organisations that have got less than their share are first, then
 * the most urgent ones. Of equal priority the call that must start soonest is first, and calls that can no longer be in
 * time are last. A slot is released every few milliseconds, so that a short wait avoids most refusals of a cluster.
 *
 * <p>Calls whose attempt has failed and whose refusal would lose work, and begun streams, come before all others, and
 * wait as long as their callers do.
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
    /** Time before its deadline at which a call is not sent any more. */
    private static final long MIN_REMAINING_NANOS = Durations.nanos(60);
    /**
     * Failed placements of first attempts for a service after which a pass over the queue stops: its remaining calls
     * would find no capacity either.
     */
    private static final int MAX_FAILED_FIRST_ATTEMPTS = 3;
    /** The same for retries. More of them are tried, as each has excluded other upstreams. */
    private static final int MAX_FAILED_RETRIES = 16;

    /**
     * A queued call.
     *
     * @param call          the call
     * @param latestStartAt when it must be sent to be in time, in nanoseconds
     * @param expiresAt     when its maximum wait ends, in nanoseconds
     * @param queuedAt      when it was queued, in nanoseconds
     */
    private record QueuedCall(DirectCall call, long latestStartAt, long expiresAt, long queuedAt) {

        private boolean isRetry() {
            return call.lastAttempt != null;
        }

        /** Whether a refusal may lose work, so that it comes before new calls. */
        private boolean isFirst() {
            return isRetry() || call.isBegun();
        }

        private boolean isOwed() {
            return call.standing() instanceof Standing.Owed;
        }

        private Group group() {
            return new Group(call.service, isRetry(), call.origin.map(StreamOrigin::version));
        }
    }

    /**
     * Calls that compete for the same capacity.
     *
     * @param service their service
     * @param retries whether they were sent before
     * @param version the only software version that may continue them, if they are begun streams
     */
    private record Group(String service, boolean retries, Optional<String> version) {

        private int maxFailures() {
            return retries ? MAX_FAILED_RETRIES : MAX_FAILED_FIRST_ATTEMPTS;
        }
    }

    private final BegunStreamWaits begunWaits;
    private final Map<Long, QueuedCall> calls = new HashMap<>();
    private long nextRetryAt = Core.NEVER;

    AdmissionQueue(BegunStreamWaits begunWaits) {
        this.begunWaits = begunWaits;
    }

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
     * within the maximum wait of the call.
     *
     * @param now        the time in nanoseconds
     * @param call       the call
     * @param nextSendAt when an upstream accepts a request again, in nanoseconds
     * @return whether it is queued
     */
    boolean addUntil(long now, DirectCall call, long nextSendAt) {
        long maxWaitNanos = Durations.nanos((long) (MAX_WAIT_TARGET_SHARE * call.route.targetLatencyMillis()));
        boolean inTime = nextSendAt < call.arrivedAtNanos + maxWaitNanos;
        return inTime && add(now, call, call.route.targetLatencyMillis(), maxWaitNanos);
    }

    /**
     * Queues a call whose attempt has failed, or a begun stream, until an upstream accepts it, if its caller waits that
     * long.
     *
     * @param now        the time in nanoseconds
     * @param call       the call
     * @param nextOpenAt when an upstream may accept it, in nanoseconds; empty if none will
     * @return whether it is queued
     */
    boolean addForRetry(long now, DirectCall call, OptionalLong nextOpenAt) {
        long expiresAt = Math.min(call.deadlineNanos - MIN_REMAINING_NANOS, maxRetryWaitEnd(call));
        boolean inTime = nextOpenAt.isPresent() && nextOpenAt.getAsLong() < expiresAt;
        return inTime && put(now, call, expiresAt, expiresAt);
    }

    /**
     * Returns when a call must be sent again at the latest, in nanoseconds: an event has to reach the caller before it
     * disconnects. A prompt that was only prefilled waits for its latency target, as another prefill costs no more.
     */
    private static long maxRetryWaitEnd(DirectCall call) {
        if (!call.isStream()) {
            return call.arrivedAtNanos + maxDiscoveryWaitNanos(call.deadlineNanos - call.arrivedAtNanos);
        }
        if (!call.isBegun() && !call.responseStarted && !call.mayHaveRun) {
            return call.arrivedAtNanos + Durations.nanos(call.route.targetLatencyMillis());
        }
        return CallerTimeouts.latestSendAt(call);
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

    /**
     * Queues a plain call until an upstream has a free slot.
     *
     * @param now         the time in nanoseconds
     * @param call        the call
     * @param discovering whether upstreams may not be discovered yet, so that it waits as long as for discovery
     * @return whether it is queued
     */
    boolean addForSlot(long now, DirectCall call, boolean discovering) {
        long targetNanos = Durations.nanos(call.route.targetLatencyMillis());
        long maxWaitNanos = discovering
                ? maxDiscoveryWaitNanos(call.deadlineNanos - call.arrivedAtNanos)
                : (long) (MAX_WAIT_TARGET_SHARE * targetNanos);
        long expiresAt = Math.min(latestSendAt(call), call.arrivedAtNanos + maxWaitNanos);
        return put(now, call, call.arrivedAtNanos + targetNanos, expiresAt);
    }

    /** Returns when a queued call is sent at the latest, in nanoseconds. */
    static long latestSendAt(DirectCall call) {
        return call.deadlineNanos - MIN_REMAINING_NANOS;
    }

    /** Returns how long a call waits for discovery at most, given its total time; both in nanoseconds. */
    static long maxDiscoveryWaitNanos(long totalNanos) {
        return Math.min(MAX_DISCOVERY_WAIT_NANOS, (long) (MAX_DISCOVERY_WAIT_SHARE * totalNanos));
    }

    private boolean add(long now, DirectCall call, double slackMillis, long maxWaitNanos) {
        long latestStartAt = call.arrivedAtNanos + Durations.nanos((long) slackMillis);
        return put(now, call, latestStartAt, Math.min(call.deadlineNanos, call.arrivedAtNanos + maxWaitNanos));
    }

    private boolean put(long now, DirectCall call, long latestStartAt, long expiresAt) {
        QueuedCall previous = calls.remove(call.number);
        if (now >= expiresAt) {
            noteRemoved(previous);
            return false;
        }
        if (previous == null) {
            begunWaits.onWaitBegan(call);
        }
        long queuedAt = previous == null ? now : previous.queuedAt;
        calls.put(call.number, new QueuedCall(call, latestStartAt, expiresAt, queuedAt));
        nextRetryAt = Math.min(nextRetryAt, now + RETRY_INTERVAL_NANOS);
        return true;
    }

    void remove(DirectCall call) {
        noteRemoved(calls.remove(call.number));
    }

    private void noteRemoved(QueuedCall queued) {
        if (queued != null) {
            begunWaits.onWaitEnded(queued.call);
        }
    }

    /** Returns for how long a call has been in the queue, in nanoseconds; 0 if it is not. */
    long waitedNanos(long now, DirectCall call) {
        QueuedCall queued = calls.get(call.number);
        return queued == null ? 0 : now - queued.queuedAt;
    }

    long nextDue() {
        return calls.isEmpty() ? Core.NEVER : nextRetryAt;
    }

    /**
     * Tries to place the queued calls in order, until too many of a service fail; calls whose maximum wait has ended
     * are always tried.
     *
     * @param now       the time in nanoseconds
     * @param placement sends, refuses or queues a call again, and returns whether it was sent
     */
    void placeDue(long now, Predicate<DirectCall> placement) {
        if (now < nextDue()) {
            return;
        }
        nextRetryAt = now + RETRY_INTERVAL_NANOS;
        Map<Group, Integer> failures = new HashMap<>();
        for (QueuedCall queued : inOrder(now)) {
            Group group = queued.group();
            boolean mayFit = failures.getOrDefault(group, 0) < group.maxFailures();
            if (isWaiting(queued) && (mayFit || now >= queued.expiresAt) && !placement.test(queued.call)) {
                failures.merge(group, 1, Integer::sum);
            }
        }
    }

    /**
     * Returns the queued calls: retries and begun streams first, then those whose group is owed, then by priority. Of
     * equal priority, those that must start soonest are first, and calls that can no longer be in time are last.
     */
    private List<QueuedCall> inOrder(long now) {
        List<QueuedCall> ordered = new ArrayList<>(calls.values());
        ordered.sort(Comparator.comparing((QueuedCall queued) -> !queued.isFirst())
                .thenComparing(queued -> !queued.isOwed())
                .thenComparingInt(queued -> queued.call.priority())
                .thenComparing(queued -> queued.latestStartAt < now)
                .thenComparingLong(QueuedCall::latestStartAt)
                .thenComparingLong(queued -> queued.call.number));
        return ordered;
    }

    /** Returns whether a call is still queued as it was when the pass over the queue began. */
    private boolean isWaiting(QueuedCall queued) {
        return calls.get(queued.call.number) == queued;
    }
}
