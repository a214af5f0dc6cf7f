package org.cuminshelf.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.trial.Contender;
import org.cuminshelf.trial.Experiment;
import org.cuminshelf.trial.ExperimentResult;
import org.cuminshelf.trial.Mix;

/** Runs the experiments that compare the planning policy with its baselines. */
final class ExperimentCommand implements Command {

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "measure goodput and role changes of the policy and its baselines under several workload mixes";
    }

    @Override
    public void describe(Subparser parser) {
        Flags.add(
                parser,
                "engines",
                "number of engines in the fleet; 13 is the size of the fleet of Katalogika, 6 that of the association",
                "13");
        Flags.add(parser, "entries", "number of entries", "2");
        Flags.add(parser, "mixes", "workload mixes, separated by commas; all if absent", "");
        Flags.add(
                parser,
                "policies",
                "parts of the names of the policies to run, separated by commas; all if absent",
                "");
        Flags.add(parser, "seconds", "simulated seconds of each run; the duration of the mix if 0", "0");
        Flags.add(parser, "seed", "random seed of arrivals and delays", "1");
        Flags.add(parser, "csv", "file to which the results are also written", "");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        int engines = (int) Flags.number(flags, "engines", 2, 10_000);
        int entries = (int) Flags.number(flags, "entries", 1, 250);
        long seconds = Flags.number(flags, "seconds", 0, 1_000_000);
        long seed = Flags.number(flags, "seed", 0, Long.MAX_VALUE / 2);
        List<String> lines = new ArrayList<>();
        lines.add(ExperimentResult.CSV_HEAD);
        System.out.println(ExperimentResult.CSV_HEAD);
        for (Mix mix : mixes(flags)) {
            for (Contender contender : contenders(flags)) {
                String line = Experiment.run(contender, mix, engines, entries, seconds, seed)
                        .csv();
                System.out.println(line);
                lines.add(line);
            }
        }
        if (Flags.path(flags, "csv").isPresent()) {
            Files.write(Path.of(Flags.text(flags, "csv")), lines);
        }
        return ExitCode.SUCCESS;
    }

    private static List<Mix> mixes(Namespace flags) throws UsageException {
        List<Mix> mixes = new ArrayList<>();
        for (String name : Flags.list(flags, "mixes")) {
            try {
                mixes.add(Mix.valueOf(name.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                throw new UsageException("--mixes = " + name + ": give one or more of "
                        + List.of(Mix.values()).toString().toLowerCase(Locale.ROOT));
            }
        }
        return mixes.isEmpty() ? List.of(Mix.values()) : mixes;
    }

    private static List<Contender> contenders(Namespace flags) {
        List<String> nameParts = Flags.list(flags, "policies");
        return Contender.all().stream()
                .filter(contender -> nameParts.isEmpty() || nameParts.stream().anyMatch(contender.name()::contains))
                .toList();
    }
}
