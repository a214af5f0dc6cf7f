package org.cuminshelf.entry;

import java.util.List;
import org.cuminshelf.core.Address;

/**
 * The settings of an entry.
 *
 * @param region           the region of the VM
 * @param zone             the availability zone of the VM
 * @param vm               the name of the VM
 * @param controlAddresses the control processes of its region
 * @param maxWaitingCalls  maximum number of waiting calls; further calls are refused
 * @param subsetSize       maximum number of upstreams of one service or model with which sessions are kept
 * @param claimGroup       the replicated group that stores the idempotency keys of its region
 * @param routingPolicy    how upstreams are chosen
 */
public record EntrySettings(
        String region,
        String zone,
        String vm,
        List<Address> controlAddresses,
        int maxWaitingCalls,
        int subsetSize,
        String claimGroup,
        RoutingPolicy routingPolicy) {

    /**
     * Creates settings with the default routing policy, {@link RoutingPolicy.EarliestAnswer}.
     *
     * @param region           the region of the VM
     * @param zone             the availability zone of the VM
     * @param vm               the name of the VM
     * @param controlAddresses the control processes of its region
     * @param maxWaitingCalls  maximum number of waiting calls
     * @param subsetSize       maximum number of upstreams of one service or model with which sessions are kept
     * @param claimGroup       the replicated group that stores the idempotency keys
     * @return the settings
     */
    public static EntrySettings of(
            String region,
            String zone,
            String vm,
            List<Address> controlAddresses,
            int maxWaitingCalls,
            int subsetSize,
            String claimGroup) {
        return new EntrySettings(
                region,
                zone,
                vm,
                controlAddresses,
                maxWaitingCalls,
                subsetSize,
                claimGroup,
                new RoutingPolicy.EarliestAnswer());
    }
}
