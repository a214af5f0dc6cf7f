package org.cuminshelf.direct;

/**
 * A retry that the {@link ServiceRetryBudget} has granted. It counts in every window until its request is sent, and
 * then in those that hold the time of sending.
 */
final class RetryGrant {

    /** Slice of a grant whose request has not been sent. */
    private static final long NOT_SENT = Long.MIN_VALUE;

    private final String service;
    private long sentInSlice = NOT_SENT;

    RetryGrant(String service) {
        this.service = service;
    }

    String service() {
        return service;
    }

    /** Returns the number of the slice in which its request was sent. */
    long sentInSlice() {
        return sentInSlice;
    }

    void markSent(long slice) {
        sentInSlice = slice;
    }

    void markNotSent() {
        sentInSlice = NOT_SENT;
    }
}
