package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.backpressure.BackpressureSignals;

/**
 * What the head of an upstream response states about the request and the upstream.
 *
 * @param requestId    id of the request that it belongs to, if stated
 * @param notExecuted  whether the upstream states that the request did not run
 * @param upstreamName name of the upstream that responded, if stated
 * @param authentic    whether it carries the upstream's mark of a genuine response
 * @param backpressure limits and backoffs that the upstream requests of its clients
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notExecuted,
        Optional<String> upstreamName,
        boolean authentic,
        BackpressureSignals backpressure) {

    /** Whether the request was rejected because another upstream has the address now. */
    boolean isFromOtherUpstream(String expectedName) {
        return notExecuted && upstreamName.isPresent() && !upstreamName.get().equals(expectedName);
    }
}
