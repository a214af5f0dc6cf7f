package org.cuminshelf.backpressure;

import org.cuminshelf.core.Address;

/** The flow control that upstreams request of this entry, and the earliest time at which each may be sent a request. */
public final class Backpressure {

    private final UpstreamRateLimits limits;
    private final UpstreamBackoffs backoffs = UpstreamBackoffs.create();
    private final LeavingUpstreams leavingUpstreams = LeavingUpstreams.create();

    private Backpressure(Address self) {
        this.limits = UpstreamRateLimits.create(self);
    }

    /**
     * Creates the state of an entry to which no upstream has signalled anything.
     *
     * @param self the address of this entry, as the other entries know it
     * @return the state
     */
    public static Backpressure create(Address self) {
        return new Backpressure(self);
    }

    /**
     * Returns the rate limits that upstreams advertise.
     *
     * @return the table
     */
    public UpstreamRateLimits limits() {
        return limits;
    }

    /**
     * Returns the backoff periods that upstreams requested.
     *
     * @return the table
     */
    public UpstreamBackoffs backoffs() {
        return backoffs;
    }

    /**
     * Returns the upstream instances that announced that they are leaving.
     *
     * @return the table
     */
    public LeavingUpstreams leavingUpstreams() {
        return leavingUpstreams;
    }

    /**
     * Returns the earliest time at which a request may be sent to an upstream.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     * @return a time in nanoseconds, not after {@code now} if a request may be sent now
     */
    public long nextSendTime(long now, String instanceId) {
        return Math.max(limits.nextPermitTime(now, instanceId), backoffs.nextSendTime(instanceId));
    }

    /**
     * Checks whether a request may be sent to an upstream now.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     * @return true if it may
     */
    public boolean maySend(long now, String instanceId) {
        return nextSendTime(now, instanceId) <= now;
    }

    /**
     * Checks whether a request for which a permit has already been taken may be sent to an upstream now.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     * @return true if it may
     */
    public boolean maySendWithReservedPermit(long now, String instanceId) {
        return backoffs.nextSendTime(instanceId) <= now;
    }

    /**
     * Removes expired backoff periods and notices of departure. Rate limits have a method of their own for this,
     * {@link UpstreamRateLimits#tick}.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        backoffs.tick(now);
        leavingUpstreams.tick(now);
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param now        the time in nanoseconds
     * @param instanceId identity of the upstream instance
     */
    public void onRequestSent(long now, String instanceId) {
        limits.takePermit(now, instanceId);
        backoffs.onRequestSent(now, instanceId);
    }
}
