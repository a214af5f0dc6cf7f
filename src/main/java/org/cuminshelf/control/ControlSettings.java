package org.cuminshelf.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.replica.ReplicaSettings;

/**
 * Settings of a control process.
 *
 * @param region      the region of the VM
 * @param groups      the replication groups in which the process has a replica: the global group and, where sidecars
 *                    are used, the group of its region
 * @param configCheck validates a configuration before it is accepted; returns the reason for a rejection, or empty
 * @param duties      the calls to the platform that only one control process at a time may make
 */
public record ControlSettings(
        String region,
        List<ReplicaSettings> groups,
        Function<byte[], Optional<String>> configCheck,
        DutySettings duties) {

    /**
     * Creates settings without duties.
     *
     * @param region      the region of the VM
     * @param groups      the replication groups in which the process has a replica
     * @param configCheck validates a configuration before it is accepted; returns the reason for a rejection, or empty
     */
    public ControlSettings(
            String region, List<ReplicaSettings> groups, Function<byte[], Optional<String>> configCheck) {
        this(region, groups, configCheck, DutySettings.NONE);
    }

    /**
     * Creates settings without duties that accept any configuration which {@link FleetConfig} can parse.
     *
     * @param region the region of the VM
     * @param groups the replication groups in which the process has a replica
     */
    public ControlSettings(String region, List<ReplicaSettings> groups) {
        this(region, groups, bytes -> FleetConfig.parse(bytes).fold(Optional::of, valid -> Optional.empty()));
    }

    /** Name of the group that all control processes replicate; it holds the accepted configuration. */
    public static final String GLOBAL_GROUP = "global";
}
