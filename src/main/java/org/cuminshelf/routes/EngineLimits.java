package org.cuminshelf.routes;

/**
 * What the engines of a service can do.
 *
 * @param slots          requests that run at once
 * @param cacheTokens    tokens of KV cache that fit its memory; 0 if that is not stated
 * @param tokensPerEvent tokens in one event of a stream
 * @param tokenBytes     bytes of KV cache for each token; 0 if that is not stated
 */
public record EngineLimits(int slots, long cacheTokens, int tokensPerEvent, double tokenBytes) {

    /**
     * Checks what is stated. Absurd figures count as not stated: a policy that divides by them would refuse all.
     */
    public EngineLimits {
        slots = Math.max(1, slots);
        cacheTokens = Math.max(0, cacheTokens);
        tokensPerEvent = Math.max(1, tokensPerEvent);
        tokenBytes = Double.isFinite(tokenBytes) ? Math.max(0, tokenBytes) : 0;
    }
}
