package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/**
 * Calls that can't be placed now but probably soon, in the order in which they are tried again.
 *
 * <p>Answers the load pattern of arrivals in clumps: for a tenth of a second there are more prompts, or streams, than
 * engines take. Engines read admitted prompts in the order of their arrival, so whatever waits there can't be overtaken
 * by what has less time; here the call that must start soonest goes first, and what can't be on time any more goes
 * last. A place for a stream comes free each few milliseconds, so that a short wait saves most refusals of a clump.
 */
final class AdmissionQueue {

    /** How often they are tried again: a place comes free about as often on the smallest deployment. */
    private static final long TRY_EVERY = Durations.nanos(10);
    /**
     * Part of its target for which a call waits here for its turn: a refusal that comes within it leaves its caller as
     * well off as one at once. A longer wait makes refusals late, and answers: with 300 ms a fifth of the prompts of
     * heavy days came late that were in time with 100.
     */
    private static final double PATIENCE_SHARE = 0.125;
    /** Milliseconds kept for what estimates miss: their usual error. */
    private static final double MARGIN_MILLIS = 30;
    /**
     * Longest time for which a call waits for upstreams that a restarted entry has not heard of yet. Each announces
     * itself every 1.2 s; callers leave a silent stream after 2 s.
     */
    private static final long UPSTREAM_PATIENCE = Durations.nanos(1_500);
    /** Part of a call's time after which it is refused instead, so that its caller can still come back. */
    private static final double MOST_OF_ITS_TIME = 0.5;

    private record Waiting(DirectCall call, long latestStart, long until) {}

    private final Map<Long, Waiting> calls = new HashMap<>();
    private long nextTry = Core.NEVER;

    /**
     * Lets a call wait for its turn, if it can still be on time.
     *
     * @param now       the time in nanoseconds
     * @param call      the call
     * @param ownMillis milliseconds that it takes to its first event once it is placed
     * @return whether it waits now
     */
    boolean addForTurn(long now, DirectCall call, double ownMillis) {
        double slack = call.route.targetLatencyMillis() - ownMillis;
        double patience = Math.clamp(slack - MARGIN_MILLIS, 0, PATIENCE_SHARE * call.route.targetLatencyMillis());
        return add(now, call, slack, Durations.nanos((long) patience));
    }

    /**
     * Lets a call wait until an upstream takes it that asked to wait, if that is before its patience ends. A call whose
     * prompt was read has more of it: what was read would be lost.
     *
     * @param now    the time in nanoseconds
     * @param call   the call
     * @param nextAt when an upstream may be sent a request again, in nanoseconds
     * @return whether it waits now
     */
    boolean addUntil(long now, DirectCall call, long nextAt) {
        double share = call.kvCache.isPresent() ? 1 : PATIENCE_SHARE;
        long patience = Durations.nanos((long) (share * call.route.targetLatencyMillis()));
        boolean inTime = nextAt < call.arrivedAtNanos + patience;
        return inTime && add(now, call, call.route.targetLatencyMillis(), patience);
    }

    /**
     * Lets a call wait for upstreams that are yet to be heard of.
     *
     * @param now  the time in nanoseconds
     * @param call the call
     * @return whether it waits now
     */
    boolean addForUpstreams(long now, DirectCall call) {
        return add(
                now,
                call,
                call.route.targetLatencyMillis(),
                maxDiscoveryWaitNanos(call.deadlineNanos - call.arrivedAtNanos));
    }

    /** How long a call of so much time, in nanoseconds, waits for what a restarted entry has not heard yet. */
    static long maxDiscoveryWaitNanos(long time) {
        return Math.min(UPSTREAM_PATIENCE, (long) (MOST_OF_ITS_TIME * time));
    }

    private boolean add(long now, DirectCall call, double slackMillis, long patience) {
        long until = Math.min(call.deadlineNanos, call.arrivedAtNanos + patience);
        if (now >= until) {
            calls.remove(call.number);
            return false;
        }
        long latestStart = call.arrivedAtNanos + Durations.nanos((long) slackMillis);
        calls.put(call.number, new Waiting(call, latestStart, until));
        nextTry = Math.min(nextTry, now + TRY_EVERY);
        return true;
    }

    void remove(DirectCall call) {
        calls.remove(call.number);
    }

    long nextDue() {
        return calls.isEmpty() ? Core.NEVER : nextTry;
    }

    /** The calls to try now, those that must start soonest first; what can't be on time any more comes last. */
    List<DirectCall> due(long now) {
        if (now < nextDue()) {
            return List.of();
        }
        nextTry = now + TRY_EVERY;
        List<Waiting> ordered = new ArrayList<>(calls.values());
        ordered.sort(Comparator.comparing((Waiting waiting) -> waiting.latestStart < now)
                .thenComparingLong(Waiting::latestStart)
                .thenComparingLong(waiting -> waiting.call.number));
        return ordered.stream().map(Waiting::call).toList();
    }

    /** Whether a call's patience is over, so that it is to be decided now. */
    boolean isExpired(long now, DirectCall call) {
        Waiting waiting = calls.get(call.number);
        return waiting == null || now >= waiting.until;
    }
}
