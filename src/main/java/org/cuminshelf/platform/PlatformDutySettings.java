package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.StreamSupport;
import org.cuminshelf.control.DutySettings;
import org.cuminshelf.core.Address;

/**
 * Settings of the platform's duties: calls to the platform that only one VM at a time may make.
 *
 * @param platformAddress     address of the platform; empty if it accepts no such calls
 * @param leaseMillis         minimum time in milliseconds between the calls of two different VMs (JSON field
 *                            {@code leaseMs})
 * @param usageWindowMillis   length of a usage window in milliseconds; empty if usage is not reported
 * @param usageDeadlineMillis time in milliseconds after the end of a window by which its usage must be reported
 * @param maxCallsPerSecond   calls per second that the platform accepts from all VMs together (JSON field
 *                            {@code dutyPerS}); empty if unlimited
 */
record PlatformDutySettings(
        Optional<Address> platformAddress,
        long leaseMillis,
        OptionalLong usageWindowMillis,
        long usageDeadlineMillis,
        OptionalDouble maxCallsPerSecond) {

    private static final String USAGE_REPORT = "usage_report";
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long DEFAULT_LEASE_MILLIS = 3_000;
    private static final double DEFAULT_USAGE_DEADLINE_SECONDS = 10;

    /** Reads the settings. A duty that is missing or has a field of the wrong type is left out. */
    static PlatformDutySettings parse(JsonNode settings) {
        JsonNode cloud = settings.path("cloud");
        JsonNode bounds = settings.path("bounds");
        Optional<Address> platformAddress =
                Optional.ofNullable(cloud.path("address").textValue()).map(Address::of);
        boolean reportsUsage = StreamSupport.stream(cloud.path("duties").spliterator(), false)
                .anyMatch(duty -> USAGE_REPORT.equals(duty.textValue()));
        double windowSeconds = bounds.path("usageWindowS").asDouble(0);
        boolean usageReported = platformAddress.isPresent() && reportsUsage && windowSeconds > 0;
        return new PlatformDutySettings(
                platformAddress,
                bounds.path("leaseMs").asLong(DEFAULT_LEASE_MILLIS),
                usageReported ? OptionalLong.of((long) (windowSeconds * MILLIS_PER_SECOND)) : OptionalLong.empty(),
                (long) (bounds.path("usageLateS").asDouble(DEFAULT_USAGE_DEADLINE_SECONDS) * MILLIS_PER_SECOND),
                maxCallsPerSecond(cloud.path("dutyPerS")));
    }

    private static OptionalDouble maxCallsPerSecond(JsonNode value) {
        double limit = value.asDouble(0);
        return value.isNumber() && limit > 0 ? OptionalDouble.of(limit) : OptionalDouble.empty();
    }

    /** Converts to the settings of the control core. */
    DutySettings toDutySettings() {
        return new DutySettings(
                leaseMillis,
                usageWindowMillis.isPresent() ? OptionalLong.of(usageDeadlineMillis) : OptionalLong.empty(),
                maxCallsPerSecond);
    }
}
