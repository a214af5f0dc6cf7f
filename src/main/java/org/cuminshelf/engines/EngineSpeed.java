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
final class EngineSpeed {

    /** Part of an observation's deviation by which the mean moves: a memory of some ten prompts. */
    private static final double WEIGHT = 0.1;
    /** The same after {@link #RUN} observations in a row on one side: half of the way with each. */
    private static final double RUN_WEIGHT = 0.5;
    /** By chance, five in a row lie on one side in one of sixteen. */
    private static final int RUN = 5;
    /** Deviation, as a logarithm, beyond which an observation counts as this much: a third more or less. */
    private static final double MOST_DEVIATION = 0.3;
    /** The same after {@link #RUN} observations on one side: an engine may turn ten times slower at once. */
    private static final double MOST_RUN_DEVIATION = 1.2;
    /**
     * Bounds of the logarithm: three quarters of the usual time, and ten times it. An engine thought still faster by
     * mistake would draw all prompts.
     */
    private static final double LEAST = Math.log(0.75);

    private static final double MOST = Math.log(10);
    /** Observations of the service after which a third of what was learnt is left: ten seconds at 30 a second. */
    private static final double FORGETTING = 300;

    private double logarithm;
    private long observedAt;
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
        boolean changed = Math.abs(run) >= RUN;
        double most = changed ? MOST_RUN_DEVIATION : MOST_DEVIATION;
        double deviation = Math.clamp(Math.log(ratio), -most, most);
        double weight = ownShare * (changed ? RUN_WEIGHT : WEIGHT);
        logarithm = Math.clamp(faded(count) + weight * deviation, LEAST, MOST);
        observedAt = count;
    }

    /** Times as long that the engine takes, after so many observations of the service. */
    double factor(long count) {
        return Math.exp(faded(count));
    }

    private double faded(long count) {
        return logarithm * Math.exp((observedAt - count) / FORGETTING);
    }
}
