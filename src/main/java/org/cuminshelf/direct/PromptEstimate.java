package org.cuminshelf.direct;

/**
 * What a prompt is expected to take at one engine.
 *
 * @param held        tokens of it that the engine holds, or can fetch from another
 * @param uncached    tokens that it has to read
 * @param waitMillis  milliseconds for the prompts before it
 * @param workMillis  milliseconds for which it takes up the engine
 * @param firstMillis milliseconds to the first event, all told
 */
record PromptEstimate(int held, int uncached, double waitMillis, double workMillis, double firstMillis) {

    /** The estimate for what has no prompt to be read. */
    static PromptEstimate ofFirst(double firstMillis) {
        return new PromptEstimate(0, 0, 0, 0, firstMillis);
    }
}
