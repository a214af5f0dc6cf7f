package org.cuminshelf.direct;

/**
 * What a prompt is expected to take at one engine.
 *
 * @param cachedTokens        tokens of it that the engine holds, or can fetch from another
 * @param uncachedTokens    tokens that it has to read
 * @param queueMillis  milliseconds for the prompts before it
 * @param prefillMillis  milliseconds for which it takes up the engine
 * @param firstEventMillis milliseconds to the first event, all told
 */
record PromptEstimate(
        int cachedTokens, int uncachedTokens, double queueMillis, double prefillMillis, double firstEventMillis) {

    /** The estimate for what has no prompt to be read. */
    static PromptEstimate withoutPrefill(double firstEventMillis) {
        return new PromptEstimate(0, 0, 0, 0, firstEventMillis);
    }
}
