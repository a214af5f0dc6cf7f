package org.cuminshelf.routes;

/** Whether a request may be repeated. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; runs at most once unless its route is resumable. */
    STREAM
}
