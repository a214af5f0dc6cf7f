package org.cuminshelf.backpressure;

import org.cuminshelf.core.Address;

/** What upstreams ask of this entry, and when each may be sent a request. */
public final class Backpressure {

    private final RateLimits limits;
    private final Rests rests = Rests.none();
    private final Leavers leavers = Leavers.none();

    private Backpressure(Address self) {
        this.limits = RateLimits.none(self);
    }

    /**
     * Makes the state of an entry of which nothing was asked.
     *
     * @param self the address of this entry, as the others know it
     * @return the state
     */
    public static Backpressure none(Address self) {
        return new Backpressure(self);
    }

    /**
     * The limits that upstreams state.
     *
     * @return the table
     */
    public RateLimits limits() {
        return limits;
    }

    /**
     * The rest that upstreams asked for.
     *
     * @return the table
     */
    public Rests rests() {
        return rests;
    }

    /**
     * The upstreams that said that they leave.
     *
     * @return the table
     */
    public Leavers leavers() {
        return leavers;
    }

    /**
     * Tells when a request may be sent to an upstream.
     *
     * @param now   the time in nanoseconds
     * @param start identity of its start
     * @return a time in nanoseconds, not after {@code now} if one may be sent now
     */
    public long nextSend(long now, String start) {
        return Math.max(limits.nextPermit(now, start), rests.next(start));
    }

    /**
     * Tells whether a request may be sent to an upstream now.
     *
     * @param now   the time in nanoseconds
     * @param start identity of its start
     * @return true if it may
     */
    public boolean admits(long now, String start) {
        return nextSend(now, start) <= now;
    }

    /**
     * Tells whether a request for which a permit was kept may be sent to an upstream now.
     *
     * @param now   the time in nanoseconds
     * @param start identity of its start
     * @return true if it may
     */
    public boolean admitsKept(long now, String start) {
        return rests.next(start) <= now;
    }

    /**
     * Forgets what is over.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        rests.tick(now);
        leavers.tick(now);
    }

    /**
     * Takes note of a request that is sent.
     *
     * @param now   the time in nanoseconds
     * @param start identity of the upstream's start
     */
    public void use(long now, String start) {
        limits.use(now, start);
        rests.use(now, start);
    }
}
