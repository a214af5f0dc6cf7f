package org.cuminshelf.engines;

/**
 * Prompt times of the engines of one role: a latency that neither delays other prompts nor is delayed by them, and the
 * time for which the prompt occupies the engine. The latter has a part for each uncached token, a part for each pair of
 * tokens in attention, and a part for each token and stream, since a chunk of the prompt runs in a step that takes
 * longer the more streams it serves.
 */
final class PromptLatencyFit {

    private static final double THOUSANDS_PER_TOKEN = 1e-3;
    private static final double MILLIONS_PER_PAIR = 1e-6;
    /**
     * Features of a typical prompt: constant, thousands of tokens, millions of pairs, thousands of tokens times
     * streams.
     */
    private static final double[] TYPICAL_FEATURES = {1, 3, 20, 20};
    /** Prior coefficients, in milliseconds per feature: of an average engine, until some prompts have been observed. */
    private static final double[] PRIOR_PREFILL_ONLY_MILLIS = {60, 25, 0.4, 0};

    private static final double[] PRIOR_WITH_DECODE_MILLIS = {60, 50, 0.4, 0.5};
    /**
     * Prompts with a longer predicted wait are left out, as their times depend more on the queue than on the prompt.
     */
    private static final double MAX_WAIT_MILLIS = 25;

    private final RobustLinearFit fit;

    private PromptLatencyFit(RobustLinearFit fit) {
        this.fit = fit;
    }

    static PromptLatencyFit of(boolean alsoDecodes) {
        return new PromptLatencyFit(new RobustLinearFit(
                alsoDecodes ? PRIOR_WITH_DECODE_MILLIS : PRIOR_PREFILL_ONLY_MILLIS, TYPICAL_FEATURES));
    }

    void observe(PromptSample sample) {
        if (sample.waitMillis() <= MAX_WAIT_MILLIS) {
            fit.observe(
                    features(sample.cachedTokens(), sample.uncachedTokens(), sample.streams()),
                    sample.elapsedMillis() - sample.waitMillis());
        }
    }

    /** Whether the fit has as many prompts as it retains, so that it no longer depends on the prior. */
    boolean isWindowFull() {
        return fit.isWindowFull();
    }

    /** Returns the milliseconds from the end of a prefill to the engine's first output. */
    double latencyMillis() {
        return fit.coefficient(0);
    }

    /** Returns the milliseconds for which a prompt occupies the engine. */
    double prefillMillis(int cachedTokens, int uncachedTokens, int streams) {
        return fit.predict(features(cachedTokens, uncachedTokens, streams)) - fit.coefficient(0);
    }

    private static double[] features(int cachedTokens, int uncachedTokens, int streams) {
        double pairs = (double) uncachedTokens * (cachedTokens + uncachedTokens / 2.0);
        return new double[] {
            1,
            THOUSANDS_PER_TOKEN * uncachedTokens,
            MILLIONS_PER_PAIR * pairs,
            THOUSANDS_PER_TOKEN * uncachedTokens * streams
        };
    }
}
