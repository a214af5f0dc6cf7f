package org.cuminshelf.routes;

/** What may be repeated of a request. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once for each request of a caller. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; runs at most once unless its route lets it be resumed. */
    STREAM
}
