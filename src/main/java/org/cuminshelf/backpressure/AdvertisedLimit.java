package org.cuminshelf.backpressure;

/** What an answer says of how many requests its upstream takes from all VMs together. */
public sealed interface AdvertisedLimit {

    /**
     * It takes so many.
     *
     * @param requestsPerSecond requests a second, finite and not negative
     */
    record PerSecond(double requestsPerSecond) implements AdvertisedLimit {

        /** Checks the number. */
        public PerSecond {
            if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0) {
                throw new IllegalArgumentException(
                        "a limit must be a finite number of at least 0, not " + requestsPerSecond);
            }
        }
    }

    /** It names no limit. */
    record Unlimited() implements AdvertisedLimit {}

    /**
     * It says something that can't be read, so that nothing is known of it.
     *
     * @param text the beginning of what it says, for the log
     */
    record Malformed(String text) implements AdvertisedLimit {}
}
