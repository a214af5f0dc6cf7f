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

/** A control process as it runs: its core, its messages, its disk and the administration interface. */
public final class ControlProcess implements ServingProcess {

    private static final int NETWORK_THREADS = 2;

    private final ProcessRuntime frame;
    private final StorageThread storage;
    private final ControlEndpoint outside;

    private ControlProcess(ProcessRuntime frame, StorageThread storage, ControlEndpoint outside) {
        this.frame = frame;
        this.storage = storage;
        this.outside = outside;
    }

    /**
     * What a control process is told besides what every process is.
     *
     * @param settings    its groups
     * @param dataFolder  where its logs lie
     * @param admin       the address of the administration interface; port 0 takes a free one
     * @param adminTls    PEM files for HTTPS, or nothing for HTTP
     * @param adminKeys   SHA-256 of keys that may operate besides those of the configuration's teams
     * @param openAdmin   whether requests without a key may operate
     * @param groupCommit whether one sync may serve many entries
     */
    public record Options(
            ControlSettings settings,
            Path dataFolder,
            Address admin,
            Optional<PemFiles> adminTls,
            Set<String> adminKeys,
            boolean openAdmin,
            boolean groupCommit) {}

    /**
     * Starts a control process.
     *
     * @param common    what every process is told
     * @param options   what a control process is told
     * @param onFailure ends the process when its disk fails
     * @return the running process
     * @throws IOException if an address, a file or the data folder can't be used
     */
    public static ControlProcess start(CommonSettings common, Options options, Runnable onFailure) throws IOException {
        ControlEndpoint.Opener admin =
                AdminEndpoint.at(options.admin(), options.adminTls(), options.adminKeys(), options.openAdmin());
        return start(common, options, admin, onFailure);
    }

    /**
     * Starts a control process with another interface than the product's own.
     *
     * @param common    what every process is told
     * @param options   what a control process is told
     * @param opener    opens its interface
     * @param onFailure ends the process when its disk fails
     * @return the running process
     * @throws IOException if an address, a file or the data folder can't be used
     */
    public static ControlProcess start(
            CommonSettings common, Options options, ControlEndpoint.Opener opener, Runnable onFailure)
            throws IOException {
        ProcessRuntime frame = ProcessRuntime.open("control", common, NETWORK_THREADS);
        Map<String, GroupLog> logs = new HashMap<>();
        try {
            for (ReplicaSettings group : options.settings().groups()) {
                Path file = options.dataFolder().resolve(group.group()).resolve("log");
                long identity = Math.max(1, frame.random().nextLong() & Long.MAX_VALUE);
                logs.put(group.group(), GroupLog.open(FileLogDevice.open(file), file.toString(), identity));
            }
            return start(common, options, opener, onFailure, frame, logs);
        } catch (IOException e) {
            frame.close();
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
            ProcessRuntime frame,
            Map<String, GroupLog> logs)
            throws IOException {
        Map<String, DurableState> durable = new HashMap<>();
        logs.forEach((group, log) -> durable.put(group, log.recovered()));
        ControlCore core = ControlCore.start(
                options.settings(),
                common.listen(),
                frame.incarnation(),
                durable,
                ProcessStart.previousRunEndedByNanos(),
                frame.random(),
                frame.invariants());
        CoreRunner runner = frame.run(opened -> core);
        StorageThread storage = new StorageThread(logs, runner::offer, onFailure, options.groupCommit());
        runner.port(Address.STORAGE, storage::offer);
        PrometheusRegistry registry = new PrometheusRegistry();
        describe(registry, core, frame);
        ControlEndpoint outside = opener.open(
                message -> runner.offer(Address.ADMINISTRATORS, message), core::config, () -> isReady(core), registry);
        runner.port(Address.ADMINISTRATORS, outside::deliver);
        runner.port(Address.ORDERS, outside::deliver);
        runner.everySecond(() -> runner.offer(
                Address.PROCESS,
                Envelope.newBuilder().setWallClock(WallClock.newBuilder().setEpochMs(System.currentTimeMillis()))));
        storage.start();
        frame.listen();
        return new ControlProcess(frame, storage, outside);
    }

    private static boolean isReady(ControlCore core) {
        return core.groups().stream()
                .allMatch(group -> core.replica(group).flatMap(Replica::leader).isPresent());
    }

    private static void describe(PrometheusRegistry registry, ControlCore core, ProcessRuntime frame) {
        EntryProcess.gauge(
                registry, "cuminshelf_config_version", "Version of the configuration accepted.", core::configVersion);
        EntryProcess.gauge(
                registry,
                "cuminshelf_quarantined_requests",
                "Requests refused because upstreams crash when they run them.",
                core::quarantinedRequests);
        EntryProcess.gauge(
                registry, "cuminshelf_invariant_breach_count", "Promises found broken.", frame.invariants()::count);
        for (String group : core.groups()) {
            Replica replica = core.replica(group).orElseThrow();
            String name = "cuminshelf_replica_" + group.replaceAll("[^a-zA-Z0-9]", "_");
            EntryProcess.gauge(registry, name + "_term", "Term of the replica of " + group + ".", replica::term);
            EntryProcess.gauge(
                    registry, name + "_applied", "Last index applied of " + group + ".", replica::appliedIndex);
        }
    }

    /**
     * The port of the administration interface.
     *
     * @return the port
     */
    public int adminPort() {
        return outside.port();
    }

    /**
     * Bytes and messages to and from other processes.
     *
     * @return the counts
     */
    public org.cuminshelf.network.TrafficCounters traffic() {
        return frame.network().traffic();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = frame.stopGracefully();
        close();
        return finished;
    }

    @Override
    public void close() {
        outside.close();
        frame.close();
        try {
            storage.close();
        } catch (IOException e) {
            org.tinylog.Logger.warn("storage: A log did not close cleanly: {}.", e.getMessage());
        }
    }
}
