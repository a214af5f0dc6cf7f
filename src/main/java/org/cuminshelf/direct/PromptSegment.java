package org.cuminshelf.direct;

/**
 * A part of a prompt that requests may share.
 *
 * @param id     names the part
 * @param tokens its length in tokens
 */
public record PromptSegment(String id, int tokens) {}
