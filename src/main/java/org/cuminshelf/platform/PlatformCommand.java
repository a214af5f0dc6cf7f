package org.cuminshelf.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.direct.DirectSettings;
import org.cuminshelf.process.CommonSettings;
import org.cuminshelf.process.ControlProcess;
import org.cuminshelf.process.DirectEntryProcess;
import org.cuminshelf.process.ServingProcess;
import org.cuminshelf.replica.MembershipPolicy;
import org.cuminshelf.replica.ReplicaSettings;
import org.cuminshelf.tools.Command;
import org.cuminshelf.tools.GracefulShutdown;
import org.cuminshelf.tools.UsageException;
import org.tinylog.Logger;

/** Runs one process on the operators' platform with the settings file named by {@link BootSettings#PATH_VARIABLE}. */
public final class PlatformCommand implements Command {

    private static final String ROLE = "role";
    private static final String ENTRY = "entry";
    private static final String CONTROL = "control";
    private static final String WARM_UP = "warm-up";
    private static final String METRICS_PORT = "metricsPort";
    private static final int EXIT_DISK_FAILED = 74;
    private static final int MAX_PORT = 65_535;

    private PlatformCommand() {}

    /**
     * Creates the command.
     *
     * @return the command
     */
    public static PlatformCommand create() {
        return new PlatformCommand();
    }

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public String summary() {
        return "run a process on the operators' platform with the settings file named in " + BootSettings.PATH_VARIABLE;
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument(ROLE)
                .choices(ENTRY, CONTROL, WARM_UP)
                .help("role of the process; warm-up serves one request through both roles on loopback and exits");
        parser.addArgument("--metrics-port")
                .dest(METRICS_PORT)
                .type(Integer.class)
                .choices(Arguments.range(1, MAX_PORT))
                .help("metrics port; the last internal port by default");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        if (flags.getString(ROLE).equals(WARM_UP)) {
            WarmUp.run();
            return 0;
        }
        GracefulShutdown shutdown = GracefulShutdown.handleSignals();
        BootSettings settings = BootSettings.read();
        BootSettings boot = Optional.ofNullable(flags.getInt(METRICS_PORT))
                .map(settings::withMetricsPort)
                .orElse(settings);
        if (flags.getString(ROLE).equals(CONTROL)) {
            return shutdown.await(List.of(startControl(boot)));
        }
        DirectEntryProcess entry = startEntry(boot);
        shutdown.onReload(() -> reloadSeeds(entry));
        return shutdown.await(List.of(entry));
    }

    private static void reloadSeeds(DirectEntryProcess entry) {
        try {
            entry.replaceSeeds(BootSettings.read().seeds());
        } catch (IOException e) {
            Logger.warn("platform: event=reload outcome=\"the earlier settings stay\" reason=\"{}\"", e.getMessage());
        }
    }

    private static CommonSettings commonSettings(BootSettings boot) {
        return new CommonSettings(
                boot.messageAddress(),
                boot.region(),
                boot.zone(),
                boot.vm(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                boot.stopGraceMillis());
    }

    static DirectEntryProcess startEntry(BootSettings boot) throws IOException, UsageException {
        Address callerAddress = boot.callerAddress()
                .orElseThrow(() -> new UsageException("the settings file has no 'listen.front' address"));
        DirectEntryProcess.Options options = new DirectEntryProcess.Options(
                new DirectSettings(
                        boot.region(),
                        boot.zone(),
                        boot.vm(),
                        boot.seeds(),
                        boot.retryLimits(),
                        boot.duties().usageWindowMillis()),
                callerAddress,
                boot.readinessAddress(),
                Optional.of(boot.metricsAddress()),
                new PlatformProtocol(),
                document -> RouteConfigParser.parse(document).toJavaOptional());
        return DirectEntryProcess.start(commonSettings(boot), options);
    }

    static ServingProcess startControl(BootSettings boot) throws IOException, UsageException {
        Address controlAddress = boot.controlAddress()
                .orElseThrow(() -> new UsageException("the settings file has no 'listen.control' address"));
        Path folder = boot.dataFolder().orElseThrow(() -> new UsageException("the settings file has no 'dataDir'"));
        ReplicaSettings group = new ReplicaSettings(
                ControlSettings.GLOBAL_GROUP,
                boot.messageAddress(),
                boot.seeds(),
                true,
                boot.bootstrap() ? MembershipPolicy.OPEN : MembershipPolicy.JOIN_ONLY);
        ControlSettings settings = new ControlSettings(
                boot.region(),
                List.of(group),
                document -> RouteConfigParser.parse(document).fold(Optional::of, valid -> Optional.empty()),
                boot.duties().toDutySettings());
        ControlProcess.Options options = new ControlProcess.Options(
                settings, folder, controlAddress, Optional.empty(), new HashSet<>(), false, true);
        return ControlProcess.start(
                commonSettings(boot),
                options,
                PlatformControlInterface.opener(controlAddress, boot),
                () -> Runtime.getRuntime().halt(EXIT_DISK_FAILED));
    }
}
