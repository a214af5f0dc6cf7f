package org.cuminshelf.backpressure;

/**
 * Permits to send a request, which come at even intervals and lapse some time after.
 *
 * <p>Failure it guards against: many entries share one limit and have sent nothing for a while, so that each holds a
 * permit, and all use them within one second. As permits lapse, all entries together hold a bounded number, whatever
 * the number of entries: the rate that they share times the time for which a permit stands.
 */
final class PermitSchedule {

    private double intervalNanos;
    private double lifetimeNanos;
    /** When the oldest permit came, or comes, that is neither used nor lapsed, in nanoseconds. */
    private double oldestPermitAt;

    /**
     * Begins a schedule.
     *
     * @param now      the time in nanoseconds
     * @param intervalNanos nanoseconds between two permits
     * @param lifetimeNanos    nanoseconds for which a permit stands
     * @param phase    part of an interval after which the first permit comes
     */
    PermitSchedule(long now, double intervalNanos, double lifetimeNanos, double phase) {
        this.intervalNanos = intervalNanos;
        this.lifetimeNanos = lifetimeNanos;
        this.oldestPermitAt = now + phase * intervalNanos;
    }

    /** Changes the interval; what was waited for of the old one counts in proportion. */
    void changeInterval(long now, double newIntervalNanos, double newLifetimeNanos) {
        if (oldestPermitAt > now) {
            oldestPermitAt = now + (oldestPermitAt - now) * newIntervalNanos / intervalNanos;
        }
        intervalNanos = newIntervalNanos;
        lifetimeNanos = newLifetimeNanos;
    }

    /** When the next request may be sent, in nanoseconds: now or before if there is a permit. */
    long nextPermitTime(long now) {
        dropExpired(now);
        return (long) Math.ceil(oldestPermitAt);
    }

    /** Uses the oldest permit, or the next one in advance. */
    void takePermit(long now) {
        dropExpired(now);
        oldestPermitAt += intervalNanos;
    }

    /** Takes a permit back that was not used after all. */
    void returnPermit() {
        oldestPermitAt -= intervalNanos;
    }

    private void dropExpired(long now) {
        double expiredNanos = now - lifetimeNanos - oldestPermitAt;
        if (expiredNanos > 0) {
            oldestPermitAt += Math.ceil(expiredNanos / intervalNanos) * intervalNanos;
        }
    }
}
