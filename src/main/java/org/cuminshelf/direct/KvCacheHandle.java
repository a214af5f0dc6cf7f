package org.cuminshelf.direct;

import org.cuminshelf.core.Address;

/**
 * Reference to a KV cache that an engine retains for another engine, which can fetch it once.
 *
 * @param engine address of the engine that retains it
 * @param handle its identifier at that engine
 * @param version version of that engine's software, which alone can read it
 */
public record KvCacheHandle(Address engine, String handle, String version) {}
