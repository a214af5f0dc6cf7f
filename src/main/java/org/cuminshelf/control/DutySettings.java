package org.cuminshelf.control;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Calls to the platform that only one control process at a time may make.
 *
 * @param leaseMillis         minimum time between the calls of two different holders, in milliseconds
 * @param usageDeadlineMillis time in milliseconds after the end of a window by which its usage must be reported; empty
 *                            if usage is not reported
 * @param maxCallsPerSecond   calls per second that the platform accepts from all VMs together; empty if unlimited
 */
public record DutySettings(long leaseMillis, OptionalLong usageDeadlineMillis, OptionalDouble maxCallsPerSecond) {

    /** No duties. */
    public static final DutySettings NONE = new DutySettings(0, OptionalLong.empty(), OptionalDouble.empty());
}
