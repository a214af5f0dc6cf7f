package org.cuminshelf.engines;

/**
 * How much slower one engine is than the others of its service: a running mean of the logarithm of what its prompts
 * took against what was expected. One observation moves it by little however far it is off, as a single pause of the
 * engine, or of the observer, says little; after several on the same side it moves faster, as the engine itself must
 * have changed.
 *
 * <p>Failure it guards against: an engine was thought slow by mistake, or was slow for a while. Nothing is sent there
 * any more, so nothing is ever seen that says otherwise, and the others carry its load. What was learnt of it fades
 * with what is seen of the others, until it is tried again.
 */
final class EngineSlowdown {

    /** Part of an observation's deviation by which the mean moves: a memory of some ten prompts. */
    private static final double SMOOTHING_WEIGHT = 0.1;
    /** The same after {@link #RUN_LENGTH} observations in a row on one side: half of the way with each. */
    private static final double RUN_SMOOTHING_WEIGHT = 0.5;
    /** By chance, five in a row lie on one side in one of sixteen. */
    private static final int RUN_LENGTH = 5;
    /** Deviation, as a logarithm, beyond which an observation counts as this much: a third more or less. */
    private static final double MAX_LOG_DEVIATION = 0.3;
    /** The same after {@link #RUN_LENGTH} observations on one side: an engine may turn ten times slower at once. */
    private static final double MAX_RUN_LOG_DEVIATION = 1.2;
    /**
     * Bounds of the logarithm: three quarters of the usual time, and ten times it. An engine thought still faster by
     * mistake would draw all prompts.
     */
    private static final double MIN_LOG_FACTOR = Math.log(0.75);

    private static final double MAX_LOG_FACTOR = Math.log(10);
    /** Observations of the service after which a third of what was learnt is left: ten seconds at 30 a second. */
    private static final double DECAY_OBSERVATIONS = 300;

    private double logFactor;
    private long lastObservation;
    /** Observations in a row above the expectation, or below it if negative. */
    private int run;

    /**
     * Takes an observation.
     *
     * @param count    observations of the service so far
     * @param ratio    what the prompt took, as times of what was expected of this engine
     * @param ownShare part of the expectation that was the engine's own time, not that of the prompts before it
     */
    void observe(long count, double ratio, double ownShare) {
        run = ratio > 1 ? Math.max(1, run + 1) : Math.min(-1, run - 1);
        boolean isRun = Math.abs(run) >= RUN_LENGTH;
        double maxDeviation = isRun ? MAX_RUN_LOG_DEVIATION : MAX_LOG_DEVIATION;
        double deviation = Math.clamp(Math.log(ratio), -maxDeviation, maxDeviation);
        double weight = ownShare * (isRun ? RUN_SMOOTHING_WEIGHT : SMOOTHING_WEIGHT);
        logFactor = Math.clamp(decayedLogFactor(count) + weight * deviation, MIN_LOG_FACTOR, MAX_LOG_FACTOR);
        lastObservation = count;
    }

    /** Times as long that the engine takes, after so many observations of the service. */
    double factor(long count) {
        return Math.exp(decayedLogFactor(count));
    }

    private double decayedLogFactor(long count) {
        return logFactor * Math.exp((lastObservation - count) / DECAY_OBSERVATIONS);
    }
}
