package org.cuminshelf.direct;

/**
 * Logs decisions: one line for each that affects a request or changes the state on which requests are decided.
 * Implementations never block.
 */
public interface DecisionLog {

    /**
     * Logs a decision.
     *
     * @param kind   kind of its subject, such as {@code upstream} or {@code request}
     * @param id     id of its subject
     * @param fields alternating names and values: the inputs, their age or version, the outcome
     */
    void note(String kind, String id, Object... fields);

    /**
     * Logs the normal end of a request; under load only a sample of these is written.
     *
     * @param id     id of the request
     * @param fields alternating names and values
     */
    void noteCompletion(String id, Object... fields);

    /**
     * Returns a log that discards everything.
     *
     * @return the log
     */
    static DecisionLog none() {
        return new DecisionLog() {
            @Override
            public void note(String kind, String id, Object... fields) {
                // Kept nowhere on purpose.
            }

            @Override
            public void noteCompletion(String id, Object... fields) {
                // Kept nowhere on purpose.
            }
        };
    }
}
