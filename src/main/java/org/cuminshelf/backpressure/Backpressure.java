package org.cuminshelf.backpressure;

import org.cuminshelf.core.Address;

/** What upstreams ask of this entry, and when each may be sent a request. */
public final class Backpressure {

    private final UpstreamRateLimits limits;
    private final UpstreamBackoffs backoffs = UpstreamBackoffs.create();
    private final LeavingUpstreams leavingUpstreams = LeavingUpstreams.create();

    private Backpressure(Address self) {
        this.limits = UpstreamRateLimits.create(self);
    }

    /**
     * Makes the state of an entry of which nothing was asked.
     *
     * @param self the address of this entry, as the others know it
     * @return the state
     */
    public static Backpressure create(Address self) {
        return new Backpressure(self);
    }

    /**
     * The limits that upstreams state.
     *
     * @return the table
     */
    public UpstreamRateLimits limits() {
        return limits;
    }

    /**
     * The rest that upstreams asked for.
     *
     * @return the table
     */
    public UpstreamBackoffs backoffs() {
        return backoffs;
    }

    /**
     * The upstreams that said that they leave.
     *
     * @return the table
     */
    public LeavingUpstreams leavingUpstreams() {
        return leavingUpstreams;
    }

    /**
     * Tells when a request may be sent to an upstream.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of its start
     * @return a time in nanoseconds, not after {@code now} if one may be sent now
     */
    public long nextSendTime(long now, String instanceId) {
        return Math.max(limits.nextPermitTime(now, instanceId), backoffs.nextSendTime(instanceId));
    }

    /**
     * Tells whether a request may be sent to an upstream now.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of its start
     * @return true if it may
     */
    public boolean maySend(long now, String instanceId) {
        return nextSendTime(now, instanceId) <= now;
    }

    /**
     * Tells whether a request for which a permit was kept may be sent to an upstream now.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of its start
     * @return true if it may
     */
    public boolean maySendWithReservedPermit(long now, String instanceId) {
        return backoffs.nextSendTime(instanceId) <= now;
    }

    /**
     * Forgets what is over.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        backoffs.tick(now);
        leavingUpstreams.tick(now);
    }

    /**
     * Takes note of a request that is sent.
     *
     * @param now   the time in nanoseconds
     * @param instanceId identity of the upstream's start
     */
    public void onRequestSent(long now, String instanceId) {
        limits.takePermit(now, instanceId);
        backoffs.onRequestSent(now, instanceId);
    }
}
