package org.cuminshelf.tools;

import java.net.URI;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.process.CommonSettings;
import org.cuminshelf.process.SidecarProcess;
import org.cuminshelf.sidecar.SidecarSettings;

/** Runs a sidecar. */
final class SidecarCommand implements Command {

    @Override
    public String name() {
        return "sidecar";
    }

    @Override
    public String summary() {
        return "run a sidecar, the process that connects an upstream to the system";
    }

    @Override
    public void describe(Subparser parser) {
        CommonFlags.describe(parser);
        Flags.addRequired(parser, "upstream", "base URL of the upstream, such as http://127.0.0.1:8081");
        Flags.addRequired(parser, "control", "addresses of the control processes of this region, separated by commas");
        Flags.add(parser, "service", "name of the plain service; empty if the upstream is an engine", "");
        Flags.add(parser, "slots", "maximum number of concurrent attempts", "64");
        Flags.add(parser, "health-path", "path on which a healthy plain service returns a status below 500", "/");
        Flags.addSwitch(parser, "checks-fence", "the engine itself refuses orders with an old fencing token");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        CommonSettings common = CommonFlags.read(flags);
        String service = Flags.text(flags, "service");
        SidecarSettings settings = new SidecarSettings(
                service,
                service.isEmpty() ? UpstreamKind.UPSTREAM_ENGINE : UpstreamKind.UPSTREAM_SERVICE,
                common.region(),
                common.zone(),
                common.vm(),
                (int) Flags.number(flags, "slots", 1, 100_000),
                Flags.isOn(flags, "checks-fence"),
                Flags.addresses(flags, "control"));
        GracefulShutdown shutdown = GracefulShutdown.handleSignals();
        SidecarProcess process =
                SidecarProcess.start(common, settings, upstreamUri(flags), Flags.text(flags, "health-path"));
        return shutdown.await(List.of(process));
    }

    private static URI upstreamUri(Namespace flags) throws UsageException {
        String value = Flags.text(flags, "upstream");
        if (!value.matches("http://[0-9a-fA-F.:\\[\\]]+:\\d{1,5}")) {
            throw new UsageException("--upstream = " + value + ": give http:// with an IP address and a port");
        }
        return URI.create(value);
    }
}
