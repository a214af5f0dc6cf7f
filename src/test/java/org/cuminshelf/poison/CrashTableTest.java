package org.cuminshelf.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Involvement;

/** Tests which of the requests that were at crashes is found to be the cause. */
class CrashTableTest {

    private static final Fingerprint POISON = new Fingerprint(0, 1);
    private static final Fingerprint OTHER = new Fingerprint(0, 2);
    private static final ChangeSequence SEQUENCE = ChangeSequence.constant(1);
    private static final long SECOND = Durations.nanos(1_000);

    private final CrashTable table = new CrashTable();
    private long now = SECOND;

    private void justBegun(String upstream, Fingerprint... requests) {
        for (Fingerprint request : requests) {
            table.recordRun(now, upstream, request, Involvement.JUST_BEGUN, SEQUENCE);
        }
    }

    private void underWay(String upstream, Fingerprint request) {
        table.recordRun(now, upstream, request, Involvement.UNDER_WAY, SEQUENCE);
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
     * Guards against a request that is refused permanently although one upstream crashed under it: three entries each
     * had a copy of it there, or one entry reported it three times, and each report counted.
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
     * Guards against a harmless request that is refused permanently. It and the poison request were at the same three
     * crashes, one entry reported it some milliseconds before another reported the poison request, and that report was
     * acted on at once.
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
     * Guards against upstreams that crash permanently because two poison requests always arrive together and neither
     * can be distinguished from the other.
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
     * Guards against a harmless request that is refused permanently because it was beside a known poison request at
     * three crashes, after that one had been found and before all entries knew.
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
     * Guards against a poison request that is never found: a rack of upstreams fails repeatedly between its arrivals,
     * and the crashes of the rack evict those of the request.
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
        assertThat(findPoison())
                .as("three crashes may be coincidental in a storm")
                .isEmpty();
        justBegun("u4", POISON);
        justBegun("u5", POISON);
        assertThat(findPoison()).containsExactly(POISON);
    }

    /*
     * Guards against a harmless request that is refused permanently: upstreams crash independently, one after the
     * other, and it was at three of twelve crashes.
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
                .as("evicted requests leave nothing behind")
                .isEqualTo(128);
        assertThat(table.changedSince(0).getFirst().getRunsCount()).isLessThanOrEqualTo(128);
    }
}
