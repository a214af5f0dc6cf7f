package org.cuminshelf.planning;

/**
 * Work offered, in tokens since the start.
 *
 * @param promptTokens prompt tokens not cached
 * @param outputTokens output tokens expected
 */
public record Demand(long promptTokens, long outputTokens) {}
