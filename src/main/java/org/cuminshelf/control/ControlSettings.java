package org.cuminshelf.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.replica.ReplicaSettings;

/**
 * The place of a control process.
 *
 * @param region the region of the VM
 * @param groups the groups of which it is a replica: the global one and that of its region
 * @param check  finds what makes a configuration unfit to be accepted
 * @param duties what the platform asks of one control process at a time
 */
public record ControlSettings(
        String region, List<ReplicaSettings> groups, Function<byte[], Optional<String>> check, DutySettings duties) {

    /**
     * A place without duties.
     *
     * @param region the region of the VM
     * @param groups the groups of which it is a replica
     * @param check  finds what makes a configuration unfit to be accepted
     */
    public ControlSettings(String region, List<ReplicaSettings> groups, Function<byte[], Optional<String>> check) {
        this(region, groups, check, DutySettings.NONE);
    }

    /**
     * A place whose configuration is that of a {@link FleetConfig}.
     *
     * @param region the region of the VM
     * @param groups the groups of which it is a replica
     */
    public ControlSettings(String region, List<ReplicaSettings> groups) {
        this(region, groups, bytes -> FleetConfig.parse(bytes).fold(Optional::of, fine -> Optional.empty()));
    }

    /** Name of the group that accepts configurations. */
    public static final String GLOBAL = "global";
}
