package org.cuminshelf.organisations;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation on whose behalf callers send requests.
 *
 * @param name     the name of the organisation, which is sent to upstreams
 * @param keys     the digests of its API keys
 * @param priority priority of its calls, which overrides that of the route, 0 being the highest; empty if not stated
 */
public record Organisation(String name, List<ApiKeyDigest> keys, OptionalInt priority) {

    /** Takes a copy of the list. */
    public Organisation {
        keys = List.copyOf(keys);
    }
}
