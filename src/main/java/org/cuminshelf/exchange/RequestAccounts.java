package org.cuminshelf.exchange;

/** Accounts for the requests of one connection: each that was read completely has exactly one {@link RequestEnd}. */
final class RequestAccounts {

    private static final String INVARIANT = "a-read-request-ends-once";

    private final CallerConnectionLog log;
    private long readRequests;
    private long endedRequests;

    RequestAccounts(CallerConnectionLog log) {
        this.log = log;
    }

    void onRequestRead() {
        readRequests++;
        log.countRead();
    }

    void onResponseSent(RequestEnd end) {
        endedRequests++;
        log.countEnds(end, 1);
        checkNoMoreEndsThanRequests();
    }

    /** Ends the requests without a complete response in the way that the reason of the close allows. */
    void onClosed(CloseReason reason) {
        long unanswered = unanswered();
        if (unanswered > 0 && reason.unansweredEnd().isPresent()) {
            endedRequests += unanswered;
            log.countEnds(reason.unansweredEnd().get(), unanswered);
        }
        log.invariants()
                .check(
                        readRequests == endedRequests,
                        INVARIANT,
                        () -> "closed for " + reason.label() + ", requests " + readRequests + ", ended "
                                + endedRequests);
    }

    private void checkNoMoreEndsThanRequests() {
        log.invariants()
                .check(
                        endedRequests <= readRequests,
                        INVARIANT,
                        () -> "requests " + readRequests + ", ended " + endedRequests);
    }

    long readRequests() {
        return readRequests;
    }

    /** The number of requests without a complete response. */
    long unanswered() {
        return readRequests - endedRequests;
    }
}
