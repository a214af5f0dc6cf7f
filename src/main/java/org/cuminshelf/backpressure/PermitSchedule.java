package org.cuminshelf.backpressure;

/**
 * Permits to send a request, which come at even intervals and lapse some time after.
 *
 * <p>Failure it guards against: many entries share one limit and have sent nothing for a while, so that each holds a
 * permit, and all use them within one second. As permits lapse, all entries together hold a bounded number, whatever
 * the number of entries: the rate that they share times the time for which a permit stands.
 */
final class PermitSchedule {

    private double interval;
    private double lapse;
    /** When the oldest permit came, or comes, that is neither used nor lapsed, in nanoseconds. */
    private double oldest;

    /**
     * Begins a schedule.
     *
     * @param now      the time in nanoseconds
     * @param interval nanoseconds between two permits
     * @param lapse    nanoseconds for which a permit stands
     * @param phase    part of an interval after which the first permit comes
     */
    PermitSchedule(long now, double interval, double lapse, double phase) {
        this.interval = interval;
        this.lapse = lapse;
        this.oldest = now + phase * interval;
    }

    /** Changes the interval; what was waited for of the old one counts in proportion. */
    void change(long now, double newInterval, double newLapse) {
        if (oldest > now) {
            oldest = now + (oldest - now) * newInterval / interval;
        }
        interval = newInterval;
        lapse = newLapse;
    }

    /** When the next request may be sent, in nanoseconds: now or before if there is a permit. */
    long next(long now) {
        dropLapsed(now);
        return (long) Math.ceil(oldest);
    }

    /** Uses the oldest permit, or the next one in advance. */
    void use(long now) {
        dropLapsed(now);
        oldest += interval;
    }

    /** Takes a permit back that was not used after all. */
    void giveBack() {
        oldest -= interval;
    }

    private void dropLapsed(long now) {
        double late = now - lapse - oldest;
        if (late > 0) {
            oldest += Math.ceil(late / interval) * interval;
        }
    }
}
