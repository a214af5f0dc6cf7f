package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;

/** Tests the waiting time of prompts from entries whose load reports are delayed. */
class UnreportedWorkTest {

    private static final int ENGINES = 10;
    private static final double WORK_MILLIS = 40;
    private static final double UTILISATION = 0.6;
    private static final long DURATION_MILLIS = 60_000;

    /** A prompt that an entry sent to an engine. */
    private record Sent(double at, int entry, int engine) {}

    /** One entry with its estimate of unreported work. */
    private static final class SimulatedEntry {
        private final UnreportedWork unreported = new UnreportedWork();
    }

    /**
     * Simulates entries that send each prompt to the engine with the shortest wait known to them. An entry knows its
     * own prompts at once and those of other entries after a delay.
     *
     * @return the mean wait in milliseconds
     */
    private static double meanWait(int entries, double reportDelayMillis, boolean usesEstimate, long seed) {
        Random random = new Random(seed);
        List<SimulatedEntry> simulatedEntries = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            simulatedEntries.add(new SimulatedEntry());
        }
        double[] freeAt = new double[ENGINES];
        PriorityQueue<Sent> recent = new PriorityQueue<>((one, other) -> Double.compare(one.at, other.at));
        double totalWaitMillis = 0;
        int prompts = 0;
        double promptsPerMilli = UTILISATION * ENGINES / WORK_MILLIS;
        for (double at = 0; at < DURATION_MILLIS; at -= Math.log(1 - random.nextDouble()) / promptsPerMilli) {
            int entry = random.nextInt(entries);
            while (!recent.isEmpty() && recent.peek().at < at - reportDelayMillis) {
                recent.poll();
            }
            long now = Durations.nanos((long) at);
            UnreportedWork unreported = simulatedEntries.get(entry).unreported;
            double expectedMillis = usesEstimate
                    ? unreported.expectedMillis(
                            now, Role.ROLE_PREFILL, Durations.nanos((long) reportDelayMillis), entries - 1, ENGINES)
                    : 0;
            int best = 0;
            double least = Double.MAX_VALUE;
            long call = random.nextLong();
            for (int engine = 0; engine < ENGINES; engine++) {
                double known = Math.max(0, freeAt[engine] - at) - unreportedMillis(recent, entry, engine);
                double wait =
                        Math.max(0, known) + expectedMillis * UnreportedWork.randomFactor("engine-" + engine, call);
                if (wait < least) {
                    best = engine;
                    least = wait;
                }
            }
            totalWaitMillis += Math.max(0, freeAt[best] - at);
            prompts++;
            freeAt[best] = Math.max(freeAt[best], at) + WORK_MILLIS;
            recent.add(new Sent(at, entry, best));
            unreported.recordSent(now, Role.ROLE_PREFILL, WORK_MILLIS);
        }
        return totalWaitMillis / prompts;
    }

    private static double unreportedMillis(Iterable<Sent> recent, int entry, int engine) {
        double work = 0;
        for (Sent sent : recent) {
            work += sent.engine == engine && sent.entry != entry ? WORK_MILLIS : 0;
        }
        return work;
    }

    /*
     * Guards against prompts waiting for each other while engines are idle: twenty entries receive each other's reports
     * a tenth of a second late, and all send to the engine that was idle at the last report. The estimate of unreported
     * work must at least halve the wait.
     */
    @Example
    void entriesWithDelayedReportsDoNotAllSelectTheSameEngine() {
        for (long seed = 1; seed <= 3; seed++) {
            double withoutEstimate = meanWait(20, 100, false, seed);
            double withEstimate = meanWait(20, 100, true, seed);
            assertThat(withEstimate)
                    .as("seed %d, %.0f ms without the estimate", seed, withoutEstimate)
                    .isLessThan(withoutEstimate / 2);
        }
    }

    /*
     * With few entries reports arrive within milliseconds and are complete, so the estimate must not lengthen the wait.
     */
    @Example
    void entriesWithImmediateReportsWaitNoLongerThanWithoutTheEstimate() {
        for (long seed = 1; seed <= 3; seed++) {
            double withoutEstimate = meanWait(5, 4, false, seed);
            double withEstimate = meanWait(5, 4, true, seed);
            assertThat(withEstimate)
                    .as("seed %d, %.0f ms without the estimate", seed, withoutEstimate)
                    .isLessThan(1.1 * withoutEstimate + 1);
        }
    }

    @Example
    void aSingleEntryExpectsNoUnreportedWork() {
        UnreportedWork unreported = new UnreportedWork();
        unreported.recordSent(0, Role.ROLE_PREFILL, 100);
        assertThat(unreported.expectedMillis(0, Role.ROLE_PREFILL, Durations.nanos(100), 0, 5))
                .isZero();
        assertThat(unreported.expectedMillis(0, Role.ROLE_DECODE, Durations.nanos(100), 9, 5))
                .isZero();
    }
}
