package org.cuminshelf.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.core.Address;

/**
 * What one attempt asks of its upstream.
 *
 * @param upstream        identity of the upstream's start; another one at its address must refuse
 * @param organisation    the organisation in whose name it runs
 * @param remainingMillis time left for the answer
 * @param priority        place in the upstream's queue, 0 first, 9 last
 * @param prefillOnly     whether only the prompt is to be taken in, for another engine to go on from
 * @param cache           where the KV cache of the prompt can be fetched
 * @param prefixSource      another engine from which shared parts of the prompt may be fetched
 * @param resumeAfter     the last event that the caller holds
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
