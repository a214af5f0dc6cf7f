package org.cuminshelf.direct;

/**
 * A segment of a prompt that several requests may share.
 *
 * @param id     identity of the segment
 * @param tokens its length in tokens
 */
public record PromptSegment(String id, int tokens) {}
