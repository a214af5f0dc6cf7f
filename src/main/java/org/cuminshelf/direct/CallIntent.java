package org.cuminshelf.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.organisations.RequestApiKeys;

/**
 * The properties of a caller's request that its routing depends on, extracted from its headers and body.
 *
 * @param id             the request's identifier from the caller; empty if there is none
 * @param deadlineMillis milliseconds until the caller stops waiting; empty if it states none
 * @param generation     the shape of the generation, if the request is one
 * @param resumeAfter    the last event that the caller has received, if it resumes a stream
 * @param resumedRequest id of the request that brought the first event of that stream, if the caller names it
 * @param keys           the caller's keys in the request
 */
public record CallIntent(
        String id,
        OptionalLong deadlineMillis,
        Optional<GenerationShape> generation,
        OptionalLong resumeAfter,
        Optional<String> resumedRequest,
        RequestApiKeys keys) {

    /**
     * Returns the id that a stream has over all tries of its caller: that of the request that brought its first event.
     *
     * @return the id
     */
    String stream() {
        return resumedRequest.orElse(id);
    }
}
