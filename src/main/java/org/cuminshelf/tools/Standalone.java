package org.cuminshelf.tools;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.config.MergedConfig;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.entry.EntrySettings;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.process.CommonSettings;
import org.cuminshelf.process.ControlProcess;
import org.cuminshelf.process.EntryProcess;
import org.cuminshelf.process.ServingProcess;
import org.cuminshelf.process.SidecarProcess;
import org.cuminshelf.replica.ReplicaSettings;
import org.cuminshelf.sidecar.SidecarSettings;
import org.cuminshelf.standin.EngineSpeed;
import org.cuminshelf.standin.StandInEngine;
import org.cuminshelf.standin.StandInService;

/**
 * All roles in one process: a control process, an entry, and stand-in upstreams with their sidecars, which communicate
 * over loopback as they would between VMs. Used to try the system, in tests and in benchmarks.
 */
public final class Standalone implements ServingProcess {

    /** The name of the model that the stand-in engines serve. */
    public static final String MODEL = "cataloguer";

    /** The name of the plain service. */
    public static final String SERVICE = "registry";

    private static final String HOST = "127.0.0.1";
    private static final String GROUP = "region";
    private static final String REGION = "local";
    private static final String ZONE = "local-a";
    private static final int SLOTS = 4_096;

    private final ControlProcess control;
    private final EntryProcess entry;
    private final List<SidecarProcess> sidecars;
    private final List<AutoCloseable> standIns;
    private final StandInService service;

    private Standalone(
            ControlProcess control,
            EntryProcess entry,
            List<SidecarProcess> sidecars,
            List<AutoCloseable> standIns,
            StandInService service) {
        this.control = control;
        this.entry = entry;
        this.sidecars = sidecars;
        this.standIns = standIns;
        this.service = service;
    }

    /**
     * The settings of a standalone system.
     *
     * @param dataFolder  folder in which the control process stores its log
     * @param callersPort port of the callers' interface; 0 chooses a free port
     * @param adminPort   port of the administration interface; 0 chooses a free port
     * @param engines     number of stand-in engines
     * @param speed       speed of the stand-in engines
     * @param adminKey    API key with operator rights
     * @param spanFile    file to which trace spans are appended, if any
     */
    public record Options(
            Path dataFolder,
            int callersPort,
            int adminPort,
            int engines,
            EngineSpeed speed,
            String adminKey,
            Optional<Path> spanFile) {}

    /**
     * Starts all processes.
     *
     * @param options the settings
     * @return the running system
     * @throws IOException if an address or the data folder can't be used
     */
    public static Standalone start(Options options) throws IOException {
        Address controlAddress = freeAddress();
        ControlProcess control = startControl(options, controlAddress);
        List<SidecarProcess> sidecars = new ArrayList<>();
        List<AutoCloseable> standIns = new ArrayList<>();
        for (int number = 1; number <= options.engines(); number++) {
            StandInEngine engine = StandInEngine.start(Address.of(HOST + ":0"), options.speed(), true, List.of(MODEL));
            standIns.add(engine);
            sidecars.add(startSidecar(options, "engine-" + number, "", engine.port(), controlAddress));
        }
        StandInService service = StandInService.start(Address.of(HOST + ":0"), 0);
        standIns.add(service);
        sidecars.add(startSidecar(options, "registry-1", SERVICE, service.port(), controlAddress));
        EntrySettings settings = EntrySettings.of(REGION, ZONE, "entry-1", List.of(controlAddress), 10_000, 32, GROUP);
        EntryProcess entry = EntryProcess.start(
                commonSettings(options, "entry-1", freeAddress()),
                settings,
                Address.of(HOST + ":" + options.callersPort()),
                Optional.empty());
        return new Standalone(control, entry, sidecars, standIns, service);
    }

    private static ControlProcess startControl(Options options, Address address) throws IOException {
        List<Address> replicas = List.of(address);
        ControlSettings settings = new ControlSettings(
                REGION,
                List.of(
                        new ReplicaSettings(ControlSettings.GLOBAL_GROUP, address, replicas, true),
                        new ReplicaSettings(GROUP, address, replicas, false)));
        String keyHash = MergedConfig.hash(options.adminKey().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        ControlProcess.Options controlOptions = new ControlProcess.Options(
                settings,
                options.dataFolder(),
                Address.of(HOST + ":" + options.adminPort()),
                Optional.empty(),
                Set.of(keyHash),
                false,
                true);
        return ControlProcess.start(
                commonSettings(options, "control-1", address),
                controlOptions,
                () -> Runtime.getRuntime().halt(ExitCode.IO_ERROR));
    }

    private static SidecarProcess startSidecar(
            Options options, String vm, String service, int upstreamPort, Address control) throws IOException {
        UpstreamKind kind = service.isEmpty() ? UpstreamKind.UPSTREAM_ENGINE : UpstreamKind.UPSTREAM_SERVICE;
        int slots = service.isEmpty() ? Math.min(SLOTS, options.speed().slots()) : SLOTS;
        SidecarSettings settings = new SidecarSettings(service, kind, REGION, ZONE, vm, slots, true, List.of(control));
        return SidecarProcess.start(
                commonSettings(options, vm, freeAddress()),
                settings,
                URI.create("http://" + HOST + ":" + upstreamPort),
                "/");
    }

    private static CommonSettings commonSettings(Options options, String vm, Address listen) {
        CommonSettings defaults = CommonSettings.unencrypted(listen, REGION, ZONE, vm);
        return new CommonSettings(
                listen,
                REGION,
                ZONE,
                vm,
                Optional.empty(),
                options.spanFile(),
                Optional.empty(),
                Optional.empty(),
                defaults.graceMillis());
    }

    /** Returns a loopback address with a port that is free now; another process may bind it before its use. */
    private static Address freeAddress() throws IOException {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName(HOST))) {
            return Address.of(HOST + ":" + socket.getLocalPort());
        }
    }

    /**
     * Returns the port of the callers' interface.
     *
     * @return the port
     */
    public int callersPort() {
        return entry.port();
    }

    /**
     * Returns the port of the administration interface.
     *
     * @return the port
     */
    public int adminPort() {
        return control.adminPort();
    }

    /**
     * Returns the stand-in service, which counts how often each request ran.
     *
     * @return the service
     */
    public StandInService service() {
        return service;
    }

    /**
     * Returns the entry process.
     *
     * @return the entry
     */
    public EntryProcess entry() {
        return entry;
    }

    /**
     * Returns the ports of the stand-in engines.
     *
     * @return the ports
     */
    public List<Integer> enginePorts() {
        return standIns.stream()
                .filter(StandInEngine.class::isInstance)
                .map(engine -> ((StandInEngine) engine).port())
                .toList();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = entry.stopGracefully();
        for (SidecarProcess sidecar : sidecars) {
            finished &= sidecar.stopGracefully();
        }
        finished &= control.stopGracefully();
        closeStandIns();
        return finished;
    }

    @Override
    public void close() {
        entry.close();
        sidecars.forEach(SidecarProcess::close);
        control.close();
        closeStandIns();
    }

    private void closeStandIns() {
        for (AutoCloseable standIn : standIns) {
            try {
                standIn.close();
            } catch (Exception e) {
                org.tinylog.Logger.debug("stand-in: A stand-in upstream failed to close: {}.", e.getMessage());
            }
        }
    }
}
