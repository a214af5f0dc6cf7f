package org.cuminshelf.returns;

import java.util.Arrays;
import org.cuminshelf.core.Durations;

/**
 * Times at which refused callers of one service are told to retry: spread, urgent ones first.
 *
 * <p>Applies to bursts beyond the capacity of a service. Callers retry once; when all of them were told the same short
 * time, they returned into the burst that had caused their refusal, and most of them were refused again. Here a part of
 * the rate at which this entry sends calls is planned for returning callers, and each gets a time of its own. Times
 * of urgent calls delay less urgent ones, not the other way round.
 *
 * <p>The state is a few numbers. It covers the callers of this entry only: callers usually return to another entry, but
 * all entries plan alike, so that the sum fits the capacity. It is lost with the process, and callers that were told a
 * time return all the same.
 */
public final class ReturnSchedule {

    /**
     * Fraction of the rate of sent calls that is planned for returning callers. More would take capacity from callers
     * that have not been refused yet.
     */
    private static final double RETURNING_SHARE = 0.25;
    /** Rate of returns that is planned if hardly any call is sent, so that some callers find out when that changes. */
    private static final double MIN_RETURNS_PER_SECOND = 2;
    /** Time constant of the rate of sent calls: shorter than bursts, longer than clusters of arrivals. */
    private static final double SMOOTHING_NANOS = Durations.nanos(1_000);
    /**
     * Longest part of a stated earliest time that is left unplanned: the usual one. A longer one, such as that of a
     * rate limit, must not move the times of other callers behind it.
     */
    private static final long MAX_UNPLANNED_NANOS = Durations.nanos(200);
    /** Priorities that are told apart; less urgent ones count as the last. */
    private static final int PRIORITIES = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Exponentially decaying number of sent calls. */
    private double recentlySent;

    private long updatedAtNanos;
    /** When the next caller of each priority should return, in nanoseconds. */
    private final long[] nextFreeNanos = new long[PRIORITIES];

    private ReturnSchedule(long now) {
        this.updatedAtNanos = now;
        Arrays.fill(nextFreeNanos, now);
    }

    /**
     * Creates a schedule without planned returns.
     *
     * @param now the time in nanoseconds
     * @return the schedule
     */
    public static ReturnSchedule create(long now) {
        return new ReturnSchedule(now);
    }

    /**
     * Records that a call of the service was sent to an upstream.
     *
     * @param now the time in nanoseconds
     */
    public void onSent(long now) {
        decay(now);
        recentlySent++;
    }

    /**
     * Returns when a refused caller should retry. The time is reserved for it if it is within the limit; a caller for
     * which there is none is told the limit.
     *
     * @param now            the time in nanoseconds
     * @param priority       the priority of its call, 0 being the most urgent
     * @param earliestMillis milliseconds before which there is no capacity for it
     * @param latestMillis   milliseconds after which it would not retry, or would have no time left for its answer
     * @return milliseconds from now, at least the earliest, even if that is beyond the latest
     */
    public long retryAfterMillis(long now, int priority, long earliestMillis, long latestMillis) {
        if (earliestMillis > latestMillis) {
            return earliestMillis;
        }
        int level = Math.clamp(priority, 0, PRIORITIES - 1);
        long returnAt = Math.max(now + Durations.nanos(earliestMillis), nextFreeNanos[level]);
        long latestAt = now + Durations.nanos(latestMillis);
        if (returnAt > latestAt) {
            return Durations.millis(latestAt - now);
        }
        reserve(now, level, returnAt);
        return Durations.millis(returnAt - now);
    }

    private void reserve(long now, int level, long returnAt) {
        long intervalNanos = (long) (NANOS_PER_SECOND / returnsPerSecond(now));
        long plannedAt = Math.min(returnAt, now + MAX_UNPLANNED_NANOS);
        for (int other = level; other < PRIORITIES; other++) {
            nextFreeNanos[other] = Math.max(nextFreeNanos[other], plannedAt) + intervalNanos;
        }
    }

    private double returnsPerSecond(long now) {
        decay(now);
        double sentPerSecond = recentlySent * NANOS_PER_SECOND / SMOOTHING_NANOS;
        return Math.max(MIN_RETURNS_PER_SECOND, RETURNING_SHARE * sentPerSecond);
    }

    private void decay(long now) {
        recentlySent *= Math.exp((updatedAtNanos - now) / SMOOTHING_NANOS);
        updatedAtNanos = now;
    }
}
