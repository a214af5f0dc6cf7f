package org.cuminshelf.routes;

/**
 * What the engines of a service can do.
 *
 * @param slots       requests that run at once
 * @param cacheTokens tokens of KV cache that fit its memory
 */
public record EngineLimits(int slots, long cacheTokens) {}
