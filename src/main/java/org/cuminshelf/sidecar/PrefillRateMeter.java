package org.cuminshelf.sidecar;

/**
 * The prefill rate of the upstream in prompt tokens per second, as an exponentially weighted moving average over the
 * time in which prompts are pending. An engine processes prompts far more slowly beside running streams than without
 * them, so a time to first token estimated from its speed without other work would be too short.
 */
final class PrefillRateMeter {

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;
    /** The time of shorter prompts depends more on the batch step that they share than on the prefill rate. */
    private static final long MIN_SAMPLE_TOKENS = 128;

    private double meanTokensPerSecond;
    private long sampleStart;
    private long sampleTokens;

    /** Records a new prompt, and the tokens that were pending before it. */
    void promptQueued(long now, long pendingTokensBefore) {
        if (pendingTokensBefore == 0) {
            sampleStart = now;
            sampleTokens = 0;
        }
    }

    /** Records that the upstream has processed a prompt. */
    void promptProcessed(long now, long tokens) {
        sampleTokens += tokens;
        if (sampleTokens < MIN_SAMPLE_TOKENS || now <= sampleStart) {
            return;
        }
        double tokensPerSecond = sampleTokens * NANOS_PER_SECOND / (now - sampleStart);
        meanTokensPerSecond = meanTokensPerSecond == 0
                ? tokensPerSecond
                : meanTokensPerSecond + SMOOTHING_FACTOR * (tokensPerSecond - meanTokensPerSecond);
        sampleStart = now;
        sampleTokens = 0;
    }

    int tokensPerSecond() {
        return (int) Math.min(Integer.MAX_VALUE, meanTokensPerSecond);
    }
}
