package org.cuminshelf.tools;

import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.core.InvariantViolation;
import org.cuminshelf.trial.CheckReport;
import org.cuminshelf.trial.CheckRun;
import org.tinylog.Logger;

/** Runs the randomised check. */
final class CheckCommand implements Command {

    private static final long NANOS_PER_MINUTE = 60_000_000_000L;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "run the decision cores under random faults and assert their promises";
    }

    @Override
    public void describe(Subparser parser) {
        Flags.add(parser, "seeds", "how many seeds to run", "20");
        Flags.add(parser, "first-seed", "the first seed", "1");
        Flags.add(parser, "seconds", "virtual seconds with faults for each seed", "120");
        Flags.add(parser, "minutes", "stop after so many minutes, whatever seeds are left", "60");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        long first = Flags.number(flags, "first-seed", 0, Long.MAX_VALUE / 2);
        long seeds = Flags.number(flags, "seeds", 1, 1_000_000_000);
        long seconds = Flags.number(flags, "seconds", 1, 1_000_000);
        long end = System.nanoTime() + Flags.number(flags, "minutes", 1, 100_000) * NANOS_PER_MINUTE;
        Optional<CheckReport> sum = Optional.empty();
        for (long seed = first; seed < first + seeds && System.nanoTime() < end; seed++) {
            try {
                CheckReport report = CheckRun.run(seed, seconds);
                sum = Optional.of(sum.map(before -> before.plus(report)).orElse(report));
            } catch (RuntimeException failure) {
                // A breach of an invariant, or a core that failed outright; either way the seed is what matters.
                System.err.println("Seed " + seed + " breaks " + describe(failure));
                System.err.println(
                        "Replay it with: cuminshelf check --seeds 1 --first-seed " + seed + " --seconds " + seconds);
                return ExitCode.FAILURE;
            }
        }
        sum.ifPresent(report -> System.out.println("Seeds " + first + " to " + report.seed() + ": " + report));
        return ExitCode.SUCCESS;
    }

    private static String describe(RuntimeException failure) {
        if (failure instanceof InvariantViolation breach) {
            return breach.getMessage();
        }
        Logger.error(failure, "check: A core failed.");
        return "no-core-fails: " + failure;
    }
}
