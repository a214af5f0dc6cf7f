package org.cuminshelf.direct;

/**
 * Expected time of a prompt at one engine.
 *
 * @param cachedTokens     tokens of the prompt that the engine has cached or can fetch from another engine
 * @param uncachedTokens   tokens that the engine has to prefill
 * @param queueMillis      milliseconds for the prompts queued before it
 * @param prefillMillis    milliseconds for which the prompt occupies the engine, including the fetching of cached
 *                         tokens
 * @param firstEventMillis milliseconds from sending to the first event, the other times included
 */
record PromptEstimate(
        int cachedTokens, int uncachedTokens, double queueMillis, double prefillMillis, double firstEventMillis) {

    /** Returns the estimate for a request without a prompt to prefill. */
    static PromptEstimate withoutPrefill(double firstEventMillis) {
        return new PromptEstimate(0, 0, 0, 0, firstEventMillis);
    }
}
