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
import org.cuminshelf.tools.Serving;
import org.cuminshelf.tools.UsageException;
import org.tinylog.Logger;

/** Runs a process on the users' platform, by the settings file that it names. */
public final class PlatformCommand implements Command {

    private static final String ROLE = "role";
    private static final String ENTRY = "entry";
    private static final String CONTROL = "control";
    private static final String WARM_UP = "warm-up";
    private static final String METRICS_PORT = "metricsPort";
    private static final int DISK_FAILED = 74;
    private static final int MOST_PORT = 65_535;

    private PlatformCommand() {}

    /**
     * Makes the command.
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
        return "run a process on the users' platform, by the settings file named in " + BootSettings.VARIABLE;
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument(ROLE)
                .choices(ENTRY, CONTROL, WARM_UP)
                .help("what the process is; warm-up serves one request by both on loopback and ends");
        parser.addArgument("--metrics-port")
                .dest(METRICS_PORT)
                .type(Integer.class)
                .choices(Arguments.range(1, MOST_PORT))
                .help("port of the own address for metrics; the last of the ports for messages if left out");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        if (flags.getString(ROLE).equals(WARM_UP)) {
            WarmUp.run();
            return 0;
        }
        BootSettings read = BootSettings.read();
        BootSettings boot = Optional.ofNullable(flags.getInt(METRICS_PORT))
                .map(read::withMetricsPort)
                .orElse(read);
        if (flags.getString(ROLE).equals(CONTROL)) {
            return Serving.until(List.of(control(boot)));
        }
        DirectEntryProcess entry = entry(boot);
        return Serving.until(List.of(entry), () -> reload(entry));
    }

    private static void reload(DirectEntryProcess entry) {
        try {
            entry.replaceSeeds(BootSettings.read().seeds());
        } catch (IOException e) {
            Logger.warn("platform: event=reload outcome=\"the earlier settings stay\" reason=\"{}\"", e.getMessage());
        }
    }

    private static CommonSettings common(BootSettings boot) {
        return new CommonSettings(
                boot.messages(),
                boot.region(),
                boot.zone(),
                boot.vm(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                boot.graceMillis());
    }

    static DirectEntryProcess entry(BootSettings boot) throws IOException, UsageException {
        Address callers =
                boot.callers().orElseThrow(() -> new UsageException("the settings name no address for callers"));
        DirectEntryProcess.Options options = new DirectEntryProcess.Options(
                new DirectSettings(
                        boot.region(),
                        boot.zone(),
                        boot.vm(),
                        boot.seeds(),
                        boot.repeats(),
                        boot.duties().usageWindowMillis()),
                callers,
                boot.readiness(),
                Optional.of(boot.metrics()),
                new PlatformProtocol(),
                document -> RouteConfigParser.read(document).toJavaOptional());
        return DirectEntryProcess.start(common(boot), options);
    }

    static ServingProcess control(BootSettings boot) throws IOException, UsageException {
        Address address =
                boot.control().orElseThrow(() -> new UsageException("the settings name no address for control"));
        Path folder = boot.dataFolder().orElseThrow(() -> new UsageException("the settings name no data folder"));
        ReplicaSettings group = new ReplicaSettings(
                ControlSettings.GLOBAL_GROUP,
                boot.messages(),
                boot.seeds(),
                true,
                boot.firstStart() ? MembershipPolicy.OPEN : MembershipPolicy.JOIN_ONLY);
        ControlSettings settings = new ControlSettings(
                boot.region(),
                List.of(group),
                document -> RouteConfigParser.read(document).fold(Optional::of, fine -> Optional.empty()),
                boot.duties().forControl());
        ControlProcess.Options options =
                new ControlProcess.Options(settings, folder, address, Optional.empty(), new HashSet<>(), false, true);
        return ControlProcess.start(
                common(boot),
                options,
                PlatformControlInterface.at(address, boot),
                () -> Runtime.getRuntime().halt(DISK_FAILED));
    }
}
