package org.cuminshelf.engines;

/**
 * Milliseconds of prefill that may be in progress at an engine that also decodes.
 *
 * <p>Such an engine prefills prompts in chunks between the tokens of its streams, and each chunk prolongs their pauses.
 * How much differs between engines and is not configured; what is configured is the longest pause that callers accept.
 * So the allowance adapts to observed pauses: it grows while they stay below that limit and shrinks if some exceed it.
 */
public final class PrefillAllowance {

    /** Initial allowance: a prompt of typical length. Three streams with too long a pause reduce it to a third. */
    private static final double INITIAL_MILLIS = 300;
    /** With less, the engines of a service without any prefill engine would accept no request at all. */
    private static final double MIN_MILLIS = 20;
    /** More than a prompt may wait in any case. */
    private static final double MAX_MILLIS = 1_000;
    /** Fraction of the limit that pauses may reach: one stream in ten exceeds the pauses observed before. */
    private static final double SAFE_PAUSE_SHARE = 0.8;
    /** Growth for each stream within the limit; about 70 of them double the allowance. */
    private static final double GROWTH_FACTOR = 1.01;
    /** Reduction for each other stream: the allowance is constant if one stream in forty has too long a pause. */
    private static final double SHRINK_FACTOR = 0.68;

    private double millis = INITIAL_MILLIS;

    private PrefillAllowance() {}

    /**
     * Creates an allowance without observations.
     *
     * @return the allowance
     */
    static PrefillAllowance create() {
        return new PrefillAllowance();
    }

    /**
     * Adds the observation of a stream that ended.
     *
     * @param longestPauseMillis its longest pause between two events, in milliseconds
     * @param maxPauseMillis     the longest pause that its caller accepts, in milliseconds; 0 if none is configured
     */
    public void observe(double longestPauseMillis, double maxPauseMillis) {
        if (maxPauseMillis <= 0) {
            return;
        }
        boolean withinLimit = longestPauseMillis <= SAFE_PAUSE_SHARE * maxPauseMillis;
        millis = Math.clamp(millis * (withinLimit ? GROWTH_FACTOR : SHRINK_FACTOR), MIN_MILLIS, MAX_MILLIS);
    }

    /**
     * Returns the current allowance.
     *
     * @return milliseconds
     */
    public double millis() {
        return millis;
    }
}
