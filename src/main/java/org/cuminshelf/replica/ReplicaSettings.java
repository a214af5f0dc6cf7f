package org.cuminshelf.replica;

import java.util.List;
import org.cuminshelf.core.Address;

/**
 * The configuration of a replica.
 *
 * @param group               the name of the group
 * @param self                the address of this replica
 * @param peers               the addresses of the configured replicas of the group, including this one
 * @param persistsCommitIndex whether the commit index is made durable before entries are applied, so that a replica
 *                            that restarts without a quorum still knows every committed entry that it has published
 * @param membershipPolicy    how the group is formed and which replicas may join it
 */
public record ReplicaSettings(
        String group,
        Address self,
        List<Address> peers,
        boolean persistsCommitIndex,
        MembershipPolicy membershipPolicy) {

    /**
     * Settings of a group with {@link MembershipPolicy#FIXED}.
     *
     * @param group               the name of the group
     * @param self                the address of this replica
     * @param peers               the addresses of all replicas of the group, including this one
     * @param persistsCommitIndex whether the commit index is made durable before entries are applied
     */
    public ReplicaSettings(String group, Address self, List<Address> peers, boolean persistsCommitIndex) {
        this(group, self, peers, persistsCommitIndex, MembershipPolicy.FIXED);
    }
}
