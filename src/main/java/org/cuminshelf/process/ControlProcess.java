package org.cuminshelf.process;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.control.ControlCore;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.http.PemFiles;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.Replica;
import org.cuminshelf.replica.ReplicaSettings;
import org.cuminshelf.storage.FileLogDevice;
import org.cuminshelf.storage.GroupLog;

/** A running control process: the core, its network, its durable logs and its external interface. */
public final class ControlProcess implements ServingProcess {

    private static final int NETWORK_THREADS = 2;

    private final ProcessRuntime runtime;
    private final StorageThread storage;
    private final ControlEndpoint endpoint;

    private ControlProcess(ProcessRuntime runtime, StorageThread storage, ControlEndpoint endpoint) {
        this.runtime = runtime;
        this.storage = storage;
        this.endpoint = endpoint;
    }

    /**
     * Settings of a control process besides the common ones.
     *
     * @param settings            settings of the core, including its replication groups
     * @param dataDirectory       directory of the replication logs
     * @param adminAddress        address of the administration interface; port 0 selects a free port
     * @param adminTls            PEM files for HTTPS, or empty for HTTP
     * @param adminKeyHashes      SHA-256 hashes of keys that may operate besides those of the configured teams
     * @param allowAnonymousAdmin whether requests without a key may operate
     * @param groupCommit         whether one sync may cover several log entries
     */
    public record Options(
            ControlSettings settings,
            Path dataDirectory,
            Address adminAddress,
            Optional<PemFiles> adminTls,
            Set<String> adminKeyHashes,
            boolean allowAnonymousAdmin,
            boolean groupCommit) {}

    /**
     * Starts a control process with the administration interface of the product.
     *
     * @param common    the common settings
     * @param options   the settings of a control process
     * @param onFailure called when a write or sync of a log fails; must end the process
     * @return the running process
     * @throws IOException if an address, a file or the data directory cannot be used
     */
    public static ControlProcess start(CommonSettings common, Options options, Runnable onFailure) throws IOException {
        ControlEndpoint.Opener admin = AdminEndpoint.opener(
                options.adminAddress(), options.adminTls(), options.adminKeyHashes(), options.allowAnonymousAdmin());
        return start(common, options, admin, onFailure);
    }

    /**
     * Starts a control process with the given external interface.
     *
     * @param common    the common settings
     * @param options   the settings of a control process
     * @param opener    opens the external interface
     * @param onFailure called when a write or sync of a log fails; must end the process
     * @return the running process
     * @throws IOException if an address, a file or the data directory cannot be used
     */
    public static ControlProcess start(
            CommonSettings common, Options options, ControlEndpoint.Opener opener, Runnable onFailure)
            throws IOException {
        ProcessRuntime runtime = ProcessRuntime.open("control", common, NETWORK_THREADS);
        Map<String, GroupLog> logs = new HashMap<>();
        try {
            for (ReplicaSettings group : options.settings().groups()) {
                Path logFile = options.dataDirectory().resolve(group.group()).resolve("log");
                long identity = Math.max(1, runtime.random().nextLong() & Long.MAX_VALUE);
                logs.put(group.group(), GroupLog.open(FileLogDevice.open(logFile), logFile.toString(), identity));
            }
            return start(common, options, opener, onFailure, runtime, logs);
        } catch (IOException e) {
            runtime.close();
            for (GroupLog log : logs.values()) {
                log.close();
            }
            throw e;
        }
    }

    private static ControlProcess start(
            CommonSettings common,
            Options options,
            ControlEndpoint.Opener opener,
            Runnable onFailure,
            ProcessRuntime runtime,
            Map<String, GroupLog> logs)
            throws IOException {
        Map<String, DurableState> durableStates = new HashMap<>();
        for (Map.Entry<String, GroupLog> log : logs.entrySet()) {
            durableStates.put(log.getKey(), log.getValue().recovered());
        }
        ControlCore core = ControlCore.start(
                options.settings(),
                common.listen(),
                runtime.incarnation(),
                durableStates,
                ProcessStart.previousRunEndedByNanos(),
                runtime.random(),
                runtime.invariants());
        CoreRunner runner = runtime.createRunner(opened -> core);
        StorageThread storage = new StorageThread(logs, runner::offer, onFailure, options.groupCommit());
        runner.registerPort(Address.STORAGE, storage::offer);
        PrometheusRegistry registry = new PrometheusRegistry();
        registerGauges(registry, core, runtime);
        ControlEndpoint endpoint = opener.open(
                message -> runner.offer(Address.ADMINISTRATORS, message),
                core::config,
                () -> everyGroupHasLeader(core),
                registry);
        runner.registerPort(Address.ADMINISTRATORS, endpoint::deliver);
        runner.registerPort(Address.ORDERS, endpoint::deliver);
        runner.runEverySecond(() -> runner.offer(
                Address.PROCESS,
                Envelope.newBuilder().setWallClock(WallClock.newBuilder().setEpochMs(System.currentTimeMillis()))));
        storage.start();
        runtime.start();
        return new ControlProcess(runtime, storage, endpoint);
    }

    private static boolean everyGroupHasLeader(ControlCore core) {
        return core.groups().stream()
                .allMatch(group -> core.replica(group).flatMap(Replica::leader).isPresent());
    }

    private static void registerGauges(PrometheusRegistry registry, ControlCore core, ProcessRuntime runtime) {
        EntryProcess.registerGauge(
                registry, "cuminshelf_config_version", "Version of the configuration accepted.", core::configVersion);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_quarantined_requests",
                "Requests refused because running them crashed upstreams.",
                core::quarantinedRequests);
        EntryProcess.registerGauge(
                registry,
                "cuminshelf_invariant_breach_count",
                "Invariant violations detected.",
                runtime.invariants()::count);
        for (String group : core.groups()) {
            Replica replica = core.replica(group).orElseThrow();
            String name = "cuminshelf_replica_" + group.replaceAll("[^a-zA-Z0-9]", "_");
            EntryProcess.registerGauge(
                    registry, name + "_term", "Term of the replica of " + group + ".", replica::term);
            EntryProcess.registerGauge(
                    registry, name + "_applied", "Last index applied of " + group + ".", replica::appliedIndex);
        }
    }

    /**
     * Returns the TCP port of the external interface.
     *
     * @return the port
     */
    public int adminPort() {
        return endpoint.port();
    }

    /**
     * Returns the counters of messages and bytes exchanged with other processes.
     *
     * @return the counters
     */
    public org.cuminshelf.network.TrafficCounters traffic() {
        return runtime.network().traffic();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = runtime.stopGracefully();
        close();
        return finished;
    }

    @Override
    public void close() {
        endpoint.close();
        runtime.close();
        try {
            storage.close();
        } catch (IOException e) {
            org.tinylog.Logger.warn("storage: Failed to close a replication log: {}.", e.getMessage());
        }
    }
}
