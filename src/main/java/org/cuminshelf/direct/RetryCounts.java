package org.cuminshelf.direct;

/** Counts the decisions on retries since the start of this entry. */
final class RetryCounts {

    private long granted;
    private long givenBack;
    private long sentPrefills;
    private long sentRuns;
    private long refused;

    void onGranted() {
        granted++;
    }

    void onGivenBack() {
        givenBack++;
    }

    void onSent(boolean prefill) {
        sentPrefills += prefill ? 1 : 0;
        sentRuns += prefill ? 0 : 1;
    }

    void onNotSent(boolean prefill) {
        sentPrefills -= prefill ? 1 : 0;
        sentRuns -= prefill ? 0 : 1;
    }

    void onRefused() {
        refused++;
    }

    /** Retries that were taken from the budget. */
    long granted() {
        return granted;
    }

    /** Retries that were taken and not used. */
    long givenBack() {
        return givenBack;
    }

    /** Prefills beyond the first arrival of their request that were sent. */
    long sentPrefills() {
        return sentPrefills;
    }

    /** Runs beyond the first arrival of their request that were sent. */
    long sentRuns() {
        return sentRuns;
    }

    /** Calls that were not retried as the budget had nothing left. */
    long refused() {
        return refused;
    }
}
