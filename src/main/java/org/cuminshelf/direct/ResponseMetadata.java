package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.backpressure.BackpressureSignals;

/**
 * What the head of an upstream response states about the request and the upstream.
 *
 * @param requestId    id of the request that it belongs to, if stated
 * @param notExecuted  whether the upstream states that the request did not run
 * @param instanceId   id of the upstream instance that responded, if stated
 * @param authentic    whether it carries the upstream's mark of a genuine response
 * @param backpressure limits and pauses that the upstream requests of its clients
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notExecuted,
        Optional<String> instanceId,
        boolean authentic,
        BackpressureSignals backpressure) {

    /** Whether the request was rejected because another instance has the address now. */
    boolean isFromOtherInstance(String expectedInstance) {
        return notExecuted && instanceId.isPresent() && !instanceId.get().equals(expectedInstance);
    }
}
