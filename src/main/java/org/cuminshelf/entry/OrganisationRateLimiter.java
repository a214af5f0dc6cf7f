package org.cuminshelf.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.config.OrganisationConfig;

/**
 * Enforces the request rates of organisations with one token bucket each. Each bucket holds this entry's share: the
 * organisation's rate divided by the number of entries that control reports, so that no remote request is needed for
 * each call. When the number of entries changes, the sum of all shares may be wrong by that change for one heartbeat.
 */
final class OrganisationRateLimiter {

    private static final int MAX_ORGANISATIONS = 10_000;
    /** Bucket size, in seconds of the rate, where the configuration states no burst. */
    private static final double BURST_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final class Bucket {
        private double tokens;
        private long refilledAtNanos;
    }

    private final Map<String, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
            return size() > MAX_ORGANISATIONS;
        }
    };

    /**
     * Takes one token from the organisation's bucket.
     *
     * @return empty if the request is within the limit, or else the milliseconds until the next token
     */
    Optional<Long> acquire(long now, String organisation, FleetConfig config, int entryCount) {
        Optional<Double> rate = config.organisation(organisation).flatMap(OrganisationConfig::requestsPerSecond);
        if (rate.isEmpty()) {
            return Optional.empty();
        }
        double sharePerSecond = rate.get() / entryCount;
        double burst = config.organisation(organisation)
                        .flatMap(OrganisationConfig::burst)
                        .orElse(rate.get() * BURST_SECONDS)
                / entryCount;
        double capacity = Math.max(1, burst);
        Bucket bucket = buckets.get(organisation);
        if (bucket == null) {
            bucket = new Bucket();
            bucket.tokens = capacity;
            bucket.refilledAtNanos = now;
            buckets.put(organisation, bucket);
        }
        bucket.tokens =
                Math.min(capacity, bucket.tokens + (now - bucket.refilledAtNanos) / NANOS_PER_SECOND * sharePerSecond);
        bucket.refilledAtNanos = now;
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return Optional.empty();
        }
        return Optional.of((long) Math.ceil((1 - bucket.tokens) / sharePerSecond * 1000));
    }
}
