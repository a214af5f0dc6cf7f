package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Permits at even intervals that lapse. */
class PermitScheduleTest {

    private static final double INTERVAL = 100;
    private static final double LAPSE = 250;

    private final PermitSchedule permits = new PermitSchedule(0, INTERVAL, LAPSE, 1);

    private boolean take(long now) {
        boolean open = permits.nextPermitTime(now) <= now;
        if (open) {
            permits.takePermit(now);
        }
        return open;
    }

    @Example
    void theFirstComesAfterItsPartOfAnInterval() {
        assertThat(take(99)).isFalse();
        assertThat(take(100)).isTrue();
        assertThat(take(199)).isFalse();
        assertThat(take(200)).isTrue();
    }

    /** Guards against a burst of what was not used while an entry was idle or stood still. */
    @Example
    void whatWasNotUsedLapses() {
        int used = 0;
        while (take(10_000)) {
            used++;
        }
        assertThat(used).isEqualTo(3);
    }

    @Example
    void oneThatIsGivenBackMayBeUsed() {
        take(100);
        permits.returnPermit();
        assertThat(take(100)).isTrue();
        assertThat(take(100)).isFalse();
    }

    @Example
    void aNewIntervalCountsWhatWasWaitedFor() {
        permits.changeInterval(50, 2 * INTERVAL, LAPSE);
        assertThat(permits.nextPermitTime(50)).isEqualTo(150);
    }

    @Property(tries = 300, seed = "7")
    void inAnyTimeNoMoreAreUsedThanCameInItAndThoseThatStood(
            @ForAll @Size(max = 300) List<@IntRange(max = 60) Integer> pauses) {
        long now = 0;
        long first = -1;
        int used = 0;
        for (int pause : pauses) {
            now += pause;
            if (take(now)) {
                first = first < 0 ? now : first;
                used++;
            }
        }
        assertThat(used).isLessThanOrEqualTo((int) ((now - Math.max(0, first) + LAPSE) / INTERVAL) + 1);
    }
}
