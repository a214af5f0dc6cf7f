package org.cuminshelf.exchange;

/** What an attempt to open a connection showed. */
public enum Reachability {
    /** A connection was opened: some process listens there. */
    LISTENING,
    /** The VM answered that nobody listens there: the process that did has ended. */
    REFUSED,
    /** Nothing came back in time, or something else failed: the VM may be down, or the way to it cut. */
    UNKNOWN
}
