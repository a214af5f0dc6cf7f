package org.cuminshelf.backpressure;

import java.time.Duration;
import java.util.Optional;

/**
 * What the head of an answer asks of those that send its upstream requests.
 *
 * @param limit   how many requests it takes from all VMs together
 * @param backoff    how long it wants nothing from the VM that it answers; only a refusal asks for it
 * @param leaving whether it says that it leaves
 */
public record BackpressureSignals(AdvertisedLimit limit, Optional<Duration> backoff, boolean leaving) {

    /**
     * An answer that asks for nothing but what it says of a limit.
     *
     * @param limit what it says
     * @return the demands
     */
    public static BackpressureSignals of(AdvertisedLimit limit) {
        return new BackpressureSignals(limit, Optional.empty(), false);
    }
}
