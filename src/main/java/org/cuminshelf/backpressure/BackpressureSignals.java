package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.Optional;

/**
 * Flow control signals in the head of an upstream's answer.
 *
 * @param limit   rate limit on requests from all VMs together
 * @param backoff how long the upstream wants no request from the VM that it answers; only a refusal carries it
 * @param leaving whether the upstream announces that it is leaving
 */
public record BackpressureSignals(AdvertisedLimit limit, Optional<Duration> backoff, boolean leaving) {

    /**
     * Creates signals that hold a rate limit only.
     *
     * @param limit the rate limit
     * @return the signals
     */
    public static BackpressureSignals of(AdvertisedLimit limit) {
        return new BackpressureSignals(limit, Optional.empty(), false);
    }
}
