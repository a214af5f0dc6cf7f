package org.cuminshelf.direct;

import java.util.List;
import java.util.OptionalLong;
import org.cuminshelf.core.Address;

/**
 * What an entry that reaches upstreams straight is told about its place.
 *
 * @param region  the region of the VM
 * @param zone    the availability zone of the VM
 * @param vm      the name of the VM
 * @param seeds   control processes known at the start; the others are learnt from them
 * @param retryLimits how often all entries together may send requests once more
 * @param usageWindowMillis length of the windows in which usage is counted; nothing where it isn't
 */
public record DirectSettings(
        String region,
        String zone,
        String vm,
        List<Address> seeds,
        RetryLimits retryLimits,
        OptionalLong usageWindowMillis) {

    /**
     * A place where no usage is counted.
     *
     * @param region  the region of the VM
     * @param zone    the availability zone of the VM
     * @param vm      the name of the VM
     * @param seeds   control processes known at the start
     * @param retryLimits how often all entries together may send requests once more
     */
    public DirectSettings(String region, String zone, String vm, List<Address> seeds, RetryLimits retryLimits) {
        this(region, zone, vm, seeds, retryLimits, OptionalLong.empty());
    }
}
