package org.cuminshelf.tools;

import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cuminshelf.core.InvariantViolation;
import org.cuminshelf.trial.CheckReport;
import org.cuminshelf.trial.CheckRun;
import org.tinylog.Logger;

/** Runs the decision cores in simulation under random faults and checks their invariants. */
final class CheckCommand implements Command {

    private static final long NANOS_PER_MINUTE = 60_000_000_000L;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "run the decision cores under random faults and check their invariants";
    }

    @Override
    public void describe(Subparser parser) {
        Flags.add(parser, "seeds", "number of seeds to run", "20");
        Flags.add(parser, "first-seed", "the first seed", "1");
        Flags.add(parser, "seconds", "simulated seconds with faults for each seed", "120");
        Flags.add(parser, "minutes", "start no further seed after this many minutes", "60");
    }

    @Override
    public int run(Namespace flags) throws Exception {
        long firstSeed = Flags.number(flags, "first-seed", 0, Long.MAX_VALUE / 2);
        long seedCount = Flags.number(flags, "seeds", 1, 1_000_000_000);
        long seconds = Flags.number(flags, "seconds", 1, 1_000_000);
        long deadlineNanos = System.nanoTime() + Flags.number(flags, "minutes", 1, 100_000) * NANOS_PER_MINUTE;
        Optional<CheckReport> total = Optional.empty();
        for (long seed = firstSeed; seed < firstSeed + seedCount && System.nanoTime() < deadlineNanos; seed++) {
            try {
                CheckReport report = CheckRun.run(seed, seconds);
                total = Optional.of(total.map(earlier -> earlier.plus(report)).orElse(report));
            } catch (RuntimeException failure) {
                // Either an invariant was violated or a core threw an exception; the seed reproduces both.
                System.err.println("Seed " + seed + " breaks " + describe(failure));
                System.err.println(
                        "Replay it with: cuminshelf check --seeds 1 --first-seed " + seed + " --seconds " + seconds);
                return ExitCode.FAILURE;
            }
        }
        total.ifPresent(report -> System.out.println("Seeds " + firstSeed + " to " + report.seed() + ": " + report));
        return ExitCode.SUCCESS;
    }

    private static String describe(RuntimeException failure) {
        if (failure instanceof InvariantViolation breach) {
            return breach.getMessage();
        }
        Logger.error(failure, "check: A core threw an exception.");
        return "no-core-fails: " + failure;
    }
}
