package org.cuminshelf.backpressure;

import java.util.List;
import java.util.OptionalDouble;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/** The limit that one start of an upstream states, and the part of it that this entry may use. */
final class UpstreamRateLimit {

    /**
     * What the upstream said last.
     *
     * @param perSecond requests a second; empty once it names no limit any more
     * @param validAt        when that was known to hold, in nanoseconds
     */
    record LimitState(OptionalDouble perSecond, long validAt) {}

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private final String instanceId;
    private final String service;
    private LimitState latest = new LimitState(OptionalDouble.empty(), Long.MIN_VALUE);
    /** Whether this entry itself heard the newest statement, and not from another entry. */
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

    /** Requests a second that it takes now, if it states a limit. */
    OptionalDouble perSecond() {
        return latest.perSecond();
    }

    LimitState latest() {
        return latest;
    }

    boolean isReceivedLocally() {
        return receivedLocally;
    }

    /** When anything was last heard of it or sent there, in nanoseconds. */
    long lastActiveAt() {
        return lastActiveAt;
    }

    /** Takes what an answer says that came just now, to a request that was sent at {@code sentAt}. */
    void onAnswer(long now, long sentAt, AdvertisedLimit advertised) {
        switch (advertised) {
            case AdvertisedLimit.PerSecond(double requestsPerSecond) ->
                update(now, new LimitState(OptionalDouble.of(requestsPerSecond), now), true);
            case AdvertisedLimit.Unlimited() -> update(now, new LimitState(OptionalDouble.empty(), sentAt), true);
            case AdvertisedLimit.Malformed malformed -> {
                // The upstream may still be in need: what was known of it stands.
            }
        }
    }

    /** Takes what another entry heard. */
    void onRemoteState(long now, LimitState state) {
        update(now, state, false);
    }

    /** The newest statement holds: answers overtake each other, and so does what entries tell of them. */
    private void update(long now, LimitState state, boolean receivedLocally) {
        lastActiveAt = now;
        if (state.validAt() > latest.validAt()) {
            latest = state;
            receivedLocally = receivedLocally;
            permits = state.perSecond().isPresent() ? permits : null;
        }
    }

    /** Reckons this entry's part of the limit anew. */
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
     * Part of an interval after which this entry's first permit comes: each entry has another place in it, the same by
     * the reckoning of all, so that their permits come one after the other.
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

    /** When the next request may be sent there, in nanoseconds; {@link Long#MIN_VALUE} without a limit. */
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
