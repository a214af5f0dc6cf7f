package org.cuminshelf.control;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What the platform asks of one control process at a time.
 *
 * @param leaseMillis     time within which two holders may not take turns
 * @param usageLateMillis time after the end of a window by which its usage is to be reported; nothing where it isn't
 * @param callsPerSecond  calls that the platform takes a second from all VMs together; nothing where it states no limit
 */
public record DutySettings(long leaseMillis, OptionalLong usageLateMillis, OptionalDouble callsPerSecond) {

    /** No duties. */
    public static final DutySettings NONE = new DutySettings(0, OptionalLong.empty(), OptionalDouble.empty());
}
