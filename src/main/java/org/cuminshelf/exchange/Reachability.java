package org.cuminshelf.exchange;

/** Result of an attempt to connect to an address. */
public enum Reachability {
    /** The connection was established: a process listens on the address. */
    LISTENING,
    /** The VM refused the connection: no process listens on the address any more. */
    REFUSED,
    /** The attempt timed out or failed otherwise: the VM may be down or the network partitioned. */
    UNKNOWN
}
