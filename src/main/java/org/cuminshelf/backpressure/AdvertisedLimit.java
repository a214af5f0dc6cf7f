package org.cuminshelf.backpressure;

/** What an answer says about the rate limit of its upstream on requests from all VMs together. */
public sealed interface AdvertisedLimit {

    /**
     * The upstream accepts a number of requests per second.
     *
     * @param requestsPerSecond requests per second, finite and not negative
     */
    record PerSecond(double requestsPerSecond) implements AdvertisedLimit {

        /** Validates the number. */
        public PerSecond {
            if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0) {
                throw new IllegalArgumentException(
                        "limit must be finite and not negative, but is " + requestsPerSecond);
            }
        }
    }

    /** The answer advertises no limit. */
    record Unlimited() implements AdvertisedLimit {}

    /**
     * The answer holds a limit that can't be parsed, so that nothing is known about the current limit.
     *
     * @param text the beginning of the value, for the log
     */
    record Malformed(String text) implements AdvertisedLimit {}
}
