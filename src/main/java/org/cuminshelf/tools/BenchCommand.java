package org.cuminshelf.tools;

import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.bench.ClaimBench;
import org.cuminshelf.bench.FingerprintBench;
import org.cuminshelf.bench.OrganisationBench;
import org.cuminshelf.bench.PathBench;
import org.cuminshelf.bench.SlopeBench;
import org.cuminshelf.standin.EngineSpeed;

/** Runs the benchmarks behind the figures of docs/CAPACITY.md. */
final class BenchCommand implements Command {

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String summary() {
        return "measure the cost of a request, a hop, an upstream and a claim on this machine";
    }

    @Override
    public void describe(Subparser parser) {
        parser.addArgument("what")
                .choices("path", "slopes", "claims", "fingerprint", "organisations")
                .help("path: entry and sidecar compared with the engine alone; slopes: the cores without sockets;"
                        + " claims: a group of three replicas that write to disk; fingerprint: looking up a"
                        + " request among quarantined ones; organisations: looking up a request among organisations"
                        + " and their keys");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        List<String> lines = switch (flags.getString("what")) {
            case "path" -> path();
            case "slopes" -> SlopeBench.measure();
            case "fingerprint" -> FingerprintBench.measure();
            case "organisations" -> OrganisationBench.measure();
            default -> ClaimBench.measure();
        };
        lines.forEach(System.out::println);
        return ExitCode.SUCCESS;
    }

    private static List<String> path() throws Exception {
        try (Standalone system = Standalone.start(new Standalone.Options(
                Files.createTempDirectory("bench"), 0, 0, 1, EngineSpeed.instant(), "bench", Optional.empty()))) {
            StandaloneCommand.configure(system, "bench");
            return PathBench.measure(system.enginePorts().getFirst(), system.callersPort());
        }
    }
}
