package org.cuminshelf.engines;

/**
 * One prompt that an engine took in, as an entry saw it.
 *
 * @param engine        names the engine
 * @param alsoDecodes whether the engine also generates
 * @param streams       streams that ran there when the prompt was sent
 * @param cachedTokens          tokens at the prompt's beginning that the engine was believed to hold
 * @param uncachedTokens      the other tokens of the prompt
 * @param waitMillis    milliseconds that the prompts sent before it were believed to take still
 * @param elapsedMillis    milliseconds from sending the prompt to the first sign that it was taken in
 */
public record PromptSample(
        String engine,
        boolean alsoDecodes,
        int streams,
        int cachedTokens,
        int uncachedTokens,
        double waitMillis,
        double elapsedMillis) {}
