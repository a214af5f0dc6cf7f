package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Tests the clock that stands while its process does not look at its connections. */
class WatchedClockTest {

    @Example
    void timeBetweenFrequentLooksCounts() {
        WatchedClock clock = new WatchedClock(0);
        long now = 0;
        while (now < Durations.nanos(2_000)) {
            now += Durations.nanos(250);
            clock.look(now);
        }
        assertThat(clock.look(now)).isEqualTo(Durations.nanos(2_000));
    }

    /** Guards against dead upstreams that a busy process never notices, because it takes each late tick for a pause. */
    @Example
    void timeBetweenLateLooksCounts() {
        WatchedClock clock = new WatchedClock(0);
        long now = 0;
        while (now < Durations.nanos(2_000)) {
            now += Durations.nanos(400);
            clock.look(now);
        }
        assertThat(clock.look(now)).isEqualTo(Durations.nanos(2_000));
    }

    @Example
    void aPauseDoesNotCountAndTimeAfterItDoes() {
        WatchedClock clock = new WatchedClock(0);
        clock.look(Durations.nanos(100));
        assertThat(clock.look(Durations.nanos(1_300))).isEqualTo(Durations.nanos(100));
        assertThat(clock.look(Durations.nanos(1_400))).isEqualTo(Durations.nanos(200));
    }
}
