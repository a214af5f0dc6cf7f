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
 * What the platform's settings file says to one process.
 *
 * @param vm             the name of the VM ({@code node} there)
 * @param zone           the availability zone
 * @param region         the region
 * @param messages       own address for messages of the system's processes: the first of the ports for these
 * @param metrics        own address for metrics: the last of these ports, unless a flag names another
 * @param callers        where callers connect, on an entry
 * @param readiness      where the balancer asks whether this entry takes callers
 * @param control        where upstreams and operators call, on a control process
 * @param seeds          addresses for messages of control processes to begin with
 * @param firstStart     whether the whole system starts for the first time ({@code bootstrap} there)
 * @param dataFolder     the folder for files that last, where there is a disk
 * @param graceMillis    milliseconds from the request to stop until the process is killed
 * @param repeats        how often all entries together may send requests once more
 * @param duties         calls to the platform that are the duty of one node at a time
 */
record BootSettings(
        String vm,
        String zone,
        String region,
        Address messages,
        Address metrics,
        Optional<Address> callers,
        Optional<Address> readiness,
        Optional<Address> control,
        List<Address> seeds,
        boolean firstStart,
        Optional<Path> dataFolder,
        long graceMillis,
        RetryLimits repeats,
        PlatformDutySettings duties) {

    /** Variable that holds the path of the settings file. */
    static final String VARIABLE = "CUMINSHELF_BOOT";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double DEFAULT_GRACE_SECONDS = 8;

    /** Reads the file that the platform names. */
    static BootSettings read() throws IOException {
        String path = System.getenv(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new IOException(VARIABLE + " is not set; it must hold the path of the settings file");
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
        return of(root, file);
    }

    private static BootSettings of(JsonNode root, Path file) throws IOException {
        String ip = required(root, "ip", file);
        JsonNode ports = root.path("internalPorts");
        if (!ports.path(0).isInt()) {
            throw new IOException(file + ": 'internalPorts' must hold two numbers");
        }
        int first = ports.path(0).intValue();
        int last = ports.path(1).asInt(first + 1);
        JsonNode listen = root.path("listen");
        JsonNode bounds = root.path("bounds");
        return new BootSettings(
                required(root, "node", file),
                required(root, "zone", file),
                root.path("region").asText(""),
                Address.of(ip + ":" + first),
                Address.of(ip + ":" + last),
                address(listen, "front"),
                address(listen, "ready"),
                address(listen, "control"),
                seeds(root, first),
                root.path("bootstrap").asBoolean(false),
                Optional.ofNullable(root.path("dataDir").textValue()).map(Path::of),
                (long) (bounds.path("graceS").asDouble(DEFAULT_GRACE_SECONDS) * MILLIS_PER_SECOND),
                repeats(bounds),
                PlatformDutySettings.of(root));
    }

    /** These settings with a control process of the own VM as the only seed. */
    BootSettings withSeedPort(int port) {
        return with(metrics, List.of(onOwnVm(port)));
    }

    /** These settings with another port for metrics. */
    BootSettings withMetricsPort(int port) {
        return with(onOwnVm(port), seeds);
    }

    private Address onOwnVm(int port) {
        return Address.of(messages.value().substring(0, messages.value().lastIndexOf(':')) + ":" + port);
    }

    private BootSettings with(Address metricsAddress, List<Address> firstSeeds) {
        return new BootSettings(
                vm,
                zone,
                region,
                messages,
                metricsAddress,
                callers,
                readiness,
                control,
                firstSeeds,
                firstStart,
                dataFolder,
                graceMillis,
                repeats,
                duties);
    }

    private static RetryLimits repeats(JsonNode bounds) {
        if (!bounds.path("retryBudgetRatio").isNumber()) {
            return RetryLimits.DEFAULT;
        }
        return new RetryLimits(
                bounds.path("retryBudgetRatio").doubleValue(),
                bounds.path("retrySlack").asDouble(0),
                (long) (bounds.path("retryWindowS").asDouble(10) * MILLIS_PER_SECOND));
    }

    /** Seeds are told by their address for operators; messages go to the first internal port of the same VM. */
    private static List<Address> seeds(JsonNode root, int port) {
        List<Address> seeds = new ArrayList<>();
        for (JsonNode seed : root.path("seeds")) {
            String value = seed.asText();
            seeds.add(Address.of(value.substring(0, value.lastIndexOf(':')) + ":" + port));
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
