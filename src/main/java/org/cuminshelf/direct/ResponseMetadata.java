package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.backpressure.BackpressureSignals;

/**
 * What the head of an upstream's answer says about the request.
 *
 * @param requestId   the request it answers, as far as it says
 * @param notExecuted whether the upstream states that the request did not run
 * @param instanceId     identity of the start that answered, as far as it says
 * @param authentic   whether the answer is that of a run, by the upstream's own mark
 * @param backpressure   what it asks of those that send requests
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notExecuted,
        Optional<String> instanceId,
        boolean authentic,
        BackpressureSignals backpressure) {

    /** Whether another start of an upstream has the address by now. */
    boolean isFromOtherInstance(String expectedInstance) {
        return notExecuted && instanceId.isPresent() && !instanceId.get().equals(expectedInstance);
    }
}
