package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/**
 * Guards against upstreams that crash one after the other under requests of which no two are alike, but which share a
 * segment of their prompts.
 */
class PoisonSegmentTest {

    /** Seeds in CI; more by hand with -Dpoison.seeds=50. */
    private static final int SEEDS = Integer.getInteger("poison.seeds", 3);

    private static final long SECOND = SegmentDay.SECOND;
    private static final long POISON_FROM = 14 * SECOND;
    private static final String SEGMENT = "bad";
    private static final String OTHER_SEGMENT = "worse";

    private static SegmentDay day(long seed) {
        SegmentDay day = new SegmentDay(seed);
        day.poisonInTheMiddle(POISON_FROM, SEGMENT);
        return day;
    }

    @Example
    void aMiddleSegmentUnderWhichFiveEnginesCrashedReachesNoMore() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.runUntil(44);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    @Example
    void aFirstSegmentUnderWhichFiveEnginesCrashedReachesNoMore() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = new SegmentDay(seed);
            day.poisonAtTheStart(POISON_FROM, SEGMENT);
            day.runUntil(44);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    @Example
    void itReachesNoMoreThoughAnEntryRestartsAfterEachSecondCrash() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.restartAnEntryAfterEachSecondCrash();
            day.runUntil(44);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    @Example
    void itReachesNoMoreThoughTheLeaderOfControlIsLostAfterTheThirdCrash() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.afterCrashes(3, () -> day.fleet.leader().kill());
            day.runUntil(44);
            day.assertStopped(SEGMENT);
        }
    }

    @Example
    void itReachesNoMoreAfterARestartOfEverything() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.runUntil(30);
            day.fleet.all().forEach(node -> day.fleet.restart(node, 1_000));
            long restarted = day.fleet.time.now();
            day.runUntil(60);
            day.assertStopped(SEGMENT);
            assertThat(day.requestsAfter(SEGMENT, restarted))
                    .as("requests that reached engines after the restart, seed %d", seed)
                    .isLessThanOrEqualTo(SegmentDay.ALLOWED_LATER);
        }
    }

    @Example
    void twoSegmentsAtOneTimeReachNoMore() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.poisonInTheMiddle(POISON_FROM, OTHER_SEGMENT);
            day.runUntil(50);
            day.assertStopped(SEGMENT);
            day.assertStopped(OTHER_SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    /** Guards against a sixth crash by one of two segments that begin at one time, as each hides the other. */
    @Example
    void twoSegmentsAtOneTimeReachNoMoreWithSeed18() {
        SegmentDay day = day(18);
        day.poisonInTheMiddle(POISON_FROM, OTHER_SEGMENT);
        day.runUntil(50);
        day.assertStopped(SEGMENT);
        day.assertStopped(OTHER_SEGMENT);
    }

    @Example
    void itReachesNoMoreBesideAPoisonRequestThatReturns() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.returningPoisonRequest(POISON_FROM + SECOND);
            day.runUntil(50);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    /** Guards against broken streams that pass for complete, as engines that crash close connections in order. */
    @Example
    void noStreamIsCompleteWithoutItsLastEventBesideIt() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.fleet.engines.forEach(engine -> engine.closesInOrder = true);
            day.runUntil(44);
            day.assertStopped(SEGMENT);
            day.assertAnswersAreWhole();
        }
    }

    @Example
    void aSegmentThatWasSoundForAMinuteReachesNoMoreOnceItCrashesEngines() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = new SegmentDay(seed);
            day.askWithSegmentAt(SegmentDay.START, SEGMENT);
            day.fleet.time.at(POISON_FROM, () -> day.fleet.records.poisonSegments.add(SEGMENT));
            day.runUntil(44);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    @Example
    void itReachesNoMoreBesideCrashesOfOtherCauses() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = day(seed);
            day.crashByChance(10, POISON_FROM, POISON_FROM + 20 * SECOND);
            day.runUntil(50);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    @Example
    void itReachesNoMoreOnAFleetOfThreeEngines() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = new SegmentDay(seed, 4, 3);
            day.poisonInTheMiddle(POISON_FROM, SEGMENT);
            day.runUntil(60);
            day.assertStopped(SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    /** Guards against a sound segment that is refused, as it was at crashes of the three engines again and again. */
    @Example
    void noSoundSegmentIsQuarantinedOnAFleetOfThreeEnginesWithSeed13() {
        SegmentDay day = new SegmentDay(13, 4, 3);
        day.poisonInTheMiddle(POISON_FROM, SEGMENT);
        day.runUntil(60);
        day.assertStopped(SEGMENT);
        day.assertOthersAreServed(SEGMENT);
    }

    /** Guards against a sound segment that is refused, as it was at crashes of two poison ones. */
    @Example
    void noSoundSegmentIsQuarantinedBesideTwoPoisonOnesWithSeed13() {
        SegmentDay day = day(13);
        day.poisonInTheMiddle(POISON_FROM, OTHER_SEGMENT);
        day.runUntil(50);
        day.assertStopped(SEGMENT);
        day.assertStopped(OTHER_SEGMENT);
        day.assertOthersAreServed(SEGMENT);
    }

    /** Guards against a sound segment that is refused, as its trials began together with those of two poison ones. */
    @Example
    void noSoundSegmentIsQuarantinedBesideTwoPoisonOnesWithSeeds150And153And249() {
        for (long seed : List.of(150L, 153L, 249L)) {
            SegmentDay day = day(seed);
            day.poisonInTheMiddle(POISON_FROM, OTHER_SEGMENT);
            day.runUntil(50);
            day.assertStopped(SEGMENT);
            day.assertStopped(OTHER_SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    /** Guards against a sound segment that is refused, as requests with it and a poison one were taken for trials. */
    @Example
    void noSoundSegmentIsQuarantinedBesideTwoPoisonOnesWithSeeds62And92() {
        for (long seed : List.of(62L, 92L)) {
            SegmentDay day = day(seed);
            day.poisonInTheMiddle(POISON_FROM, OTHER_SEGMENT);
            day.runUntil(50);
            day.assertStopped(SEGMENT);
            day.assertStopped(OTHER_SEGMENT);
            day.assertOthersAreServed(SEGMENT);
        }
    }

    /** Guards against a segment that ends all three engines again and again before any answer is whole. */
    @Example
    void itReachesNoMoreOnAFleetOfThreeEnginesWithSeed120() {
        SegmentDay day = new SegmentDay(120, 4, 3);
        day.poisonInTheMiddle(POISON_FROM, SEGMENT);
        day.runUntil(60);
        day.assertStopped(SEGMENT);
        day.assertOthersAreServed(SEGMENT);
    }

    /** Guards against a fourth late request on three engines, which serve little between the crashes. */
    @Example
    void itReachesNoMoreOnAFleetOfThreeEnginesWithSeed290() {
        SegmentDay day = new SegmentDay(290, 4, 3);
        day.poisonInTheMiddle(POISON_FROM, SEGMENT);
        day.runUntil(60);
        day.assertStopped(SEGMENT);
        day.assertOthersAreServed(SEGMENT);
    }

    /** Guards against a fourth late request with one of two segments that begin at one time. */
    @Example
    void twoSegmentsAtOneTimeReachNoMoreWithSeed196() {
        SegmentDay day = day(196);
        day.poisonInTheMiddle(POISON_FROM, OTHER_SEGMENT);
        day.runUntil(50);
        day.assertStopped(SEGMENT);
        day.assertStopped(OTHER_SEGMENT);
        day.assertOthersAreServed(SEGMENT);
    }

    /** Guards against a sound segment that is refused, as its trial began just before that of the poison one. */
    @Example
    void noSoundSegmentIsQuarantinedBesideOneThatWasSoundForAMinuteWithSeed41() {
        SegmentDay day = new SegmentDay(41);
        day.askWithSegmentAt(SegmentDay.START, SEGMENT);
        day.fleet.time.at(POISON_FROM, () -> day.fleet.records.poisonSegments.add(SEGMENT));
        day.runUntil(44);
        day.assertStopped(SEGMENT);
        day.assertOthersAreServed(SEGMENT);
    }

    /** Guards against a popular segment that is refused as engines crash for other reasons, now and then. */
    @Example
    void nothingIsQuarantinedWhereEnginesCrashByChance() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = new SegmentDay(seed);
            day.crashByChance(12, POISON_FROM, POISON_FROM + 28 * SECOND);
            day.runUntil(48);
            day.assertNothingIsQuarantined();
        }
    }

    /** Guards against a segment that all requests share and that is refused as all engines crash at one time. */
    @Example
    void nothingIsQuarantinedWhereAllEnginesCrashTogetherAgainAndAgain() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = new SegmentDay(seed);
            day.oneFirstSegment();
            for (int round = 0; round < 4; round++) {
                day.crashAll(POISON_FROM + round * 6 * SECOND, 0);
            }
            day.runUntil(48);
            day.assertNothingIsQuarantined();
        }
    }

    /** Guards against a segment that is refused as a release ends engines one after the other without notice. */
    @Example
    void nothingIsQuarantinedWhereAllEnginesCrashInTurn() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SegmentDay day = new SegmentDay(seed);
            for (int round = 0; round < 3; round++) {
                day.crashAll(POISON_FROM + round * 8 * SECOND, SECOND / 5);
            }
            day.runUntil(48);
            day.assertNothingIsQuarantined();
        }
    }
}
