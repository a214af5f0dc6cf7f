package org.cuminshelf.direct;

/**
 * Limits on the retries of a service by all entries together.
 *
 * @param ratio        retries per request
 * @param allowance    retries in each window in addition to the ratio
 * @param windowMillis length of the sliding window in milliseconds
 */
public record RetryLimits(double ratio, double allowance, long windowMillis) {

    /** The limits if a deployment states none: one retry for five requests, and ten more in ten seconds. */
    public static final RetryLimits DEFAULT = new RetryLimits(0.2, 10, 10_000);
}
