package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * Guards against refusing streams that callers resume after losses of processes and messages, where new streams begin,
 * and against going on with them at another software version.
 */
class ResumedStreamDayTest {

    /** Seeds in CI; more by hand with -Dversions.seeds=50. */
    private static final int SEEDS = Integer.getInteger("versions.seeds", 2);

    private static final long FIRST_SEED = Long.getLong("versions.seed", 1);

    /** Share of the resumed streams that must go on, against that of new streams that begin. */
    private static final double FEWEST_GOING_ON = 0.5;

    private static final int FEWEST_RESUMPTIONS = 12;
    private static final int HALF = 3;
    private static final int ALL_OLD = 0;
    private static final int LEAVE_PERCENT = 30;
    private static final int SOME_ENTRIES = 5;
    /** So many that most resumptions reach an entry that has no record itself. */
    private static final int MORE_ENTRIES = 12;

    private static void assertStreamsGoOn(String what, int newEngines, Consumer<VersionDay> disturbances) {
        assertStreamsGoOn(what, newEngines, SOME_ENTRIES, SEEDS, disturbances);
    }

    private static void assertStreamsGoOn(
            String what, int newEngines, int entries, int seeds, Consumer<VersionDay> disturbances) {
        List<String> failures = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
            VersionDay day = new VersionDay(seed, newEngines, entries).letCallersReturn(LEAVE_PERCENT, 300, 200);
            disturbances.accept(day);
            day.run();
            System.out.println("resumed, " + what + ", seed " + seed + ": " + day.summary());
            findFailures(day).forEach(failure -> failures.add("seed " + day.seed + ": " + failure));
        }
        assertThat(failures).isEmpty();
    }

    private static List<String> findFailures(VersionDay day) {
        List<String> failures = new ArrayList<>();
        if (!day.mixed().isEmpty()) {
            failures.add("mixed streams " + day.mixed().size());
        }
        ResumptionTally tally = day.tally;
        if (tally.resumedInTouch() >= FEWEST_RESUMPTIONS && tally.shareGoingOnInTouch() < FEWEST_GOING_ON) {
            failures.add("share going on at entries in touch " + tally.shareGoingOnInTouch());
        }
        if (tally.resumed() >= FEWEST_RESUMPTIONS && tally.shareGoingOn() < FEWEST_GOING_ON) {
            failures.add("share going on " + tally.shareGoingOn());
        }
        if (tally.resumedAfterLoss() >= FEWEST_RESUMPTIONS && tally.shareGoingOnAfterLoss() < FEWEST_GOING_ON) {
            failures.add("share going on after a loss " + tally.shareGoingOnAfterLoss());
        }
        return failures;
    }

    /** Guards against records that are lost with the memory of all entries. */
    @Example
    void streamsGoOnWhereAllEntriesLosePowerAtOnce() {
        assertStreamsGoOn("power cuts", HALF, day -> day.again(4_000, 6_000, FleetFaults::cutPower));
    }

    /** Guards against a Retry-After that keeps callers from returning while their streams can go on. */
    @Example
    void streamsGoOnWhereAllEntriesLosePowerAndCallersHonourRetryAfter() {
        assertStreamsGoOn(
                "power cuts, Retry-After honoured",
                HALF,
                day -> day.letCallersHonourRetryAfter().again(4_000, 6_000, FleetFaults::cutPower));
    }

    /** Guards against records that are lost as their holders are killed one after the other. */
    @Example
    void streamsGoOnWhereEntriesAreKilledInSeries() {
        assertStreamsGoOn("killed in series", HALF, day -> day.once(FleetFaults::killInSeries));
    }

    /** Guards against entries that stop without passing on the records that they hold. */
    @Example
    void streamsGoOnWhereEntriesAreStoppedInSeries() {
        assertStreamsGoOn("stopped in series", HALF, day -> day.once(FleetFaults::stopInSeries));
    }

    /** Guards against records that no process passes on while each of their holders is killed in turn. */
    @Example
    void streamsGoOnWhoseCallersReturnAfterAllEntriesWereKilledInSeries() {
        assertStreamsGoOn(
                "killed in series, callers return late",
                HALF,
                day -> day.letCallersStayAway(5_000, 3_000).once(FleetFaults::killInQuickSeries));
    }

    /** Guards against records that no process passes on while each of their holders is stopped in turn. */
    @Example
    void streamsGoOnWhoseCallersReturnAfterAllEntriesWereStoppedInSeries() {
        assertStreamsGoOn(
                "stopped in series, callers return late",
                HALF,
                day -> day.letCallersStayAway(6_000, 3_000).once(FleetFaults::stopInQuickSeries));
    }

    /** Guards against a single version that nobody is sure of once all that listened have restarted. */
    @Example
    void streamsOfOneVersionGoOnWhereControlAndThenAllEntriesRestart() {
        assertStreamsGoOn(
                "one version, control, then entries",
                ALL_OLD,
                day -> day.again(7_000, 9_000, FleetFaults::loseControlThenEntries));
    }

    /** Guards against the same in the other order. */
    @Example
    void streamsOfOneVersionGoOnWhereAllEntriesAndThenControlRestart() {
        assertStreamsGoOn(
                "one version, entries, then control",
                ALL_OLD,
                day -> day.again(7_000, 9_000, FleetFaults::loseEntriesThenControl));
    }

    /** Guards against a restarted control process that is not sent the records again before the entries lose them. */
    @Example
    void streamsGoOnWhoseCallersReturnAfterControlAndThenAllEntriesRestarted() {
        assertStreamsGoOn(
                "control, then entries, callers return late",
                HALF,
                day -> day.letCallersStayAway(5_000, 3_000).again(7_000, 9_000, FleetFaults::loseControlThenEntries));
    }

    /** Guards against restarted entries that are not sent the records again before control loses them. */
    @Example
    void streamsGoOnWhoseCallersReturnAfterAllEntriesAndThenControlRestarted() {
        assertStreamsGoOn(
                "entries, then control, callers return late",
                HALF,
                day -> day.letCallersStayAway(5_000, 3_000).again(7_000, 9_000, FleetFaults::loseEntriesThenControl));
    }

    /** Guards against entries that disagree on who holds a record while control processes hear different entries. */
    @Example
    void streamsGoOnWhereEntriesAreCutInHalves() {
        assertStreamsGoOn("halves", HALF, day -> day.again(4_000, 6_000, FleetFaults::split));
    }

    /** Guards against the same where messages pass in one direction. */
    @Example
    void streamsGoOnWhereEntriesAreCutInHalvesOnOneSide() {
        assertStreamsGoOn("one-sided halves", HALF, day -> day.again(4_000, 6_000, FleetFaults::splitOneSided));
    }

    /** Guards against an entry that takes its own lateness for the silence of others. */
    @Example
    void streamsGoOnWhereEntriesRunLate() {
        assertStreamsGoOn("late entries", HALF, MORE_ENTRIES, SEEDS, day -> day.once(FleetFaults::runLate));
    }

    /** Guards against the same where callers do not come again. */
    @Example
    void streamsGoOnAtTheFirstTryWhereEntriesRunLate() {
        assertStreamsGoOn(
                "late entries, one try",
                HALF,
                MORE_ENTRIES,
                SEEDS,
                day -> day.letCallersTryOnce().once(FleetFaults::runLate));
    }

    /** Guards against a single lost message that ends a resumption. */
    @Example
    void streamsGoOnWhereMessagesAreLost() {
        assertStreamsGoOn("lost messages", HALF, MORE_ENTRIES, SEEDS, day -> day.once(FleetFaults::loseMessages));
    }

    /** Guards against the same where callers do not come again. */
    @Example
    void streamsGoOnAtTheFirstTryWhereMessagesAreLost() {
        assertStreamsGoOn(
                "lost messages, one try",
                HALF,
                MORE_ENTRIES,
                SEEDS,
                day -> day.letCallersTryOnce().once(FleetFaults::loseMessages));
    }

    /** Guards against records without enough holders on the smallest fleet. */
    @Example
    void streamsGoOnWhereOneOfThreeEntriesIsKilled() {
        assertStreamsGoOn("3 entries", HALF, 3, SEEDS, day -> day.again(600, 1_600, VersionDay::killEntry));
    }

    @Example
    void streamsGoOnWhereOneOfFiveEntriesIsKilled() {
        assertStreamsGoOn("5 entries", HALF, 5, SEEDS, day -> day.again(600, 1_600, VersionDay::killEntry));
    }

    /** Guards against streams that go on only at the few entries of many that hold their record. */
    @Example
    void streamsGoOnWhereOneOfThirtyThreeEntriesIsKilled() {
        assertStreamsGoOn(
                "33 entries", HALF, 33, Math.min(SEEDS, 10), day -> day.again(100, 300, VersionDay::killEntry));
    }

    @Example
    void streamsGoOnWhereOneOfAHundredEntriesIsKilled() {
        assertStreamsGoOn(
                "100 entries", HALF, 100, Math.min(SEEDS, 3), day -> day.again(100, 300, VersionDay::killEntry));
    }

    /** Guards against mixed and refused streams while a release goes on, beside each of the losses. */
    @Example
    void streamsGoOnInAReleaseWhereAllEntriesLosePowerAtOnce() {
        assertStreamsGoOn(
                "release, power cuts",
                ALL_OLD,
                day -> day.once(FleetFaults::release).again(4_000, 6_000, FleetFaults::cutPower));
    }

    @Example
    void streamsGoOnInAReleaseWhereEntriesAreKilledInSeries() {
        assertStreamsGoOn(
                "release, killed in series",
                ALL_OLD,
                day -> day.once(FleetFaults::release).once(FleetFaults::killInSeries));
    }

    @Example
    void streamsGoOnInAReleaseWhereEntriesAreStoppedInSeries() {
        assertStreamsGoOn(
                "release, stopped in series",
                ALL_OLD,
                day -> day.once(FleetFaults::release).once(FleetFaults::stopInSeries));
    }

    @Example
    void streamsGoOnInAReleaseWhereEntriesRunLate() {
        assertStreamsGoOn(
                "release, late entries",
                ALL_OLD,
                MORE_ENTRIES,
                SEEDS,
                day -> day.once(FleetFaults::release).once(FleetFaults::runLate));
    }

    @Example
    void streamsGoOnInAReleaseWhereMessagesAreLost() {
        assertStreamsGoOn(
                "release, lost messages",
                ALL_OLD,
                MORE_ENTRIES,
                SEEDS,
                day -> day.once(FleetFaults::release).once(FleetFaults::loseMessages));
    }
}
