package org.cuminshelf.direct;

/** Takes one line for each decision that touches a request or changes what the process believes. It never blocks. */
public interface DecisionLog {

    /**
     * Notes a decision.
     *
     * @param kind   what it is about, such as {@code upstream} or {@code request}
     * @param id     names that which it is about
     * @param fields names and values by turns: the inputs, their age or version, the outcome
     */
    void note(String kind, String id, Object... fields);

    /**
     * Notes the ordinary end of a request; under load only some of these are written.
     *
     * @param id     names the request
     * @param fields names and values by turns
     */
    void noteCompletion(String id, Object... fields);

    /**
     * A log that keeps nothing.
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
