package org.cuminshelf.direct;

import org.cuminshelf.core.Address;

/**
 * Reference to a KV cache that an engine retains for another engine, which can fetch it once.
 *
 * @param engine address of the engine that retains it
 * @param handle its identifier at that engine
 */
public record KvCacheHandle(Address engine, String handle) {}
