package org.cuminshelf.exchange;

import java.util.Locale;

/** The ways in which a request that was read completely may end for its caller. */
enum RequestEnd {
    /** The complete response was written to the socket. */
    ANSWERED,
    /** A complete response was written that promises that the request did not run. */
    REFUSED,
    /** The caller closed its connection, or stopped reading, before the complete response was written. */
    CALLER_LEFT,
    /** The connection was closed as the response, or its remainder after the head, could not be had. */
    ABORTED,
    /** The process stopped at the end of its grace period. */
    STOPPED;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    static RequestEnd ofStatus(int status) {
        return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE ? REFUSED : ANSWERED;
    }

    /** The name in log lines and counters. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
