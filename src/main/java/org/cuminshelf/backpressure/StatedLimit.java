package org.cuminshelf.backpressure;

/** What an answer says of how many requests its upstream takes from all VMs together. */
public sealed interface StatedLimit {

    /**
     * It takes so many.
     *
     * @param requests requests a second, finite and not negative
     */
    record PerSecond(double requests) implements StatedLimit {

        /** Checks the number. */
        public PerSecond {
            if (!Double.isFinite(requests) || requests < 0) {
                throw new IllegalArgumentException("a limit must be a finite number of at least 0, not " + requests);
            }
        }
    }

    /** It names no limit. */
    record Unlimited() implements StatedLimit {}

    /**
     * It says something that can't be read, so that nothing is known of it.
     *
     * @param text the beginning of what it says, for the log
     */
    record Unreadable(String text) implements StatedLimit {}
}
