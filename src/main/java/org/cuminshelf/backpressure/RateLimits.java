package org.cuminshelf.backpressure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/** The limits that upstreams state, by the identity of their starts. */
public final class RateLimits {

    /**
     * What changed for an upstream.
     *
     * @param before requests a second before, empty where there was no limit
     * @param after  requests a second from now on, empty where there is no limit any more
     */
    public record Change(OptionalDouble before, OptionalDouble after) {}

    private final Map<String, RateLimit> limits = new HashMap<>();

    private RateLimits() {}

    /**
     * Makes a table in which no upstream states a limit.
     *
     * @return the table
     */
    public static RateLimits none() {
        return new RateLimits();
    }

    /**
     * Takes what an answer says.
     *
     * @param now    when it came, in nanoseconds
     * @param start  identity of the upstream's start that gave it
     * @param sentAt when its request was sent, in nanoseconds
     * @param stated what it says
     * @return what changed, if anything
     */
    public Optional<Change> heard(long now, String start, long sentAt, StatedLimit stated) {
        if (stated instanceof StatedLimit.PerSecond) {
            limits.computeIfAbsent(start, key -> new RateLimit());
        }
        RateLimit limit = limits.get(start);
        if (limit == null) {
            return Optional.empty();
        }
        OptionalDouble before = limit.perSecond();
        limit.heard(now, sentAt, stated);
        OptionalDouble after = limit.perSecond();
        return before.equals(after) ? Optional.empty() : Optional.of(new Change(before, after));
    }

    /**
     * Counts the upstreams that state a limit now.
     *
     * @return their number
     */
    public long inForce() {
        return limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .count();
    }
}
