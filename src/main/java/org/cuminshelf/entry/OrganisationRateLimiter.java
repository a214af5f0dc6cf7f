package org.cuminshelf.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.config.OrganisationConfig;

/**
 * The limits of organisations: a token bucket each, holding this entry's share of the organisation's rate. The share
 * is the rate over the entries that control hears from, so no call is made per request; while the count of entries
 * changes the sum may be off by that change for a heartbeat.
 */
final class OrganisationRateLimiter {

    private static final int REMEMBERED_ORGANISATIONS = 10_000;
    private static final double BURST_SECONDS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final class Bucket {
        private double tokens;
        private long filledAt;
    }

    private final Map<String, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
            return size() > REMEMBERED_ORGANISATIONS;
        }
    };

    /**
     * Takes one request from the organisation's share.
     *
     * @return nothing if it may go on, or the milliseconds until it may be tried again
     */
    Optional<Long> take(long now, String organisation, FleetConfig config, int entries) {
        Optional<Double> rate = config.organisation(organisation).flatMap(OrganisationConfig::requestsPerSecond);
        if (rate.isEmpty()) {
            return Optional.empty();
        }
        double share = rate.get() / entries;
        double burst = config.organisation(organisation)
                        .flatMap(OrganisationConfig::burst)
                        .orElse(rate.get() * BURST_SECONDS)
                / entries;
        double capacity = Math.max(1, burst);
        Bucket bucket = buckets.get(organisation);
        if (bucket == null) {
            bucket = new Bucket();
            bucket.tokens = capacity;
            bucket.filledAt = now;
            buckets.put(organisation, bucket);
        }
        bucket.tokens = Math.min(capacity, bucket.tokens + (now - bucket.filledAt) / NANOS_PER_SECOND * share);
        bucket.filledAt = now;
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return Optional.empty();
        }
        return Optional.of((long) Math.ceil((1 - bucket.tokens) / share * 1000));
    }
}
