package org.cuminshelf.direct;

import java.util.List;

/**
 * The properties of a generation that determine its cost.
 *
 * @param model        the name of the model
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens tokens expected to be generated
 * @param segments     the segments of the prompt in order; the last one is unique to the request
 */
public record GenerationShape(String model, int promptTokens, int outputTokens, List<PromptSegment> segments) {

    /**
     * Returns the segments that other requests may share: all but the last.
     *
     * @return the segments in order
     */
    List<PromptSegment> sharedSegments() {
        return segments.subList(0, Math.max(0, segments.size() - 1));
    }
}
