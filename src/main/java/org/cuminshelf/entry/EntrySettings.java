package org.cuminshelf.entry;

import java.util.List;
import org.cuminshelf.core.Address;

/**
 * What an entry is told about its place.
 *
 * @param region        the region of the VM
 * @param zone          the availability zone of the VM
 * @param vm            the name of the VM
 * @param control       the control processes of its own region
 * @param longestQueue  calls that may wait at once; more are refused
 * @param subsetSize    upstreams of one service to which sessions are kept, where there are more
 * @param claimGroup    the group that holds the idempotency keys of its region
 * @param routing       how upstreams are chosen
 */
public record EntrySettings(
        String region,
        String zone,
        String vm,
        List<Address> control,
        int longestQueue,
        int subsetSize,
        String claimGroup,
        RoutingPolicy routing) {

    /**
     * Settings with the usual way to choose upstreams.
     *
     * @param region       the region of the VM
     * @param zone         the availability zone of the VM
     * @param vm           the name of the VM
     * @param control      the control processes of its own region
     * @param longestQueue calls that may wait at once
     * @param subsetSize   upstreams of one service to which sessions are kept
     * @param claimGroup   the group that holds the idempotency keys
     * @return the settings
     */
    public static EntrySettings of(
            String region,
            String zone,
            String vm,
            List<Address> control,
            int longestQueue,
            int subsetSize,
            String claimGroup) {
        return new EntrySettings(
                region, zone, vm, control, longestQueue, subsetSize, claimGroup, new RoutingPolicy.EarliestAnswer());
    }
}
