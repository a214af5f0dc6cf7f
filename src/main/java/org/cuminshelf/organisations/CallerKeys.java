package org.cuminshelf.organisations;

import java.util.List;
import java.util.Optional;

/**
 * The keys that came with one request. More than one is as good as none: it could be read as either's request.
 *
 * @param sent all of them, as sent
 */
public record CallerKeys(List<CallerKey> sent) {

    private static final CallerKeys NONE = new CallerKeys(List.of());

    /** Takes a copy of the keys. */
    public CallerKeys {
        sent = List.copyOf(sent);
    }

    /**
     * A request without a key.
     *
     * @return no keys
     */
    public static CallerKeys none() {
        return NONE;
    }

    /**
     * The one key.
     *
     * @return the key, if there is exactly one
     */
    public Optional<CallerKey> only() {
        return sent.size() == 1 ? Optional.of(sent.getFirst()) : Optional.empty();
    }
}
