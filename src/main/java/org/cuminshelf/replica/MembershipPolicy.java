package org.cuminshelf.replica;

/** How a group comes to be, and who may join it. */
public enum MembershipPolicy {
    /** All replicas are named in the settings of each; a replica whose disk was lost may come back at its address. */
    FIXED,
    /** The addresses in the settings are seeds: the group is formed by them, and any replica may join. */
    OPEN,
    /**
     * As {@link #OPEN}, but the group exists already: this replica never forms one. Guards against a replica that comes
     * back with an empty disk and makes a second, empty group with others that lost theirs.
     */
    JOIN_ONLY;

    boolean mayForm() {
        return this != JOIN_ONLY;
    }

    boolean isOpen() {
        return this != FIXED;
    }
}
