package org.cuminshelf.tools;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.process.CommonSettings;
import org.cuminshelf.process.ControlProcess;
import org.cuminshelf.replica.ReplicaSettings;

/** Runs a control process. */
final class ControlCommand implements Command {

    private static final int STORAGE_FAILURE_EXIT_CODE = 74;

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String summary() {
        return "run a control process on a VM with persistent storage";
    }

    @Override
    public void describe(Subparser parser) {
        CommonFlags.describe(parser);
        Flags.addRequired(parser, "data", "data folder");
        Flags.addRequired(parser, "admin", "IP address and port of the administration interface");
        Flags.addRequired(
                parser,
                "global",
                "addresses of the replicas of the global group, including this process, separated by commas");
        Flags.add(parser, "region-group", "name of the region's group", "region");
        Flags.add(
                parser,
                "region-replicas",
                "addresses of the replicas of the region's group; those of the global group if absent",
                "");
        Flags.add(
                parser, "admin-key-sha256", "SHA-256 hashes of the keys with operator rights, separated by commas", "");
        Flags.addSwitch(parser, "admin-open", "grant operator rights to requests without a key");
        Flags.add(parser, "admin-cert", "PEM certificate chain for operators", "");
        Flags.add(parser, "admin-tls-key", "PEM key (PKCS#8) for operators", "");
        Flags.addSwitch(
                parser, "no-group-commit", "sync each log entry to disk separately; only for measuring the cost");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        CommonSettings common = CommonFlags.read(flags);
        List<Address> global = Flags.addresses(flags, "global");
        List<Address> region = Flags.addresses(flags, "region-replicas");
        List<ReplicaSettings> groups = new ArrayList<>();
        if (global.contains(common.listen())) {
            groups.add(new ReplicaSettings(ControlSettings.GLOBAL_GROUP, common.listen(), global, true));
        } else {
            throw new UsageException(
                    "--global: the listen address " + common.listen() + " is not in the list of replicas");
        }
        groups.add(new ReplicaSettings(
                Flags.text(flags, "region-group"), common.listen(), region.isEmpty() ? global : region, false));
        ControlProcess.Options options = new ControlProcess.Options(
                new ControlSettings(common.region(), groups),
                Flags.path(flags, "data").orElseThrow(),
                Flags.address(flags, "admin"),
                CommonFlags.pem(flags, "admin-cert", "admin-tls-key"),
                new HashSet<>(Flags.list(flags, "admin-key-sha256")),
                Flags.isOn(flags, "admin-open"),
                !Flags.isOn(flags, "no-group-commit"));
        GracefulShutdown shutdown = GracefulShutdown.handleSignals();
        ControlProcess process =
                ControlProcess.start(common, options, () -> Runtime.getRuntime().halt(STORAGE_FAILURE_EXIT_CODE));
        return shutdown.await(List.of(process));
    }
}
