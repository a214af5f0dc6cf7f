package org.cuminshelf.engines;

/**
 * How many milliseconds of prompts may be under way at an engine that also generates.
 *
 * <p>Prompts there are read in chunks between the tokens of streams, whose pauses grow with each chunk. How much they
 * grow differs by engine and is not stated; what is stated is the longest pause that callers take as being on time. So
 * the allowance follows the pauses that are seen: it grows while they stay short of that and shrinks when some don't.
 */
public final class ReadingAllowance {

    /** Milliseconds at the beginning: a prompt of usual length. Four streams that pause too long make it a third. */
    private static final double FIRST = 300;
    /** With less, engines of a service without any that only reads prompts would take no request at all. */
    private static final double LEAST = 20;
    /** More than a prompt may wait in any case. */
    private static final double MOST = 1_000;
    /** Part of the longest pause allowed that a stream may come near to: one in ten goes beyond what was seen. */
    private static final double SAFE_SHARE = 0.8;
    /** Growth with each stream that went well; after some 70 of them the allowance has doubled. */
    private static final double GROWTH = 1.01;
    /** Shrinking with each that did not: the allowance stands still where one stream in forty has such a pause. */
    private static final double SHRINKING = 0.68;

    private double millis = FIRST;

    private ReadingAllowance() {}

    /**
     * Makes an allowance that has seen no stream.
     *
     * @return the allowance
     */
    static ReadingAllowance fresh() {
        return new ReadingAllowance();
    }

    /**
     * Learns from a stream that ended.
     *
     * @param longestPauseMillis its longest pause between two events, in milliseconds
     * @param allowedMillis      the longest pause that its caller takes as being on time; 0 if none is stated
     */
    public void observe(double longestPauseMillis, double allowedMillis) {
        if (allowedMillis <= 0) {
            return;
        }
        boolean well = longestPauseMillis <= SAFE_SHARE * allowedMillis;
        millis = Math.clamp(millis * (well ? GROWTH : SHRINKING), LEAST, MOST);
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
