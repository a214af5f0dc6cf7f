package org.cuminshelf.engines;

/**
 * How many milliseconds of prompts may be under way at an engine that also generates.
 *
 * <p>Prompts there are read in chunks between the tokens of streams, whose pauses grow with each chunk. How much they
 * grow differs by engine and is not stated; what is stated is the longest pause that callers take as being on time. So
 * the allowance follows the pauses that are seen: it grows while they stay short of that and shrinks when some don't.
 */
public final class PrefillAllowance {

    /** Milliseconds at the beginning: a prompt of usual length. Four streams that pause too long make it a third. */
    private static final double INITIAL_MILLIS = 300;
    /** With less, engines of a service without any that only reads prompts would take no request at all. */
    private static final double MIN_MILLIS = 20;
    /** More than a prompt may wait in any case. */
    private static final double MAX_MILLIS = 1_000;
    /** Part of the longest pause allowed that a stream may come near to: one in ten goes beyond what was seen. */
    private static final double SAFE_PAUSE_SHARE = 0.8;
    /** Growth with each stream that went well; after some 70 of them the allowance has doubled. */
    private static final double GROWTH_FACTOR = 1.01;
    /** Shrinking with each that did not: the allowance stands still where one stream in forty has such a pause. */
    private static final double SHRINK_FACTOR = 0.68;

    private double millis = INITIAL_MILLIS;

    private PrefillAllowance() {}

    /**
     * Makes an allowance that has seen no stream.
     *
     * @return the allowance
     */
    static PrefillAllowance create() {
        return new PrefillAllowance();
    }

    /**
     * Learns from a stream that ended.
     *
     * @param longestPauseMillis its longest pause between two events, in milliseconds
     * @param maxPauseMillis      the longest pause that its caller takes as being on time; 0 if none is stated
     */
    public void observe(double longestPauseMillis, double maxPauseMillis) {
        if (maxPauseMillis <= 0) {
            return;
        }
        boolean withinLimit = longestPauseMillis <= SAFE_PAUSE_SHARE * maxPauseMillis;
        millis = Math.clamp(millis * (withinLimit ? GROWTH_FACTOR : SHRINK_FACTOR), MIN_MILLIS, MAX_MILLIS);
    }

    /**
     * The allowance now.
     *
     * @return milliseconds
     */
    public double millis() {
        return millis;
    }
}
