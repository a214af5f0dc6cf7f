package org.cuminshelf.control;

import java.util.List;
import org.cuminshelf.replica.ReplicaSettings;

/**
 * The place of a control process.
 *
 * @param region the region of the VM
 * @param groups the groups of which it is a replica: the global one and that of its region
 */
public record ControlSettings(String region, List<ReplicaSettings> groups) {

    /** Name of the group that accepts configurations. */
    public static final String GLOBAL = "global";
}
