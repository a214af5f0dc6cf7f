package org.cuminshelf.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.core.Address;

/**
 * Parameters of the request that one attempt sends to its upstream.
 *
 * @param upstream        identity of the upstream's start; another start at its address must refuse the request
 * @param organisation    the organisation on whose behalf the request runs
 * @param remainingMillis milliseconds left for the answer
 * @param priority        priority in the upstream's queue, from 0 for the first to 9 for the last
 * @param prefillOnly     whether the upstream only prefills the prompt, for another engine to generate the answer
 * @param cache           where the KV cache of the prompt can be fetched
 * @param prefixSource    another engine from which shared segments of the prompt may be fetched
 * @param resumeAfter     the last event that the caller has received
 */
public record AttemptPlan(
        String upstream,
        Optional<String> organisation,
        long remainingMillis,
        int priority,
        boolean prefillOnly,
        Optional<KvCacheHandle> cache,
        Optional<Address> prefixSource,
        OptionalLong resumeAfter) {}
