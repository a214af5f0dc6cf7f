package org.cuminshelf.poison;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Involvement;

/**
 * Two minutes of a fleet of four engines, each of which ends of itself every eight seconds on average, as one register
 * hears of it. Harmless requests are tried up to four times; a poison request comes each second, until it is found.
 */
final class CrashStormSimulation {

    private static final Fingerprint POISON = new Fingerprint(0, 1);
    private static final long STEP = Durations.nanos(250);
    private static final int STEPS = 480;
    private static final int ENGINES = 4;
    private static final double CRASH_CHANCE = 0.25 / 8;
    private static final int ARRIVALS = 12;
    private static final int MOST_TRIES = 4;
    /** Steps that a run lasts: a quarter of a second to two. */
    private static final int LONGEST_RUN = 8;

    private static final int STEPS_OF_RETURN = 4;

    /** A run at an engine: when it began and ends, in steps. */
    private record Run(Fingerprint request, int startStep, int endStep) {}

    private final Random random;
    private final PoisonRegistry register = new PoisonRegistry();
    private final List<List<Run>> engines = new ArrayList<>();
    private final int[] starts = new int[ENGINES];
    private final TreeMap<Fingerprint, Integer> tries = new TreeMap<>();
    private final Set<Fingerprint> atCrashes = new HashSet<>();
    private long number;
    private long nextHarmless = 10;
    private int poisonCrashes;

    CrashStormSimulation(long seed) {
        random = new Random(seed);
        for (int engine = 0; engine < ENGINES; engine++) {
            engines.add(new ArrayList<>());
        }
    }

    void run() {
        for (int step = 0; step < STEPS; step++) {
            long now = (step + 10) * STEP;
            for (int arrival = 0; arrival < ARRIVALS; arrival++) {
                place(step, new Fingerprint(0, nextHarmless++));
            }
            int poisoned =
                    step % STEPS_OF_RETURN == 0 && !register.isQuarantined(POISON) ? random.nextInt(ENGINES) : -1;
            for (int engine = 0; engine < ENGINES; engine++) {
                end(now, step, engine);
                if (engine == poisoned || random.nextDouble() < CRASH_CHANCE) {
                    crash(now, step, engine, engine == poisoned);
                }
            }
            register.quarantinePoison(now + 2 * STEP, "vm", this::next);
        }
    }

    private long next(boolean urgent) {
        return ++number;
    }

    private void place(int step, Fingerprint request) {
        if (!register.isQuarantined(request) && tries.merge(request, 1, Integer::sum) <= MOST_TRIES) {
            engines.get(random.nextInt(ENGINES)).add(new Run(request, step, step + 1 + random.nextInt(LONGEST_RUN)));
        }
    }

    private void end(long now, int step, int engine) {
        engines.get(engine).removeIf(run -> {
            boolean over = run.endStep <= step;
            if (over) {
                register.onSuccess(now, run.request, "vm", this::next);
            }
            return over;
        });
    }

    private void crash(long now, int step, int engine, boolean poisoned) {
        String upstream = engine + "-" + starts[engine]++;
        List<Run> cut = List.copyOf(engines.get(engine));
        engines.get(engine).clear();
        for (Run run : cut) {
            Involvement how = run.startStep == step ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
            register.onCrash(now, upstream, run.request, how, this::next);
            atCrashes.add(run.request);
        }
        if (poisoned) {
            poisonCrashes++;
            register.onCrash(now, upstream, POISON, Involvement.JUST_BEGUN, this::next);
        }
        cut.forEach(run -> place(step + 1, run.request));
    }

    int harmlessOnes() {
        return atCrashes.size();
    }

    int refused() {
        return (int) register.quarantine().all().stream()
                .filter(row ->
                        !row.getReleased() && !Quarantine.fingerprint(row).equals(POISON))
                .count();
    }

    int poisonCrashes() {
        return poisonCrashes;
    }
}
