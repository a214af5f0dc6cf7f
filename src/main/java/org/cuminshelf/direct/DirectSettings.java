package org.cuminshelf.direct;

import java.util.List;
import java.util.OptionalLong;
import org.cuminshelf.core.Address;

/**
 * Settings of an entry that connects to upstreams directly, without sidecars.
 *
 * @param region  the region of the VM
 * @param zone    the availability zone of the VM
 * @param vm      the name of the VM
 * @param seeds   control processes to contact initially; they report the others
 * @param retryLimits limits on retries, for all entries together
 * @param usageWindowMillis length of the usage windows in milliseconds; empty if usage is not metered
 */
public record DirectSettings(
        String region,
        String zone,
        String vm,
        List<Address> seeds,
        RetryLimits retryLimits,
        OptionalLong usageWindowMillis) {

    /**
     * Creates settings without usage metering.
     *
     * @param region  the region of the VM
     * @param zone    the availability zone of the VM
     * @param vm      the name of the VM
     * @param seeds   control processes to contact initially
     * @param retryLimits limits on retries, for all entries together
     */
    public DirectSettings(String region, String zone, String vm, List<Address> seeds, RetryLimits retryLimits) {
        this(region, zone, vm, seeds, retryLimits, OptionalLong.empty());
    }
}
