package org.cuminshelf.engines;

/**
 * How long engines of one role take for a prompt. A latency that no work of others adds to or is delayed by, and the
 * engine's own time: a part for each token that is not cached, a part for each pair of tokens that attention joins, and
 * a part for each token and stream, as a chunk of the prompt goes into a step that grows with the streams in it.
 */
final class PromptTimes {

    private static final double TOKENS = 1e-3;
    private static final double PAIRS = 1e-6;
    /** Sizes of a usual prompt: its latency, thousands of tokens, millions of pairs, thousands of tokens by streams. */
    private static final double[] USUAL = {1, 3, 20, 20};
    /** Milliseconds before anything is known: of a middling engine, until it has answered some prompts. */
    private static final double[] PRIOR_ALONE = {60, 25, 0.4, 0};

    private static final double[] PRIOR_BESIDE_STREAMS = {60, 50, 0.4, 0.5};
    /** Prompts that waited longer than this tell more of the queue than of themselves. */
    private static final double MOST_WAIT_MILLIS = 25;

    private final RobustFit fit;

    private PromptTimes(RobustFit fit) {
        this.fit = fit;
    }

    static PromptTimes of(boolean besideStreams) {
        return new PromptTimes(new RobustFit(besideStreams ? PRIOR_BESIDE_STREAMS : PRIOR_ALONE, USUAL));
    }

    void observe(PromptSample sample) {
        if (sample.waitMillis() <= MOST_WAIT_MILLIS) {
            fit.observe(
                    features(sample.held(), sample.uncached(), sample.streams()),
                    sample.tookMillis() - sample.waitMillis());
        }
    }

    /** Milliseconds between the end of the engine's work on a prompt and the first sign of it. */
    double latencyMillis() {
        return fit.coefficient(0);
    }

    /** Milliseconds for which the engine is taken up by a prompt. */
    double workMillis(int held, int uncached, int streams) {
        return fit.expect(features(held, uncached, streams)) - fit.coefficient(0);
    }

    private static double[] features(int held, int uncached, int streams) {
        double pairs = (double) uncached * (held + uncached / 2.0);
        return new double[] {1, TOKENS * uncached, PAIRS * pairs, TOKENS * uncached * streams};
    }
}
