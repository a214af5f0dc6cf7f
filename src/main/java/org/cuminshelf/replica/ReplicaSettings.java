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
 */
public record ReplicaSettings(String group, Address self, List<Address> peers, boolean recordsCommit) {}
