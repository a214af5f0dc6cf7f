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

/** Runs the policy experiments. */
final class ExperimentCommand implements Command {

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "measure goodput and role changes of the policy and its baselines under several mixes";
    }

    @Override
    public void describe(Subparser parser) {
        Flags.add(parser, "engines", "engines in the fleet: 13 as Katalogika, 6 as the association", "13");
        Flags.add(parser, "entries", "entries before them", "2");
        Flags.add(parser, "mixes", "mixes, separated by commas; all if absent", "");
        Flags.add(parser, "policies", "words in the names of the policies wanted, separated by commas", "");
        Flags.add(parser, "seconds", "virtual seconds of each run; those of the mix if 0", "0");
        Flags.add(parser, "seed", "seed of arrivals and delays", "1");
        Flags.add(parser, "csv", "file for the results; the console if absent", "");
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
                throw new UsageException("--mixes = " + name + ": give some of "
                        + List.of(Mix.values()).toString().toLowerCase(Locale.ROOT));
            }
        }
        return mixes.isEmpty() ? List.of(Mix.values()) : mixes;
    }

    private static List<Contender> contenders(Namespace flags) {
        List<String> words = Flags.list(flags, "policies");
        return Contender.all().stream()
                .filter(contender -> words.isEmpty() || words.stream().anyMatch(contender.name()::contains))
                .toList();
    }
}
