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

    private static final int DISK_FAILED = 74;

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String summary() {
        return "run a control process, on a VM with a disk";
    }

    @Override
    public void describe(Subparser parser) {
        CommonFlags.describe(parser);
        Flags.addRequired(parser, "data", "data folder");
        Flags.addRequired(parser, "admin", "IP number and port of the administration interface");
        Flags.addRequired(parser, "global", "replicas of the global group, the own among them, separated by commas");
        Flags.add(parser, "region-group", "name of the region's group", "region");
        Flags.add(parser, "region-replicas", "replicas of the region's group; those of the global group if absent", "");
        Flags.add(parser, "admin-key-sha256", "SHA-256 of keys that may operate, separated by commas", "");
        Flags.addSwitch(parser, "admin-open", "let requests without a key operate");
        Flags.add(parser, "admin-cert", "PEM certificate chain for operators", "");
        Flags.add(parser, "admin-tls-key", "PEM key (PKCS#8) for operators", "");
        Flags.addSwitch(parser, "no-group-commit", "sync each entry by itself; only to measure what that costs");
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
            throw new UsageException("--global: the own address " + common.listen() + " is not among the replicas");
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
        ControlProcess process =
                ControlProcess.start(common, options, () -> Runtime.getRuntime().halt(DISK_FAILED));
        return GracefulShutdown.awaitSignal(List.of(process));
    }
}
