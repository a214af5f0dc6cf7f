package org.cuminshelf.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Involvement;

/** Which of the requests that were at crashes is taken for the cause. */
class CrashTableTest {

    private static final Fingerprint POISON = new Fingerprint(0, 1);
    private static final Fingerprint OTHER = new Fingerprint(0, 2);
    private static final ChangeSequence SEQUENCE = ChangeSequence.constant(1);
    private static final long SECOND = Durations.nanos(1_000);

    private final CrashTable table = new CrashTable();
    private long now = SECOND;

    private void justBegun(String upstream, Fingerprint... requests) {
        for (Fingerprint request : requests) {
            table.record(now, upstream, request, Involvement.JUST_BEGUN, SEQUENCE);
        }
    }

    private void underWay(String upstream, Fingerprint request) {
        table.record(now, upstream, request, Involvement.UNDER_WAY, SEQUENCE);
    }

    private List<Fingerprint> findPoison() {
        now += SECOND;
        return table.findPoison(now, request -> false);
    }

    @Example
    void threeCrashesJustAfterItBeganMakeARequestPoison() {
        justBegun("u1", POISON, OTHER);
        justBegun("u2", POISON);
        assertThat(findPoison()).isEmpty();
        justBegun("u3", POISON);
        assertThat(findPoison()).containsExactly(POISON);
    }

    /*
     * A request is refused for ever though one upstream ended under it. Three entries each had a copy of it there, or
     * one entry told of it three times, and each counted.
     */
    @Example
    void repeatedReportsOfOneCrashCountOnce() {
        for (int report = 0; report < 5; report++) {
            justBegun("u1", POISON);
            justBegun("u2", POISON);
        }
        assertThat(findPoison()).isEmpty();
    }

    @Example
    void aSuccessClearsARequestOfAllEarlierCrashes() {
        justBegun("u1", POISON);
        justBegun("u2", POISON);
        assertThat(table.clear(now, POISON, SEQUENCE)).isTrue();
        justBegun("u3", POISON);
        justBegun("u1", POISON);
        assertThat(findPoison()).isEmpty();
        assertThat(table.crashedUpstreams(POISON)).containsExactly("u3");
    }

    /*
     * A harmless request is refused for ever. It and the poison request were at the same three crashes, one entry told
     * of it some milliseconds before another told of the poison request, and was believed at once.
     */
    @Example
    void noRequestIsFoundBeforeReportsOfItsCrashesHaveSettled() {
        justBegun("u1", POISON, OTHER);
        justBegun("u2", POISON, OTHER);
        justBegun("u3", OTHER);
        assertThat(table.isSettling(now, OTHER)).isTrue();
        now += Durations.nanos(20);
        assertThat(table.findPoison(now, request -> false)).isEmpty();
        justBegun("u3", POISON);
        assertThat(findPoison()).isEmpty();
    }

    @Example
    void poisonBesideAnotherRequestIsFoundOnceItCrashesAlone() {
        for (String upstream : List.of("u1", "u2", "u3")) {
            justBegun(upstream, POISON, OTHER);
        }
        assertThat(findPoison()).isEmpty();
        justBegun("u4", POISON);
        assertThat(findPoison()).containsExactly(POISON);
    }

    @Example
    void poisonBesideAnotherRequestIsFoundOnceTheOtherSucceeds() {
        for (String upstream : List.of("u1", "u2", "u3")) {
            justBegun(upstream, POISON, OTHER);
        }
        assertThat(findPoison()).isEmpty();
        table.clear(now, OTHER, SEQUENCE);
        assertThat(findPoison()).containsExactly(POISON);
    }

    /*
     * Upstreams go on ending for ever: two poison requests come together each time, and neither is told from the other.
     */
    @Example
    void twoRequestsAlwaysAtTheSameCrashesAreBothPoisonAfterFive() {
        for (String upstream : List.of("u1", "u2", "u3", "u4")) {
            justBegun(upstream, POISON, OTHER);
        }
        assertThat(findPoison()).isEmpty();
        justBegun("u5", POISON, OTHER);
        assertThat(findPoison()).containsExactlyInAnyOrder(POISON, OTHER);
    }

    @Example
    void aLongStreamAtTheSameCrashesDoesNotHidePoison() {
        for (String upstream : List.of("u1", "u2", "u3")) {
            justBegun(upstream, POISON);
            underWay(upstream, OTHER);
        }
        assertThat(findPoison()).containsExactly(POISON);
    }

    @Example
    void aRequestThatCrashesUpstreamsLateTakesSixCrashes() {
        for (String upstream : List.of("u1", "u2", "u3", "u4", "u5")) {
            underWay(upstream, POISON);
        }
        assertThat(findPoison()).isEmpty();
        underWay("u6", POISON);
        assertThat(findPoison()).containsExactly(POISON);
    }

    /*
     * A harmless request is refused for ever: it was beside a known poison request at three crashes, after that one
     * had been found and before all entries knew.
     */
    @Example
    void crashesExplainedByKnownPoisonDoNotCountAgainstOthers() {
        justBegun("u1", POISON, OTHER);
        table.updateExplained(POISON, POISON::equals);
        justBegun("u2", OTHER);
        justBegun("u3", OTHER);
        now += SECOND;
        assertThat(table.findPoison(now, POISON::equals)).isEmpty();
        justBegun("u4", OTHER);
        now += SECOND;
        assertThat(table.findPoison(now, POISON::equals)).containsExactly(OTHER);
    }

    /*
     * A poison request is never found: a rack of upstreams fails again and again between its returns, and what was
     * known of its crashes makes room for what is known of theirs.
     */
    @Example
    void manyUnrelatedCrashesDoNotEvictASuspect() {
        justBegun("u1", POISON);
        justBegun("u2", POISON);
        for (int crash = 0; crash < 1_000; crash++) {
            justBegun("other-" + crash, new Fingerprint(1, crash));
        }
        justBegun("u3", POISON);
        assertThat(table.crashedUpstreams(POISON)).containsExactly("u1", "u2", "u3");
        assertThat(findPoison()).as("in a storm three crashes may be chance").isEmpty();
        justBegun("u4", POISON);
        justBegun("u5", POISON);
        assertThat(findPoison()).containsExactly(POISON);
    }

    /*
     * A harmless request is refused for ever. Upstreams end of themselves, one after the other, and it was at three of
     * twelve.
     */
    @Example
    void threeCrashesAreNotEnoughDuringAStorm() {
        for (int crash = 0; crash < 9; crash++) {
            justBegun("other-" + crash, new Fingerprint(1, crash));
        }
        justBegun("u1", OTHER);
        justBegun("u2", OTHER);
        justBegun("u3", OTHER);
        assertThat(findPoison()).isEmpty();
    }

    @Example
    void oldCrashesAreNoStorm() {
        for (int crash = 0; crash < 9; crash++) {
            justBegun("other-" + crash, new Fingerprint(1, crash));
        }
        now += 60 * SECOND;
        justBegun("u1", POISON);
        justBegun("u2", POISON);
        justBegun("u3", POISON);
        assertThat(findPoison()).containsExactly(POISON);
    }

    @Example
    void theRequestsOfOneCrashAreBoundedAndThoseJustBegunAreKept() {
        for (int request = 0; request < 1_000; request++) {
            underWay("u1", new Fingerprint(1, request));
        }
        justBegun("u1", POISON);
        assertThat(table.crashedUpstreams(POISON)).containsExactly("u1");
        assertThat(table.requestCount())
                .as("nothing is kept of those that were forgotten")
                .isEqualTo(128);
        assertThat(table.changedSince(0).getFirst().getRunsCount()).isLessThanOrEqualTo(128);
    }
}
