package org.cuminshelf.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.UpstreamCrash;

/** What processes tell each other of poison requests. */
class PoisonRegistryTest {

    private static final Fingerprint POISON = new Fingerprint(0, 1);
    private static final long SECOND = Durations.nanos(1_000);
    /** Harmless requests at crashes of which one may be refused: some 770 are in a storm, so one in thirteen storms. */
    private static final int MOST_REFUSED_ONE_IN = 10_000;

    private long number;
    private final ChangeSequence numbers = urgent -> ++number;

    private void crash(PoisonRegistry register, String upstream, Fingerprint request, Involvement involvement) {
        register.onCrash(SECOND, upstream, request, involvement, numbers);
    }

    private PoisonRegistry quarantined() {
        PoisonRegistry register = new PoisonRegistry();
        for (String upstream : List.of("u1", "u2", "u3")) {
            crash(register, upstream, POISON, Involvement.JUST_BEGUN);
        }
        register.quarantinePoison(2 * SECOND, "vm", numbers);
        return register;
    }

    private void tell(PoisonRegistry from, PoisonRegistry to) {
        to.merge(2 * SECOND, from.crashesChangedSince(0), from.quarantine().changedSince(0), numbers);
    }

    private static Object state(PoisonRegistry register) {
        TreeMap<String, Set<CrashedRun>> crashes = new TreeMap<>();
        for (UpstreamCrash crash : register.crashesChangedSince(0)) {
            crashes.put(crash.getUpstream(), new HashSet<>(crash.getRunsList()));
        }
        return List.of(crashes, new HashSet<>(register.quarantine().all()));
    }

    @Property(tries = 200, seed = "20261203")
    void whateverTheOrderInWhichTheyTellEachOtherAllKnowTheSame(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int events) {
        Random random = new Random(seed);
        List<PoisonRegistry> entries = List.of(new PoisonRegistry(), new PoisonRegistry(), new PoisonRegistry());
        for (int event = 0; event < events; event++) {
            PoisonRegistry entry = entries.get(random.nextInt(entries.size()));
            Fingerprint request = new Fingerprint(0, random.nextInt(5));
            if (random.nextInt(6) == 0) {
                entry.onSuccess(SECOND, request, "vm", numbers);
            } else {
                Involvement how = random.nextBoolean() ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
                crash(entry, "u" + random.nextInt(6), request, how);
            }
        }
        List<PoisonRegistry> order = new ArrayList<>(entries);
        for (int round = 0; round < 3; round++) {
            Collections.shuffle(order, random);
            order.forEach(from -> order.forEach(to -> tell(from, to)));
        }
        assertThat(state(entries.get(0))).isEqualTo(state(entries.get(1))).isEqualTo(state(entries.get(2)));
    }

    /*
     * Harmless requests are refused for ever. Engines end under a poison request, and others of themselves; whatever
     * was there is sent again, up to four times in all, and is there again when the next one ends.
     */
    @Example
    void harmlessRequestsAreNotTakenForPoison() {
        int harmlessOnes = 0;
        int refused = 0;
        for (int seed = 1; seed <= 200; seed++) {
            CrashStormSimulation storm = new CrashStormSimulation(seed);
            storm.run();
            harmlessOnes += storm.harmlessOnes();
            refused += storm.refused();
            assertThat(storm.poisonCrashes())
                    .as("crashes of the poison request, seed %d", seed)
                    .isLessThanOrEqualTo(6);
        }
        System.out.printf("harmless requests at crashes: %d, taken for poison: %d%n", harmlessOnes, refused);
        assertThat(refused).isLessThanOrEqualTo(harmlessOnes / MOST_REFUSED_ONE_IN);
    }

    /*
     * A request is quarantined again as soon as it is released: an entry that was cut off tells of the old crashes.
     */
    @Example
    void whatARequestWasReleasedFromIsNotHeldAgainstItAgain() {
        PoisonRegistry register = quarantined();
        PoisonRegistry cutOff = quarantined();
        assertThat(register.isQuarantined(POISON)).isTrue();
        QuarantinedRequest released = register.quarantine()
                .releaseRow(POISON, "ada", "engine mended", 7)
                .orElseThrow();
        register.merge(SECOND, released, numbers);
        tell(cutOff, register);
        register.quarantinePoison(4 * SECOND, "vm", numbers);
        assertThat(register.isQuarantined(POISON)).isFalse();
        PoisonRegistry restarted = new PoisonRegistry();
        restarted.merge(SECOND, released, numbers);
        tell(cutOff, restarted);
        restarted.quarantinePoison(4 * SECOND, "vm", numbers);
        assertThat(restarted.isQuarantined(POISON)).isFalse();
    }

    @Example
    void threeNewCrashesAfterItsReleaseQuarantineItAgain() {
        PoisonRegistry register = quarantined();
        register.merge(
                SECOND,
                register.quarantine()
                        .releaseRow(POISON, "ada", "engine mended", 7)
                        .orElseThrow(),
                numbers);
        for (String upstream : List.of("u4", "u5", "u6")) {
            crash(register, upstream, POISON, Involvement.JUST_BEGUN);
        }
        register.quarantinePoison(4 * SECOND, "vm", numbers);
        assertThat(register.isQuarantined(POISON)).isTrue();
        assertThat(register.quarantine().all().iterator().next().getGeneration())
                .isEqualTo(2);
    }

    @Example
    void aQuarantinedRequestThatEndsWellAfterAllIsReleased() {
        PoisonRegistry register = quarantined();
        assertThat(register.onSuccess(SECOND, POISON, "vm", numbers)).isTrue();
        assertThat(register.isQuarantined(POISON)).isFalse();
    }

    @Example
    void ofMoreQuarantinedRequestsThanAreKeptTheReleasedGoFirst() {
        Quarantine quarantine = new Quarantine();
        Fingerprint first = new Fingerprint(9, 0);
        quarantine.merge(quarantine.quarantineRow(first, List.of("u"), "vm"), numbers);
        for (int request = 1; request <= 1_023; request++) {
            Fingerprint next = new Fingerprint(9, request);
            quarantine.merge(quarantine.quarantineRow(next, List.of("u"), "vm"), numbers);
        }
        Fingerprint released = new Fingerprint(9, 500);
        quarantine.merge(quarantine.releaseRow(released, "ada", "", 0).orElseThrow(), numbers);
        quarantine.merge(quarantine.quarantineRow(POISON, List.of("u"), "vm"), numbers);
        assertThat(quarantine.isQuarantined(first)).isTrue();
        assertThat(quarantine.all()).hasSize(1_024);
        assertThat(quarantine.all()).extracting(Quarantine::fingerprint).doesNotContain(released);
    }
}
