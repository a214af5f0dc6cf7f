package org.cuminshelf.organisations;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation in whose name callers ask.
 *
 * @param name     its name, which upstreams are told
 * @param keys     the keys of its callers
 * @param priority rank of its calls, 0 first, in place of that of their route; nothing where it states none
 */
public record Organisation(String name, List<ApiKeyDigest> keys, OptionalInt priority) {

    /** Takes a copy of the keys. */
    public Organisation {
        keys = List.copyOf(keys);
    }
}
