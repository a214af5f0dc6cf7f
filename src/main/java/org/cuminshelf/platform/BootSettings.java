package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.direct.RetryLimits;

/**
 * Settings of one process, as read from the platform's settings file.
 *
 * @param vm               name of the VM (JSON field {@code node})
 * @param zone             availability zone
 * @param region           region
 * @param messageAddress   listening address for messages between processes; its port is the first internal port
 * @param metricsAddress   listening address for metrics; its port is the last internal port unless a flag overrides it
 * @param callerAddress    listening address for callers (entry only)
 * @param readinessAddress listening address of the load balancer's readiness check (entry only)
 * @param controlAddress   listening address for upstreams and operators (control process only)
 * @param seeds            message addresses of the control processes to contact first
 * @param bootstrap        whether the whole system starts for the first time
 * @param dataFolder       folder for persistent files; empty if the VM has no disk
 * @param stopGraceMillis  milliseconds from the request to stop until the process is killed
 * @param retryLimits      limits on retries by all entries together
 * @param duties           settings of the calls to the platform that only one VM at a time may make
 */
record BootSettings(
        String vm,
        String zone,
        String region,
        Address messageAddress,
        Address metricsAddress,
        Optional<Address> callerAddress,
        Optional<Address> readinessAddress,
        Optional<Address> controlAddress,
        List<Address> seeds,
        boolean bootstrap,
        Optional<Path> dataFolder,
        long stopGraceMillis,
        RetryLimits retryLimits,
        PlatformDutySettings duties) {

    /** Environment variable that holds the path of the settings file. */
    static final String PATH_VARIABLE = "CUMINSHELF_BOOT";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double DEFAULT_GRACE_SECONDS = 8;

    /**
     * Reads the file named by {@link #PATH_VARIABLE}.
     *
     * @throws IOException if the variable is not set, or the file can't be read or lacks a required field
     */
    static BootSettings read() throws IOException {
        String path = System.getenv(PATH_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new IOException(PATH_VARIABLE + " is not set; it must hold the path of the settings file");
        }
        return read(Path.of(path));
    }

    static BootSettings read(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new IOException(file + ": the settings file can't be read");
        }
        JsonNode root = JSON.readTree(Files.readAllBytes(file));
        if (root == null || !root.isObject()) {
            throw new IOException(file + ": the settings are no JSON object");
        }
        return parse(root, file);
    }

    private static BootSettings parse(JsonNode root, Path file) throws IOException {
        String ip = required(root, "ip", file);
        JsonNode ports = root.path("internalPorts");
        if (!ports.path(0).isInt()) {
            throw new IOException(file + ": 'internalPorts' must hold two numbers");
        }
        int firstPort = ports.path(0).intValue();
        int lastPort = ports.path(1).asInt(firstPort + 1);
        JsonNode listen = root.path("listen");
        JsonNode bounds = root.path("bounds");
        return new BootSettings(
                required(root, "node", file),
                required(root, "zone", file),
                root.path("region").asText(""),
                Address.of(ip + ":" + firstPort),
                Address.of(ip + ":" + lastPort),
                address(listen, "front"),
                address(listen, "ready"),
                address(listen, "control"),
                seeds(root, firstPort),
                root.path("bootstrap").asBoolean(false),
                Optional.ofNullable(root.path("dataDir").textValue()).map(Path::of),
                (long) (bounds.path("graceS").asDouble(DEFAULT_GRACE_SECONDS) * MILLIS_PER_SECOND),
                retryLimits(bounds),
                PlatformDutySettings.parse(root));
    }

    /** Returns these settings with a port of the own VM as the only seed. */
    BootSettings withSeedPort(int port) {
        return with(metricsAddress, List.of(onOwnVm(port)));
    }

    /** Returns these settings with another metrics port. */
    BootSettings withMetricsPort(int port) {
        return with(onOwnVm(port), seeds);
    }

    private Address onOwnVm(int port) {
        return Address.of(
                messageAddress.value().substring(0, messageAddress.value().lastIndexOf(':')) + ":" + port);
    }

    private BootSettings with(Address newMetricsAddress, List<Address> newSeeds) {
        return new BootSettings(
                vm,
                zone,
                region,
                messageAddress,
                newMetricsAddress,
                callerAddress,
                readinessAddress,
                controlAddress,
                newSeeds,
                bootstrap,
                dataFolder,
                stopGraceMillis,
                retryLimits,
                duties);
    }

    private static RetryLimits retryLimits(JsonNode bounds) {
        if (!bounds.path("retryBudgetRatio").isNumber()) {
            return RetryLimits.DEFAULT;
        }
        return new RetryLimits(
                bounds.path("retryBudgetRatio").doubleValue(),
                bounds.path("retrySlack").asDouble(0),
                (long) (bounds.path("retryWindowS").asDouble(10) * MILLIS_PER_SECOND));
    }

    /** The file lists seeds by their operator address; messages go to the first internal port of the same VM. */
    private static List<Address> seeds(JsonNode root, int messagePort) {
        List<Address> seeds = new ArrayList<>();
        for (JsonNode seed : root.path("seeds")) {
            String value = seed.asText();
            seeds.add(Address.of(value.substring(0, value.lastIndexOf(':')) + ":" + messagePort));
        }
        return seeds;
    }

    private static Optional<Address> address(JsonNode listen, String name) {
        return Optional.ofNullable(listen.path(name).textValue()).map(Address::of);
    }

    private static String required(JsonNode root, String name, Path file) throws IOException {
        String value = root.path(name).textValue();
        if (value == null || value.isEmpty()) {
            throw new IOException(file + ": '" + name + "' is missing");
        }
        return value;
    }
}
