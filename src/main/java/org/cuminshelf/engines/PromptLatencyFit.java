package org.cuminshelf.engines;

/**
 * How long engines of one role take for a prompt. A latency that no work of others adds to or is delayed by, and the
 * engine's own time: a part for each token that is not cached, a part for each pair of tokens that attention joins, and
 * a part for each token and stream, as a chunk of the prompt goes into a step that grows with the streams in it.
 */
final class PromptLatencyFit {

    private static final double THOUSANDS_PER_TOKEN = 1e-3;
    private static final double MILLIONS_PER_PAIR = 1e-6;
    /** Sizes of a usual prompt: its latency, thousands of tokens, millions of pairs, thousands of tokens by streams. */
    private static final double[] TYPICAL_FEATURES = {1, 3, 20, 20};
    /** Milliseconds before anything is known: of a middling engine, until it has answered some prompts. */
    private static final double[] PRIOR_PREFILL_ONLY_MILLIS = {60, 25, 0.4, 0};

    private static final double[] PRIOR_WITH_DECODE_MILLIS = {60, 50, 0.4, 0.5};
    /** Prompts that waited longer than this tell more of the queue than of themselves. */
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

    /** Milliseconds between the end of the engine's work on a prompt and the first sign of it. */
    double latencyMillis() {
        return fit.coefficient(0);
    }

    /** Milliseconds for which the engine is taken up by a prompt. */
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
