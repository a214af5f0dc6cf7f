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
 * Simulates two minutes of four engines, each of which crashes at random every eight seconds on average, as one
 * registry records them. Harmless requests are attempted up to four times; a poison request arrives every second until
 * it is found.
 */
final class CrashStormSimulation {

    private static final Fingerprint POISON = new Fingerprint(0, 1);
    private static final long STEP_NANOS = Durations.nanos(250);
    private static final int STEPS = 480;
    private static final int ENGINES = 4;
    private static final double CRASH_PROBABILITY_PER_STEP = 0.25 / 8;
    private static final int ARRIVALS_PER_STEP = 12;
    private static final int MAX_ATTEMPTS = 4;
    /** Longest run: a run lasts from a quarter of a second to two seconds. */
    private static final int MAX_RUN_STEPS = 8;

    private static final int POISON_INTERVAL_STEPS = 4;

    /** A run at an engine, with the steps at which it starts and ends. */
    private record Run(Fingerprint request, int startStep, int endStep) {}

    private final Random random;
    private final PoisonRegistry registry = new PoisonRegistry();
    private final List<List<Run>> engines = new ArrayList<>();
    private final int[] startCounts = new int[ENGINES];
    private final TreeMap<Fingerprint, Integer> attempts = new TreeMap<>();
    private final Set<Fingerprint> atCrashes = new HashSet<>();
    private long lastChangeNumber;
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
            long now = (step + 10) * STEP_NANOS;
            for (int arrival = 0; arrival < ARRIVALS_PER_STEP; arrival++) {
                place(step, new Fingerprint(0, nextHarmless++));
            }
            int poisoned =
                    step % POISON_INTERVAL_STEPS == 0 && !registry.isQuarantined(POISON) ? random.nextInt(ENGINES) : -1;
            for (int engine = 0; engine < ENGINES; engine++) {
                endRuns(now, step, engine);
                if (engine == poisoned || random.nextDouble() < CRASH_PROBABILITY_PER_STEP) {
                    crash(now, step, engine, engine == poisoned);
                }
            }
            registry.quarantinePoison(now + 2 * STEP_NANOS, "vm", this::next);
        }
    }

    private long next(boolean urgent) {
        return ++lastChangeNumber;
    }

    private void place(int step, Fingerprint request) {
        if (!registry.isQuarantined(request) && attempts.merge(request, 1, Integer::sum) <= MAX_ATTEMPTS) {
            engines.get(random.nextInt(ENGINES)).add(new Run(request, step, step + 1 + random.nextInt(MAX_RUN_STEPS)));
        }
    }

    private void endRuns(long now, int step, int engine) {
        engines.get(engine).removeIf(run -> {
            boolean ended = run.endStep <= step;
            if (ended) {
                registry.onSuccess(now, run.request, "vm", this::next);
            }
            return ended;
        });
    }

    private void crash(long now, int step, int engine, boolean poisoned) {
        String upstream = engine + "-" + startCounts[engine]++;
        List<Run> interrupted = List.copyOf(engines.get(engine));
        engines.get(engine).clear();
        for (Run run : interrupted) {
            Involvement involvement = run.startStep == step ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
            registry.onCrash(now, upstream, RequestAttribute.request(run.request), involvement, 1, this::next);
            atCrashes.add(run.request);
        }
        if (poisoned) {
            poisonCrashes++;
            registry.onCrash(now, upstream, RequestAttribute.request(POISON), Involvement.JUST_BEGUN, 1, this::next);
        }
        interrupted.forEach(run -> place(step + 1, run.request));
    }

    int harmlessRequests() {
        return atCrashes.size();
    }

    int refusedHarmlessRequests() {
        return (int) registry.quarantine().all().stream()
                .filter(row ->
                        !row.getReleased() && !Quarantine.fingerprint(row).equals(POISON))
                .count();
    }

    int poisonCrashes() {
        return poisonCrashes;
    }
}
