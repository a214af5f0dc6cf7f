package org.cuminshelf.backpressure;

/**
 * Permits to send a request, which become available at even intervals and expire after a fixed lifetime.
 *
 * <p>Without the lifetime, many entries that share one limit and have been idle would each hold a permit and use them
 * all within one second. Since permits expire, all entries together hold a bounded number of them, whatever the number
 * of entries: the rate that they share times the lifetime of a permit.
 */
final class PermitSchedule {

    private double intervalNanos;
    private double lifetimeNanos;
    /** When the oldest permit that is neither used nor expired became or becomes available, in nanoseconds. */
    private double oldestPermitAt;

    /**
     * Creates a schedule.
     *
     * @param now           the time in nanoseconds
     * @param intervalNanos nanoseconds between two permits
     * @param lifetimeNanos nanoseconds for which an unused permit stays valid
     * @param phase         fraction of an interval after which the first permit becomes available
     */
    PermitSchedule(long now, double intervalNanos, double lifetimeNanos, double phase) {
        this.intervalNanos = intervalNanos;
        this.lifetimeNanos = lifetimeNanos;
        this.oldestPermitAt = now + phase * intervalNanos;
    }

    /** Changes the interval and the lifetime; the remaining wait for the next permit is scaled in proportion. */
    void changeInterval(long now, double newIntervalNanos, double newLifetimeNanos) {
        if (oldestPermitAt > now) {
            oldestPermitAt = now + (oldestPermitAt - now) * newIntervalNanos / intervalNanos;
        }
        intervalNanos = newIntervalNanos;
        lifetimeNanos = newLifetimeNanos;
    }

    /** Returns when the next request may be sent, in nanoseconds: not after {@code now} if a permit is available. */
    long nextPermitTime(long now) {
        dropExpired(now);
        return (long) Math.ceil(oldestPermitAt);
    }

    /** Uses the oldest permit, or the next one in advance if none is available. */
    void takePermit(long now) {
        dropExpired(now);
        oldestPermitAt += intervalNanos;
    }

    /** Returns a permit that was taken but not used. */
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
