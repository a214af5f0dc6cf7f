package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Cause;
import org.cuminshelf.returns.ReturnSchedule;
import org.cuminshelf.verdict.Verdict;

/** Tells callers whose calls are refused for lack of capacity when to retry, by the schedule of the call's service. */
final class CallReturns {

    /** Time ahead beyond which nothing is known of the capacity: bursts end and engines come back within it. */
    private static final long MAX_RETRY_AFTER_MILLIS = 2_000;
    /** Part of its remaining time up to which a caller waits before it retries: a third. */
    private static final long REMAINING_TIME_DIVISOR = 3;

    /** By service. */
    private final Map<String, ReturnSchedule> schedules = new HashMap<>();

    private long scheduledReturns;

    /** Records that a call is about to be sent to an upstream; further attempts of it do not count. */
    void onSent(long now, DirectCall call) {
        if (call.lastAttempt == null) {
            scheduleOf(now, call.service).onSent(now);
        }
    }

    /**
     * Returns the verdict on a refused call with the time at which its caller should retry. A verdict for another
     * reason than lack of capacity is returned unchanged.
     *
     * @param now     the time in nanoseconds
     * @param call    the call
     * @param verdict the verdict, whose time is the earliest
     */
    Verdict.NotRun schedule(long now, DirectCall call, Verdict.NotRun verdict) {
        if (verdict.cause() != Cause.OVERLOADED) {
            return verdict;
        }
        long latestMillis = Math.min(MAX_RETRY_AFTER_MILLIS, maxWaitMillis(now, call));
        scheduledReturns++;
        long retryAfterMillis = scheduleOf(now, call.service)
                .retryAfterMillis(now, call.priority(), verdict.retryAfterMillis(), latestMillis);
        return new Verdict.NotRun(verdict.cause(), retryAfterMillis);
    }

    /** Returns how long the caller of a refused call waits at most before it retries, in milliseconds. */
    static long maxWaitMillis(long now, DirectCall call) {
        long remainingMillis = Math.max(0, Durations.millis(call.deadlineNanos - now));
        return remainingMillis / REMAINING_TIME_DIVISOR;
    }

    private ReturnSchedule scheduleOf(long now, String service) {
        return schedules.computeIfAbsent(service, key -> ReturnSchedule.create(now));
    }

    /** Returns the number of callers that were told a time so far. */
    long scheduledReturns() {
        return scheduledReturns;
    }
}
