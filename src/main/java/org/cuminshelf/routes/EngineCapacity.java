package org.cuminshelf.routes;

/**
 * What the engines of a service can do.
 *
 * @param slots          requests that run at once
 * @param kvCacheTokens    tokens of KV cache that fit its memory; 0 if that is not stated
 * @param tokensPerEvent tokens in one event of a stream
 * @param kvBytesPerToken     bytes of KV cache for each token; 0 if that is not stated
 */
public record EngineCapacity(int slots, long kvCacheTokens, int tokensPerEvent, double kvBytesPerToken) {

    /**
     * Checks what is stated. Absurd figures count as not stated: a policy that divides by them would refuse all.
     */
    public EngineCapacity {
        slots = Math.max(1, slots);
        kvCacheTokens = Math.max(0, kvCacheTokens);
        tokensPerEvent = Math.max(1, tokensPerEvent);
        kvBytesPerToken = Double.isFinite(kvBytesPerToken) ? Math.max(0, kvBytesPerToken) : 0;
    }
}
