package org.cuminshelf.engines;

/**
 * Factor by which one engine is slower than the others of its service: a running mean of the logarithm of actual over
 * predicted prompt times. A single observation has little effect however large its deviation, since one pause of the
 * engine or of the observer is not significant; after several observations on the same side the mean moves faster,
 * since the engine must have changed.
 *
 * <p>An engine may be estimated as slow by mistake, or have been slow for a while. It then receives no prompts, so that
 * no observation corrects the estimate, while the others carry its load. So the estimate decays with the observations
 * of the whole service, until the engine is used again.
 */
final class EngineSlowdown {

    /** Fraction of a deviation by which the mean moves, which averages over about ten prompts. */
    private static final double SMOOTHING_WEIGHT = 0.1;
    /** The same after {@link #RUN_LENGTH} successive observations on one side: half of the deviation. */
    private static final double RUN_SMOOTHING_WEIGHT = 0.5;
    /** By chance, five successive observations are on one side in one of sixteen cases. */
    private static final int RUN_LENGTH = 5;
    /** Logarithm to which a deviation is clamped: about a third more or less than predicted. */
    private static final double MAX_LOG_DEVIATION = 0.3;
    /** The same after {@link #RUN_LENGTH} observations on one side: an engine may become ten times slower at once. */
    private static final double MAX_RUN_LOG_DEVIATION = 1.2;
    /**
     * Bounds of the logarithm: three quarters and ten times the usual time. An engine that is estimated as still faster
     * by mistake would attract all prompts, so that the lower bound is extended only while prompts agree.
     */
    private static final double MIN_LOG_FACTOR = Math.log(0.75);
    /** Extension of the lower bound for each prompt that was faster still: double the speed takes seven prompts. */
    private static final double LOG_EXTENSION_PER_PROMPT = 0.06;
    /** Prompts that extend the lower bound at most: to a fifth of the usual time. */
    private static final double MAX_FAST_PROMPTS = 22;
    /**
     * Fraction of the extension that a prompt which was not faster than the lower bound leaves: two of them revoke most
     * of it.
     */
    private static final double DISAGREEMENT_FACTOR = 0.5;

    private static final double MAX_LOG_FACTOR = Math.log(10);
    /** Observations of the service after which the estimate has decayed to 1/e: ten seconds at 30 a second. */
    private static final double DECAY_OBSERVATIONS = 300;

    private double logFactor;
    private long lastObservation;
    /** Successive observations above the prediction, or below it if negative. */
    private int run;
    /** Prompts in agreement that the engine is faster than the lower bound, less those that were not. */
    private double fastPrompts;

    /**
     * Adds an observation.
     *
     * @param count    observations of the service so far
     * @param ratio    actual time of the prompt divided by the time predicted for this engine
     * @param ownShare fraction of the predicted time that the engine spends on this prompt, not on the prompts before
     *                 it
     * @param fitKnown whether the fit no longer depends on its prior, which would make average engines seem fast
     */
    void observe(long count, double ratio, double ownShare, boolean fitKnown) {
        run = ratio > 1 ? Math.max(1, run + 1) : Math.min(-1, run - 1);
        boolean isRun = Math.abs(run) >= RUN_LENGTH;
        double maxDeviation = isRun ? MAX_RUN_LOG_DEVIATION : MAX_LOG_DEVIATION;
        double deviation = Math.clamp(Math.log(ratio), -maxDeviation, maxDeviation);
        double before = decayedLogFactor(count);
        if (fitKnown) {
            countFastPrompt(before + deviation, ownShare);
        }
        double weight = ownShare * (isRun ? RUN_SMOOTHING_WEIGHT : SMOOTHING_WEIGHT);
        double minLogFactor = MIN_LOG_FACTOR - LOG_EXTENSION_PER_PROMPT * fastPrompts;
        logFactor = Math.clamp(before + weight * deviation, minLogFactor, MAX_LOG_FACTOR);
        lastObservation = count;
    }

    private void countFastPrompt(double logTime, double ownShare) {
        fastPrompts = logTime < MIN_LOG_FACTOR
                ? Math.min(MAX_FAST_PROMPTS, fastPrompts + ownShare)
                : fastPrompts * (1 - ownShare * (1 - DISAGREEMENT_FACTOR));
    }

    /** Returns the factor on predicted times after a number of observations of the service. */
    double factor(long count) {
        return Math.exp(decayedLogFactor(count));
    }

    private double decayedLogFactor(long count) {
        return logFactor * Math.exp((lastObservation - count) / DECAY_OBSERVATIONS);
    }
}
