package org.cuminshelf.routes;

/**
 * The capacity of each engine of a service.
 *
 * @param slots           maximum number of concurrent requests, at least 1
 * @param kvCacheTokens   size of the KV cache in tokens; 0 if not stated
 * @param tokensPerEvent  tokens in one event of a stream, at least 1
 * @param kvBytesPerToken size of the KV cache of one token in bytes; 0 if not stated
 */
public record EngineCapacity(int slots, long kvCacheTokens, int tokensPerEvent, double kvBytesPerToken) {

    /**
     * Replaces invalid values as if they were not stated: a policy that divides by them would refuse all requests.
     */
    public EngineCapacity {
        slots = Math.max(1, slots);
        kvCacheTokens = Math.max(0, kvCacheTokens);
        tokensPerEvent = Math.max(1, tokensPerEvent);
        kvBytesPerToken = Double.isFinite(kvBytesPerToken) ? Math.max(0, kvBytesPerToken) : 0;
    }
}
