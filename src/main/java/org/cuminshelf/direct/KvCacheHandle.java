package org.cuminshelf.direct;

import org.cuminshelf.core.Address;

/**
 * KV cache that an engine holds for another one to take, once.
 *
 * @param engine the engine that holds it
 * @param handle its name there
 */
public record KvCacheHandle(Address engine, String handle) {}
