package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.backpressure.BackpressureSignals;

/**
 * What the head of an upstream's answer says about the request.
 *
 * @param requestId   the request it answers, as far as it says
 * @param notExecuted whether the upstream states that the request did not run
 * @param start       identity of the start that answered, as far as it says
 * @param authentic   whether the answer is that of a run, by the upstream's own mark
 * @param demands     what it asks of those that send requests
 */
public record AnswerFacts(
        Optional<String> requestId,
        boolean notExecuted,
        Optional<String> start,
        boolean authentic,
        BackpressureSignals demands) {

    /** Whether another start of an upstream has the address by now. */
    boolean isOtherThan(String expected) {
        return notExecuted && start.isPresent() && !start.get().equals(expected);
    }
}
