package org.cuminshelf.replica;

import java.util.List;
import org.cuminshelf.core.Address;

/**
 * The place of a replica in its group.
 *
 * @param group the name of the group
 * @param self  the own address
 * @param peers the addresses of all replicas of the group, the own among them
 */
public record ReplicaSettings(String group, Address self, List<Address> peers) {}
