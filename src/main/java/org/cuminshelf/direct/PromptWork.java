package org.cuminshelf.direct;

/**
 * The time an engine needs for a prompt, in milliseconds at full speed. Two terms: one for each token, and one for
 * each pair of tokens that attention joins, which makes a prompt of 50,000 tokens cost 1.7 times what its tokens alone
 * say. Figures are those of the deployments' engines: 85.2 tokens a millisecond, 0.275 ms for a million pairs.
 */
final class PromptWork {

    private static final double TOKENS_PER_MILLI = 85.2;
    private static final double MILLIS_PER_PAIR = 0.275e-6;

    private PromptWork() {}

    /** Tokens that take as long, for those who count in tokens. */
    static long tokens(double millis) {
        return Math.round(millis * TOKENS_PER_MILLI);
    }

    /** Milliseconds for the tokens of a prompt that follow those held in the cache. */
    static double millis(int held, int uncached) {
        double pairs = (double) uncached * (held + uncached / 2.0);
        return uncached / TOKENS_PER_MILLI + pairs * MILLIS_PER_PAIR;
    }
}
