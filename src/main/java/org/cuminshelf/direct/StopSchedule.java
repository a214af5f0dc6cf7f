package org.cuminshelf.direct;

import java.util.OptionalLong;
import org.cuminshelf.core.Durations;

/**
 * The schedule of a stopping entry, known from the moment at which it is asked to stop: which requests it still takes.
 * Times are those of the entry's monotonic clock, in nanoseconds.
 *
 * @param noticedAtNanos   until when new callers come, as the load balancer has not noticed the stop
 * @param answersEndNanos  until when all answers are whole; what is not may be cut from then on
 */
record StopSchedule(long noticedAtNanos, long answersEndNanos) {

    /**
     * Creates a schedule.
     *
     * @param startNanos    when the entry was asked to stop
     * @param noticeMillis  time that the load balancer needs to notice, in milliseconds
     * @param answersMillis time from the start in which answers must be whole, in milliseconds
     * @return the schedule
     */
    static StopSchedule of(long startNanos, long noticeMillis, long answersMillis) {
        return new StopSchedule(
                startNanos + Durations.nanos(noticeMillis), startNanos + Durations.nanos(answersMillis));
    }

    /**
     * Tells whether a request that was not sent to any upstream is still sent. Its time limit must lie within the stop.
     * One whose caller could not know of the stop is also sent if it is likely to end in time, or nothing speaks
     * against it: refusing all of these would cost their callers a retry each.
     *
     * @param now           the time
     * @param begunAt       when its first byte was read
     * @param deadline      when its time limit ends it
     * @param expectedNanos how long requests like it take, if that is known
     * @return whether it is sent
     */
    boolean takes(long now, long begunAt, long deadline, OptionalLong expectedNanos) {
        boolean likelyInTime = expectedNanos.isEmpty() || now + expectedNanos.getAsLong() <= answersEndNanos;
        return deadline <= answersEndNanos || begunAt < noticedAtNanos && likelyInTime;
    }
}
