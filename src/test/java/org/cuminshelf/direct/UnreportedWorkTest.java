package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;

/** What becomes of prompts whose entries hear late of each other. */
class UnreportedWorkTest {

    private static final int ENGINES = 10;
    private static final double WORK_MILLIS = 40;
    private static final double USE = 0.6;
    private static final long LENGTH_MILLIS = 60_000;

    /** A prompt that an entry sent to an engine. */
    private record Sent(double at, int entry, int engine) {}

    /** One entry: what it knows, and what it thinks is on its way. */
    private static final class Chooser {
        private final UnreportedWork unseen = new UnreportedWork();
    }

    /**
     * Has entries send prompts, each by the least wait that it knows of, where it knows its own prompts at once and
     * those of the others only after a while.
     *
     * @return the mean wait in milliseconds
     */
    private static double meanWait(int entries, double newsMillis, boolean reckonsWithUnseen, long seed) {
        Random random = new Random(seed);
        List<Chooser> choosers = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            choosers.add(new Chooser());
        }
        double[] freeAt = new double[ENGINES];
        PriorityQueue<Sent> recent = new PriorityQueue<>((one, other) -> Double.compare(one.at, other.at));
        double waited = 0;
        int prompts = 0;
        double perMilli = USE * ENGINES / WORK_MILLIS;
        for (double at = 0; at < LENGTH_MILLIS; at -= Math.log(1 - random.nextDouble()) / perMilli) {
            int entry = random.nextInt(entries);
            while (!recent.isEmpty() && recent.peek().at < at - newsMillis) {
                recent.poll();
            }
            long now = Durations.nanos((long) at);
            UnreportedWork unseen = choosers.get(entry).unseen;
            double onItsWay = reckonsWithUnseen
                    ? unseen.expectedMillis(
                            now, Role.ROLE_PREFILL, Durations.nanos((long) newsMillis), entries - 1, ENGINES)
                    : 0;
            int best = 0;
            double least = Double.MAX_VALUE;
            long call = random.nextLong();
            for (int engine = 0; engine < ENGINES; engine++) {
                double known = Math.max(0, freeAt[engine] - at) - unseenThere(recent, entry, engine);
                double wait = Math.max(0, known) + onItsWay * UnreportedWork.randomShare("engine-" + engine, call);
                if (wait < least) {
                    best = engine;
                    least = wait;
                }
            }
            waited += Math.max(0, freeAt[best] - at);
            prompts++;
            freeAt[best] = Math.max(freeAt[best], at) + WORK_MILLIS;
            recent.add(new Sent(at, entry, best));
            unseen.recordSent(now, Role.ROLE_PREFILL, WORK_MILLIS);
        }
        return waited / prompts;
    }

    private static double unseenThere(Iterable<Sent> recent, int entry, int engine) {
        double work = 0;
        for (Sent sent : recent) {
            work += sent.engine == engine && sent.entry != entry ? WORK_MILLIS : 0;
        }
        return work;
    }

    /*
     * Prompts wait for each other while engines idle: twenty entries hear of each other a tenth of a second late, and
     * all send to the engine that was free when they last heard. Reckoning with what they can't know at least halves
     * the wait.
     */
    @Example
    void entriesThatHearLateOfEachOtherDoNotAllChooseTheSameEngine() {
        for (long seed = 1; seed <= 3; seed++) {
            double alike = meanWait(20, 100, false, seed);
            double spread = meanWait(20, 100, true, seed);
            assertThat(spread).as("seed %d, without it %.0f ms", seed, alike).isLessThan(alike / 2);
        }
    }

    /* Few entries hear of each other within milliseconds: what they know is all there is, and nothing may be lost. */
    @Example
    void entriesThatHearOfEachOtherAtOnceChooseAsBefore() {
        for (long seed = 1; seed <= 3; seed++) {
            double alike = meanWait(5, 4, false, seed);
            double spread = meanWait(5, 4, true, seed);
            assertThat(spread).as("seed %d, without it %.0f ms", seed, alike).isLessThan(1.1 * alike + 1);
        }
    }

    @Example
    void oneEntryReckonsWithNothingUnseen() {
        UnreportedWork unseen = new UnreportedWork();
        unseen.recordSent(0, Role.ROLE_PREFILL, 100);
        assertThat(unseen.expectedMillis(0, Role.ROLE_PREFILL, Durations.nanos(100), 0, 5))
                .isZero();
        assertThat(unseen.expectedMillis(0, Role.ROLE_DECODE, Durations.nanos(100), 9, 5))
                .isZero();
    }
}
