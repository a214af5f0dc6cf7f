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
import org.cuminshelf.message.AttributeKind;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.UpstreamCrash;

/** Tests of the replication of poison requests between processes. */
class PoisonRegistryTest {

    private static final Fingerprint POISON = new Fingerprint(0, 1);
    private static final long SECOND = Durations.nanos(1_000);
    /**
     * Harmless requests at crashes of which one may be refused. Some 770 are at crashes in a storm, so one refusal is
     * allowed in thirteen storms.
     */
    private static final int HARMLESS_REQUESTS_PER_ALLOWED_REFUSAL = 10_000;

    private long lastChangeNumber;
    private final ChangeSequence sequence = urgent -> ++lastChangeNumber;

    private void crash(PoisonRegistry registry, String upstream, Fingerprint request, Involvement involvement) {
        registry.onCrash(SECOND, upstream, RequestAttribute.request(request), involvement, 1, sequence);
    }

    private PoisonRegistry quarantiningRegistry() {
        PoisonRegistry registry = new PoisonRegistry();
        for (String upstream : List.of("u1", "u2", "u3")) {
            crash(registry, upstream, POISON, Involvement.JUST_BEGUN);
        }
        registry.quarantinePoison(2 * SECOND, "vm", sequence);
        return registry;
    }

    private void replicate(PoisonRegistry from, PoisonRegistry to) {
        to.merge(2 * SECOND, from.crashesChangedSince(0), from.quarantine().changedSince(0), sequence);
    }

    private static Object state(PoisonRegistry registry) {
        TreeMap<String, Set<CrashedRun>> crashes = new TreeMap<>();
        for (UpstreamCrash crash : registry.crashesChangedSince(0)) {
            crashes.put(crash.getUpstream(), new HashSet<>(crash.getRunsList()));
        }
        return List.of(crashes, new HashSet<>(registry.quarantine().all()));
    }

    private static RequestAttribute attribute(Random random) {
        return random.nextBoolean()
                ? RequestAttribute.request(new Fingerprint(0, random.nextInt(5)))
                : RequestAttribute.shared(AttributeKind.PROMPT_SEGMENT, "s", "segment-" + random.nextInt(5));
    }

    @Property(tries = 200, seed = "20261203")
    void registriesConvergeWhateverTheOrderOfReplication(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int events) {
        Random random = new Random(seed);
        List<PoisonRegistry> entries = List.of(new PoisonRegistry(), new PoisonRegistry(), new PoisonRegistry());
        for (int event = 0; event < events; event++) {
            PoisonRegistry entry = entries.get(random.nextInt(entries.size()));
            RequestAttribute attribute = attribute(random);
            if (random.nextInt(6) == 0) {
                entry.onSuccess(SECOND, attribute.fingerprint(), "vm", sequence);
            } else {
                Involvement involvement = random.nextBoolean() ? Involvement.JUST_BEGUN : Involvement.UNDER_WAY;
                int requests = attribute.isShared() ? 1 + random.nextInt(4) : 1;
                entry.onCrash(SECOND, "u" + random.nextInt(6), attribute, involvement, requests, sequence);
            }
        }
        List<PoisonRegistry> order = new ArrayList<>(entries);
        for (int round = 0; round < 3; round++) {
            Collections.shuffle(order, random);
            order.forEach(from -> order.forEach(to -> replicate(from, to)));
        }
        assertThat(state(entries.get(0))).isEqualTo(state(entries.get(1))).isEqualTo(state(entries.get(2)));
    }

    /*
     * Guards against harmless requests that are refused permanently. Engines crash under a poison request, and others
     * at random; the requests that were running are sent again, up to four times in all, and may be running when the
     * next engine crashes.
     */
    @Example
    void harmlessRequestsAreNotQuarantined() {
        int harmlessRequests = 0;
        int refused = 0;
        for (int seed = 1; seed <= 200; seed++) {
            CrashStormSimulation storm = new CrashStormSimulation(seed);
            storm.run();
            harmlessRequests += storm.harmlessRequests();
            refused += storm.refusedHarmlessRequests();
            assertThat(storm.poisonCrashes())
                    .as("crashes of the poison request, seed %d", seed)
                    .isLessThanOrEqualTo(6);
        }
        System.out.printf("harmless requests at crashes: %d, taken for poison: %d%n", harmlessRequests, refused);
        assertThat(refused).isLessThanOrEqualTo(harmlessRequests / HARMLESS_REQUESTS_PER_ALLOWED_REFUSAL);
    }

    /*
     * Guards against a request that is quarantined again as soon as it is released, because an entry that was
     * partitioned reports the old crashes.
     */
    @Example
    void crashesBeforeAReleaseDoNotQuarantineAgain() {
        PoisonRegistry registry = quarantiningRegistry();
        PoisonRegistry partitioned = quarantiningRegistry();
        assertThat(registry.isQuarantined(POISON)).isTrue();
        QuarantinedRequest released = registry.quarantine()
                .releaseRow(POISON, "ada", "engine mended", 7)
                .orElseThrow();
        registry.merge(SECOND, released, sequence);
        replicate(partitioned, registry);
        registry.quarantinePoison(4 * SECOND, "vm", sequence);
        assertThat(registry.isQuarantined(POISON)).isFalse();
        PoisonRegistry restarted = new PoisonRegistry();
        restarted.merge(SECOND, released, sequence);
        replicate(partitioned, restarted);
        restarted.quarantinePoison(4 * SECOND, "vm", sequence);
        assertThat(restarted.isQuarantined(POISON)).isFalse();
    }

    @Example
    void threeCrashesAfterAReleaseQuarantineAgain() {
        PoisonRegistry registry = quarantiningRegistry();
        registry.merge(
                SECOND,
                registry.quarantine()
                        .releaseRow(POISON, "ada", "engine mended", 7)
                        .orElseThrow(),
                sequence);
        for (String upstream : List.of("u4", "u5", "u6")) {
            crash(registry, upstream, POISON, Involvement.JUST_BEGUN);
        }
        registry.quarantinePoison(4 * SECOND, "vm", sequence);
        assertThat(registry.isQuarantined(POISON)).isTrue();
        assertThat(registry.quarantine().all().iterator().next().getGeneration())
                .isEqualTo(2);
    }

    @Example
    void aQuarantinedRequestThatSucceedsIsReleased() {
        PoisonRegistry registry = quarantiningRegistry();
        assertThat(registry.onSuccess(SECOND, POISON, "vm", sequence)).isTrue();
        assertThat(registry.isQuarantined(POISON)).isFalse();
    }

    /** Guards against a trial that is repeated soon although an upstream crashed under the one before. */
    @Example
    void aCrashUnderAQuarantinedAttributeIsCountedOnceAsAFailedTrial() {
        RequestAttribute segment = RequestAttribute.shared(AttributeKind.PROMPT_SEGMENT, "s", "segment");
        PoisonRegistry registry = new PoisonRegistry();
        registry.merge(SECOND, registry.quarantine().quarantineRow(segment, List.of("u1"), "vm"), sequence);
        for (int report = 0; report < 3; report++) {
            registry.onCrash(SECOND, "u2", segment, Involvement.JUST_BEGUN, report + 1, sequence);
        }
        QuarantinedRequest row =
                registry.quarantine().row(segment.fingerprint()).orElseThrow();
        assertThat(row.getFailedTrials()).isEqualTo(1);
        assertThat(row.getUpstreamsList()).containsExactly("u1", "u2");
        assertThat(registry.isQuarantined(segment.fingerprint())).isTrue();
    }

    @Example
    void releasedRequestsAreEvictedFirst() {
        Quarantine quarantine = new Quarantine();
        Fingerprint first = new Fingerprint(9, 0);
        quarantine.merge(quarantine.quarantineRow(RequestAttribute.request(first), List.of("u"), "vm"), sequence);
        for (int request = 1; request <= 1_023; request++) {
            Fingerprint next = new Fingerprint(9, request);
            quarantine.merge(quarantine.quarantineRow(RequestAttribute.request(next), List.of("u"), "vm"), sequence);
        }
        Fingerprint released = new Fingerprint(9, 500);
        quarantine.merge(quarantine.releaseRow(released, "ada", "", 0).orElseThrow(), sequence);
        quarantine.merge(quarantine.quarantineRow(RequestAttribute.request(POISON), List.of("u"), "vm"), sequence);
        assertThat(quarantine.isQuarantined(first)).isTrue();
        assertThat(quarantine.all()).hasSize(1_024);
        assertThat(quarantine.all()).extracting(Quarantine::fingerprint).doesNotContain(released);
    }
}
