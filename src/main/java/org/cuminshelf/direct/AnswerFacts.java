package org.cuminshelf.direct;

import java.util.Optional;

/**
 * What the head of an upstream's answer says about the request.
 *
 * @param requestId   the request it answers, as far as it says
 * @param notExecuted whether the upstream states that the request did not run
 * @param start       identity of the start that answered, as far as it says
 * @param authentic   whether the answer is that of a run, by the upstream's own mark
 */
public record AnswerFacts(Optional<String> requestId, boolean notExecuted, Optional<String> start, boolean authentic) {

    /** Whether another start of an upstream has the address by now. */
    boolean isOtherThan(String expected) {
        return notExecuted && start.isPresent() && !start.get().equals(expected);
    }
}
