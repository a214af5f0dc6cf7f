package org.cuminshelf.direct;

/**
 * How often all entries together may send requests of a service once more.
 *
 * @param ratio        repeats for each request
 * @param allowance    repeats beyond that in each window
 * @param windowMillis length of the sliding window
 */
public record RetryLimits(double ratio, double allowance, long windowMillis) {

    /** The usual limits where a deployment states none: one in five, and ten in ten seconds. */
    public static final RetryLimits DEFAULT = new RetryLimits(0.2, 10, 10_000);
}
