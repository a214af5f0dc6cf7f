package org.cuminshelf.trial;

import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

/** Guards against refusing resumed streams, which fit at one software version only, while new streams take its room. */
class ScarceRoomDayTest {

    /** Seeds in CI; more by hand with -Drooms.seeds=50. */
    private static final int SEEDS = Integer.getInteger("rooms.seeds", 2);

    /** Share of the resumed streams that must go on, against that of new streams that begin. */
    private static final double FEWEST_GOING_ON = 0.5;

    private static final int HALF = 3;
    private static final int NONE = 0;
    private static final int FEWEST_RESUMED = 20;

    private static void assertBegunStreamsFindRoom(String what, ScarceRoomDay.Plan plan) {
        SoftAssertions found = new SoftAssertions();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ScarceRoomDay day = new ScarceRoomDay(seed, plan).run();
            System.out.println("scarce room, " + what + ", load " + plan.load() + ", slots " + plan.slots() + ", seed "
                    + seed + ": " + day.summary());
            found.assertThat(day.mixed()).as("mixed streams, seed %d", seed).isEmpty();
            found.assertThat(day.resumed()).as("resumed, seed %d", seed).hasSizeGreaterThanOrEqualTo(FEWEST_RESUMED);
            found.assertThat(day.shareGoingOn())
                    .as("going on, seed %d", seed)
                    .isGreaterThanOrEqualTo(FEWEST_GOING_ON * day.shareBegun());
        }
        found.assertAll();
    }

    private static ScarceRoomDay.Plan plan(double load, int slots) {
        return new ScarceRoomDay.Plan(load, slots, HALF, false, false);
    }

    @Example
    void resumedStreamsGoOnWhereHalfOfTheRoomIsTaken() {
        assertBegunStreamsFindRoom("a loss", plan(0.5, 8));
    }

    @Example
    void resumedStreamsGoOnWhereNewOnesTakeNearlyAllRoom() {
        assertBegunStreamsFindRoom("a loss", plan(0.9, 8));
    }

    @Example
    void resumedStreamsGoOnWhereNewOnesTakeMoreThanAllRoom() {
        assertBegunStreamsFindRoom("a loss", plan(1.1, 6));
        assertBegunStreamsFindRoom("a loss", plan(1.5, 8));
    }

    @Example
    void resumedStreamsGoOnWhereNewOnesTakeThreeTimesTheRoom() {
        assertBegunStreamsFindRoom("a loss", plan(3, 6));
    }

    /** Guards against a time to come back that costs the stream its room. */
    @Example
    void resumedStreamsGoOnWhereCallersHeedRetryAfter() {
        assertBegunStreamsFindRoom("Retry-After heeded", new ScarceRoomDay.Plan(1.1, 6, HALF, false, true));
    }

    /** Guards against new streams that fill the version that a release leaves with ever fewer engines. */
    @Example
    void resumedStreamsGoOnDuringARelease() {
        assertBegunStreamsFindRoom("a release", new ScarceRoomDay.Plan(0.9, 8, NONE, true, false));
        assertBegunStreamsFindRoom("a release", new ScarceRoomDay.Plan(1.5, 8, NONE, true, false));
    }
}
