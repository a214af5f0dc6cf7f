package org.cuminshelf.exchange;

import java.util.Locale;
import java.util.Optional;

/** Why the connection of a caller was closed. */
enum CloseReason {
    IDLE_TIMEOUT(null),
    DRAIN(null),
    NOT_ACCEPTING(null),
    LINGER_OVER(null),
    NOT_READ_BY_CALLER(RequestEnd.CALLER_LEFT),
    WRITE_FAILED(RequestEnd.CALLER_LEFT),
    READ_FAILED(RequestEnd.CALLER_LEFT),
    CLOSED_BY_CALLER(RequestEnd.CALLER_LEFT),
    MALFORMED_BODY(null),
    ABORTED(RequestEnd.ABORTED),
    EXCEPTION(RequestEnd.ABORTED),
    PROCESS_STOPPED(RequestEnd.STOPPED);

    private final RequestEnd unansweredEnd;

    CloseReason(RequestEnd unansweredEnd) {
        this.unansweredEnd = unansweredEnd;
    }

    /** How a request ends that has no complete response at the close; empty if there may be none. */
    Optional<RequestEnd> unansweredEnd() {
        return Optional.ofNullable(unansweredEnd);
    }

    /** The name in log lines and counters. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
