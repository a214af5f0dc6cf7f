package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * Guards against streams that go on at another software version than the one that began them, and against refusing the
 * streams that could go on.
 */
class StreamVersionDayTest {

    /** Seeds in CI; more by hand with -Dversions.seeds=50. */
    private static final int SEEDS = Integer.getInteger("versions.seeds", 2);

    /** Share of the streams taken up that must go on, against that of new streams that begin. */
    private static final double FEWEST_GOING_ON = 0.5;

    private static final int HALF = 3;
    private static final int ALL_OLD = 0;
    private static final int FEWEST_RESUMPTIONS = 12;

    private static void assertOneVersionEach(String what, int newEngines, Consumer<VersionDay> disturbances) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            VersionDay day = new VersionDay(seed, newEngines);
            disturbances.accept(day);
            day.run();
            System.out.println("two versions, " + what + ", seed " + seed + ": " + day.summary());
            assertThat(day.mixed()).as("mixed streams, seed %d", seed).isEmpty();
            if (day.resumptions() >= FEWEST_RESUMPTIONS) {
                assertThat(day.shareGoingOn()).as("going on, seed %d", seed).isGreaterThanOrEqualTo(FEWEST_GOING_ON);
            }
        }
    }

    /** Guards against the entry's own retries. */
    @Example
    void noStreamHoldsTwoVersionsWhereConnectionsAreReset() {
        assertOneVersionEach("resets", HALF, day -> day.again(100, 500, VersionDay::resetConnections));
    }

    @Example
    void noStreamHoldsTwoVersionsWhereEnginesCrash() {
        assertOneVersionEach("crashes", HALF, day -> day.again(700, 1_500, VersionDay::crashEngine));
    }

    /** Guards against resumptions at an entry that has not begun the stream. */
    @Example
    void noStreamHoldsTwoVersionsWhereCallersTakeThemUpElsewhere() {
        assertOneVersionEach("callers return", HALF, day -> day.letCallersLeave(30));
    }

    /** Guards against the loss of what only the entry knew that began a stream. */
    @Example
    void noStreamHoldsTwoVersionsWhereEntriesAreKilled() {
        assertOneVersionEach("entries killed", HALF, day -> day.again(600, 1_600, VersionDay::killEntry));
    }

    @Example
    void noStreamHoldsTwoVersionsWhereEntriesAreCutOff() {
        assertOneVersionEach(
                "entries cut off", HALF, day -> day.letCallersLeave(30).again(1_500, 3_000, VersionDay::cutOffEntry));
    }

    /** Guards against a version that is taken for the only one while another one appears. */
    @Example
    void noStreamHoldsTwoVersionsWhereEnginesComeBackAtAnotherVersion() {
        assertOneVersionEach(
                "engines exchanged",
                ALL_OLD,
                day -> day.letCallersLeave(20).again(1_500, 3_000, VersionDay::exchangeEngine));
    }

    @Example
    void noStreamHoldsTwoVersionsWhereAllOfItHappensAtOnce() {
        assertOneVersionEach(
                "all at once",
                ALL_OLD,
                day -> day.letCallersLeave(20)
                        .again(1_500, 3_000, VersionDay::exchangeEngine)
                        .again(1_000, 2_500, VersionDay::killEntry)
                        .again(300, 900, VersionDay::resetConnections));
    }

    /** Guards against refusing streams that only one version can have begun. */
    @Example
    void streamsGoOnAsBeforeWhereAllEnginesHaveOneVersion() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            VersionDay day = new VersionDay(seed, ALL_OLD);
            day.letCallersLeave(30).again(700, 1_600, VersionDay::killEntry);
            day.run();
            System.out.println("one version, seed " + seed + ": " + day.summary());
            assertThat(day.resumptions()).isGreaterThan(FEWEST_RESUMPTIONS);
            assertThat(day.shareGoingOn()).as("seed %d", seed).isGreaterThan(0.9);
        }
    }
}
