package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests of permits that become available at even intervals and expire. */
class PermitScheduleTest {

    private static final double INTERVAL_NANOS = 100;
    private static final double LIFETIME_NANOS = 250;

    private final PermitSchedule permits = new PermitSchedule(0, INTERVAL_NANOS, LIFETIME_NANOS, 1);

    private boolean tryTake(long now) {
        boolean available = permits.nextPermitTime(now) <= now;
        if (available) {
            permits.takePermit(now);
        }
        return available;
    }

    @Example
    void theFirstPermitComesAfterItsPhase() {
        assertThat(tryTake(99)).isFalse();
        assertThat(tryTake(100)).isTrue();
        assertThat(tryTake(199)).isFalse();
        assertThat(tryTake(200)).isTrue();
    }

    /** Guards against a burst of the permits that an entry did not use while it was idle or paused. */
    @Example
    void unusedPermitsExpire() {
        int used = 0;
        while (tryTake(10_000)) {
            used++;
        }
        assertThat(used).isEqualTo(3);
    }

    @Example
    void aReturnedPermitMayBeUsedAgain() {
        tryTake(100);
        permits.returnPermit();
        assertThat(tryTake(100)).isTrue();
        assertThat(tryTake(100)).isFalse();
    }

    @Example
    void anIntervalChangeScalesTheRemainingWait() {
        permits.changeInterval(50, 2 * INTERVAL_NANOS, LIFETIME_NANOS);
        assertThat(permits.nextPermitTime(50)).isEqualTo(150);
    }

    @Property(tries = 300, seed = "7")
    void inAnyPeriodAtMostTheIssuedAndUnexpiredPermitsAreUsed(
            @ForAll @Size(max = 300) List<@IntRange(max = 60) Integer> pauses) {
        long now = 0;
        long first = -1;
        int used = 0;
        for (int pause : pauses) {
            now += pause;
            if (tryTake(now)) {
                first = first < 0 ? now : first;
                used++;
            }
        }
        assertThat(used).isLessThanOrEqualTo((int) ((now - Math.max(0, first) + LIFETIME_NANOS) / INTERVAL_NANOS) + 1);
    }
}
