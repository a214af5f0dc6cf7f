package org.cuminshelf.replica;

/** How a group is formed, and which replicas may join it. */
public enum MembershipPolicy {
    /** The settings of each replica list all replicas; a replica that lost its disk may join again at its address. */
    FIXED,
    /** The addresses in the settings are seeds: they form the group, and any replica may join it. */
    OPEN,
    /**
     * As {@link #OPEN}, but the group already exists, and this replica never forms one. Guards against replicas that
     * restart with empty disks and form a second, empty group.
     */
    JOIN_ONLY;

    /** Whether a replica with this policy may form a new group. */
    boolean mayForm() {
        return this != JOIN_ONLY;
    }

    /** Whether replicas that aren't listed in the settings may join. */
    boolean isOpen() {
        return this != FIXED;
    }
}
