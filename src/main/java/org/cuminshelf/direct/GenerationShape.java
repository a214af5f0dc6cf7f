package org.cuminshelf.direct;

import java.util.List;

/**
 * What a generation asks of an engine.
 *
 * @param model        the model
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens tokens expected to be generated
 * @param segments      the prompt's parts in order; the last is the request's own
 */
public record GenerationShape(String model, int promptTokens, int outputTokens, List<PromptSegment> segments) {}
