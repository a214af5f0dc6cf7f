package org.cuminshelf.replica;

import java.util.List;
import org.cuminshelf.core.Address;

/**
 * The place of a replica in its group.
 *
 * @param group the name of the group
 * @param self  the own address
 * @param peers the addresses of all replicas of the group, the own among them
 * @param recordsCommit whether what is committed is itself made durable before it is applied, so that a replica that
 *                      restarts without a quorum still knows all that it ever told others
 * @param membership    how the group comes to be and who may join it
 */
public record ReplicaSettings(
        String group, Address self, List<Address> peers, boolean recordsCommit, MembershipPolicy membership) {

    /**
     * Settings of a group whose replicas are all named at the start.
     *
     * @param group         the name of the group
     * @param self          the own address
     * @param peers         the addresses of all replicas of the group, the own among them
     * @param recordsCommit whether what is committed is made durable before it is applied
     */
    public ReplicaSettings(String group, Address self, List<Address> peers, boolean recordsCommit) {
        this(group, self, peers, recordsCommit, MembershipPolicy.FIXED);
    }
}
