package org.cuminshelf.backpressure;

import java.util.List;
import java.util.OptionalDouble;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/** The rate limit that one upstream instance advertises, and this entry's share of it. */
final class UpstreamRateLimit {

    /**
     * The limit that an upstream advertised, or that it advertises none.
     *
     * @param perSecond requests per second; empty if the upstream advertises no limit
     * @param validAt   the latest time at which this is known to have held, in nanoseconds
     */
    record LimitState(OptionalDouble perSecond, long validAt) {}

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private final String instanceId;
    private final String service;
    private LimitState latest = new LimitState(OptionalDouble.empty(), Long.MIN_VALUE);
    /** Whether this entry received the latest state from the upstream, as opposed to from another entry. */
    private boolean receivedLocally;

    private long lastActiveAt;
    private PermitSchedule permits;

    UpstreamRateLimit(long now, String instanceId, String service) {
        this.instanceId = instanceId;
        this.service = service;
        this.lastActiveAt = now;
    }

    String instanceId() {
        return instanceId;
    }

    String service() {
        return service;
    }

    /** Requests per second that the upstream accepts now; empty if it advertises no limit. */
    OptionalDouble perSecond() {
        return latest.perSecond();
    }

    LimitState latest() {
        return latest;
    }

    boolean isReceivedLocally() {
        return receivedLocally;
    }

    /** When a state was last received or a request last sent, in nanoseconds. */
    long lastActiveAt() {
        return lastActiveAt;
    }

    /**
     * Processes the limit in an answer that was received at {@code now}, to a request that was sent at {@code sentAt}.
     */
    void onAnswer(long now, long sentAt, AdvertisedLimit advertised) {
        switch (advertised) {
            case AdvertisedLimit.PerSecond(double requestsPerSecond) ->
                update(now, new LimitState(OptionalDouble.of(requestsPerSecond), now), true);
            case AdvertisedLimit.Unlimited() -> update(now, new LimitState(OptionalDouble.empty(), sentAt), true);
            case AdvertisedLimit.Malformed malformed -> {
                // The upstream may still be overloaded, so the latest known limit stays in force.
            }
        }
    }

    /** Processes a state that another entry received. */
    void onRemoteState(long now, LimitState state) {
        update(now, state, false);
    }

    /**
     * Applies a state if it is the latest: answers may arrive out of order, and so may the reports of other entries.
     */
    private void update(long now, LimitState state, boolean fromUpstream) {
        lastActiveAt = now;
        if (state.validAt() > latest.validAt()) {
            latest = state;
            receivedLocally = fromUpstream;
            permits = state.perSecond().isPresent() ? permits : null;
        }
    }

    /** Recalculates this entry's share of the limit. */
    void applyShare(long now, double localShare, Address self, List<Address> entries) {
        if (latest.perSecond().isEmpty()) {
            return;
        }
        double totalPerSecond = Math.max(
                LimitSharing.MIN_TOTAL_REQUESTS_PER_SECOND, latest.perSecond().getAsDouble());
        double intervalNanos = NANOS_PER_SECOND / (totalPerSecond * localShare);
        double lifetimeNanos = LimitSharing.permitLifetimeNanos(totalPerSecond);
        if (permits == null) {
            permits = new PermitSchedule(now, intervalNanos, lifetimeNanos, initialPhase(self, entries));
        } else {
            permits.changeInterval(now, intervalNanos, lifetimeNanos);
        }
    }

    /**
     * Returns the fraction of an interval after which this entry's first permit becomes available. All entries
     * calculate the same order from their addresses, so that each takes a different place in the interval and their
     * permits are evenly spread.
     */
    private double initialPhase(Address self, List<Address> entries) {
        long ownHash = hashOf(self);
        long preceding =
                entries.stream().filter(entry -> hashOf(entry) < ownHash).count();
        return (preceding + 1.0) / Math.max(1, entries.size());
    }

    private long hashOf(Address entry) {
        return LongHashFunction.xx3().hashChars(entry.value() + "/" + instanceId);
    }

    /** When the next request may be sent, in nanoseconds; {@link Long#MIN_VALUE} without a limit. */
    long nextPermitTime(long now) {
        if (latest.perSecond().isEmpty()) {
            return Long.MIN_VALUE;
        }
        return permits == null ? Core.NEVER : permits.nextPermitTime(now);
    }

    void takePermit(long now) {
        lastActiveAt = now;
        if (permits != null) {
            permits.takePermit(now);
        }
    }

    void returnPermit() {
        if (permits != null) {
            permits.returnPermit();
        }
    }
}
