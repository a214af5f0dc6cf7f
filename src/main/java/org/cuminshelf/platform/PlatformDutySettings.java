package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.StreamSupport;
import org.cuminshelf.control.DutySettings;
import org.cuminshelf.core.Address;

/**
 * What the settings say of calls to the platform that are the duty of one node at a time.
 *
 * @param platform          where the platform takes them
 * @param leaseMillis       time within which two nodes may not take turns ({@code leaseMs} there)
 * @param usageWindowMillis length of the windows of usage; nothing where usage is no duty
 * @param usageLateMillis   time after the end of a window by which its usage is to be reported
 * @param callsPerSecond    such calls that the platform takes a second from all nodes together ({@code dutyPerS} there)
 */
record PlatformDutySettings(
        Optional<Address> platform,
        long leaseMillis,
        OptionalLong usageWindowMillis,
        long usageLateMillis,
        OptionalDouble callsPerSecond) {

    private static final String USAGE = "usage_report";
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long DEFAULT_LEASE_MILLIS = 3_000;
    private static final double DEFAULT_LATE_SECONDS = 10;

    /** Reads them; what isn't stated, or isn't of its type, is no duty. */
    static PlatformDutySettings of(JsonNode settings) {
        JsonNode cloud = settings.path("cloud");
        JsonNode bounds = settings.path("bounds");
        Optional<Address> platform =
                Optional.ofNullable(cloud.path("address").textValue()).map(Address::of);
        boolean reportsUsage = StreamSupport.stream(cloud.path("duties").spliterator(), false)
                .anyMatch(duty -> USAGE.equals(duty.textValue()));
        double windowSeconds = bounds.path("usageWindowS").asDouble(0);
        boolean counted = platform.isPresent() && reportsUsage && windowSeconds > 0;
        return new PlatformDutySettings(
                platform,
                bounds.path("leaseMs").asLong(DEFAULT_LEASE_MILLIS),
                counted ? OptionalLong.of((long) (windowSeconds * MILLIS_PER_SECOND)) : OptionalLong.empty(),
                (long) (bounds.path("usageLateS").asDouble(DEFAULT_LATE_SECONDS) * MILLIS_PER_SECOND),
                callsPerSecond(cloud.path("dutyPerS")));
    }

    private static OptionalDouble callsPerSecond(JsonNode stated) {
        double number = stated.asDouble(0);
        return stated.isNumber() && number > 0 ? OptionalDouble.of(number) : OptionalDouble.empty();
    }

    /** The same for control. */
    DutySettings forControl() {
        return new DutySettings(
                leaseMillis,
                usageWindowMillis.isPresent() ? OptionalLong.of(usageLateMillis) : OptionalLong.empty(),
                callsPerSecond);
    }
}
