package org.cuminshelf.core;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests how late a process is said to run. */
class TickLatenessTest {

    private final TickLateness lateness = TickLateness.create(0);

    private void tick(long atMillis, long dueMillis) {
        lateness.onTick(Durations.nanos(atMillis), Durations.nanos(dueMillis));
    }

    private long millis(long atMillis) {
        return lateness.millis(Durations.nanos(atMillis));
    }

    @Example
    void aTickThatIsOnTimeIsNotLate() {
        tick(100, 100);
        assertThat(millis(100)).isZero();
    }

    @Example
    void theLongestDelayCountsForASecondAtLeastAndTwoAtMost() {
        tick(100, 100);
        tick(900, 300);
        tick(1_000, 990);
        assertThat(millis(1_900)).isEqualTo(600);
        assertThat(millis(3_000)).isZero();
    }

    @Example
    void whatIsAlwaysDueIsNoLaterThanTheLastTick() {
        tick(100, 0);
        tick(120, 0);
        assertThat(millis(120)).isEqualTo(100);
        tick(1_500, 1_500);
        tick(2_600, 2_600);
        assertThat(millis(2_600)).isZero();
    }
}
