package org.cuminshelf.engines;

/**
 * Observation of one prompt that an engine prefilled.
 *
 * @param engine         the name of the engine
 * @param alsoDecodes    whether the engine also generates output
 * @param streams        streams that ran on the engine when the prompt was sent
 * @param cachedTokens   tokens at the beginning of the prompt that the engine was expected to have in its cache
 * @param uncachedTokens the other tokens of the prompt
 * @param waitMillis     predicted milliseconds that earlier prompts still occupied the engine
 * @param elapsedMillis  milliseconds from sending the prompt to the engine's first output
 */
public record PromptSample(
        String engine,
        boolean alsoDecodes,
        int streams,
        int cachedTokens,
        int uncachedTokens,
        double waitMillis,
        double elapsedMillis) {}
