package org.cuminshelf.backpressure;

import java.util.List;
import java.util.OptionalDouble;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;

/** The limit that one start of an upstream states, and the part of it that this entry may use. */
final class RateLimit {

    /**
     * What the upstream said last.
     *
     * @param perSecond requests a second; empty once it names no limit any more
     * @param at        when that was known to hold, in nanoseconds
     */
    record Statement(OptionalDouble perSecond, long at) {}

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);

    private final String start;
    private final String service;
    private Statement newest = new Statement(OptionalDouble.empty(), Long.MIN_VALUE);
    /** Whether this entry itself heard the newest statement, and not from another entry. */
    private boolean heardDirectly;

    private long usedAt;
    private PermitSchedule permits;

    RateLimit(long now, String start, String service) {
        this.start = start;
        this.service = service;
        this.usedAt = now;
    }

    String start() {
        return start;
    }

    String service() {
        return service;
    }

    /** Requests a second that it takes now, if it states a limit. */
    OptionalDouble perSecond() {
        return newest.perSecond();
    }

    Statement newest() {
        return newest;
    }

    boolean isHeardDirectly() {
        return heardDirectly;
    }

    /** When anything was last heard of it or sent there, in nanoseconds. */
    long usedAt() {
        return usedAt;
    }

    /** Takes what an answer says that came just now, to a request that was sent at {@code sentAt}. */
    void heard(long now, long sentAt, StatedLimit stated) {
        switch (stated) {
            case StatedLimit.PerSecond(double requests) ->
                take(now, new Statement(OptionalDouble.of(requests), now), true);
            case StatedLimit.Unlimited() -> take(now, new Statement(OptionalDouble.empty(), sentAt), true);
            case StatedLimit.Unreadable unreadable -> {
                // The upstream may still be in need: what was known of it stands.
            }
        }
    }

    /** Takes what another entry heard. */
    void told(long now, Statement statement) {
        take(now, statement, false);
    }

    /** The newest statement holds: answers overtake each other, and so does what entries tell of them. */
    private void take(long now, Statement statement, boolean directly) {
        usedAt = now;
        if (statement.at() > newest.at()) {
            newest = statement;
            heardDirectly = directly;
            permits = statement.perSecond().isPresent() ? permits : null;
        }
    }

    /** Reckons this entry's part of the limit anew. */
    void share(long now, double part, Address self, List<Address> entries) {
        if (newest.perSecond().isEmpty()) {
            return;
        }
        double all = Math.max(RateShare.LEAST_RATE, newest.perSecond().getAsDouble());
        double interval = NANOS_PER_SECOND / (all * part);
        double lapse = RateShare.lapseNanos(all);
        if (permits == null) {
            permits = new PermitSchedule(now, interval, lapse, phase(self, entries));
        } else {
            permits.change(now, interval, lapse);
        }
    }

    /**
     * Part of an interval after which this entry's first permit comes: each entry has another place in it, the same by
     * the reckoning of all, so that their permits come one after the other.
     */
    private double phase(Address self, List<Address> entries) {
        long own = place(self);
        long before = entries.stream().filter(entry -> place(entry) < own).count();
        return (before + 1.0) / Math.max(1, entries.size());
    }

    private long place(Address entry) {
        return LongHashFunction.xx3().hashChars(entry.value() + "/" + start);
    }

    /** When the next request may be sent there, in nanoseconds; {@link Long#MIN_VALUE} without a limit. */
    long nextPermit(long now) {
        if (newest.perSecond().isEmpty()) {
            return Long.MIN_VALUE;
        }
        return permits == null ? Core.NEVER : permits.next(now);
    }

    void use(long now) {
        usedAt = now;
        if (permits != null) {
            permits.use(now);
        }
    }

    void giveBack() {
        if (permits != null) {
            permits.giveBack();
        }
    }
}
