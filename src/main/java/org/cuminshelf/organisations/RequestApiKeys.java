package org.cuminshelf.organisations;

import java.util.List;
import java.util.Optional;

/**
 * The API keys that one request carries. A request with more than one key is treated as having no valid key, because
 * the keys could belong to different organisations.
 *
 * @param digests the digests of all keys, in the order received
 */
public record RequestApiKeys(List<ApiKeyDigest> digests) {

    private static final RequestApiKeys NONE = new RequestApiKeys(List.of());

    /** Takes a copy of the list. */
    public RequestApiKeys {
        digests = List.copyOf(digests);
    }

    /**
     * The keys of a request without a key.
     *
     * @return an empty set of keys
     */
    public static RequestApiKeys none() {
        return NONE;
    }

    /**
     * Returns the key of a request that carries exactly one.
     *
     * @return the key, or empty if the request carries none or several
     */
    public Optional<ApiKeyDigest> single() {
        return digests.size() == 1 ? Optional.of(digests.getFirst()) : Optional.empty();
    }
}
