package org.cuminshelf.tools;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.entry.EntrySettings;
import org.cuminshelf.process.CommonSettings;
import org.cuminshelf.process.EntryProcess;

/** Runs an entry. */
final class EntryCommand implements Command {

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "run an entry, which callers reach through the load balancer";
    }

    @Override
    public void describe(Subparser parser) {
        CommonFlags.describe(parser);
        Flags.addRequired(parser, "callers", "IP address and port of the callers' interface");
        Flags.addRequired(parser, "control", "addresses of the control processes of this region, separated by commas");
        Flags.add(parser, "claim-group", "group that holds the idempotency keys of the region", "region");
        Flags.add(parser, "longest-queue", "maximum number of queued calls", "1000");
        Flags.add(parser, "subset", "number of upstreams of a service to which sessions are kept open", "32");
        Flags.add(parser, "callers-cert", "PEM certificate chain for callers", "");
        Flags.add(parser, "callers-key", "PEM key (PKCS#8) for callers", "");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        CommonSettings common = CommonFlags.read(flags);
        EntrySettings settings = EntrySettings.of(
                common.region(),
                common.zone(),
                common.vm(),
                Flags.addresses(flags, "control"),
                (int) Flags.number(flags, "longest-queue", 1, 1_000_000),
                (int) Flags.number(flags, "subset", 1, 10_000),
                Flags.text(flags, "claim-group"));
        if (settings.controlAddresses().isEmpty()) {
            throw new UsageException("--control: give the address of at least one control process");
        }
        GracefulShutdown shutdown = GracefulShutdown.handleSignals();
        EntryProcess process = EntryProcess.start(
                common,
                settings,
                Flags.address(flags, "callers"),
                CommonFlags.pem(flags, "callers-cert", "callers-key"));
        return shutdown.await(List.of(process));
    }
}
