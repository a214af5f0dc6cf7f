package org.cuminshelf.usage;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** The time that most clocks agree on. */
class FleetClockTest {

    private static final long UNIX_MILLIS = 1_700_000_000_000L;
    private static final int CONTROL = 5;

    private FleetClock clock;
    private long now;

    @BeforeTry
    void start() {
        clock = FleetClock.create();
        now = Durations.nanos(77_000);
    }

    private static Address control(int number) {
        return Address.of("10.0.0." + number + ":7000");
    }

    private long trueMillis() {
        return UNIX_MILLIS + Durations.millis(now);
    }

    /** An answer whose clock was read halfway, and is off. */
    private void answer(int number, long roundTripMillis, long offMillis) {
        long askedAt = now;
        now += Durations.nanos(roundTripMillis / 2);
        long read = 1_000 * (trueMillis() + offMillis);
        now += Durations.nanos(roundTripMillis - roundTripMillis / 2);
        clock.addRemoteReading(control(number), askedAt, now, read);
    }

    private long error() {
        return clock.unixMillis(now).orElseThrow() - trueMillis();
    }

    @Example
    void nothingIsKnownBeforeAnyClockWasRead() {
        assertThat(clock.unixMillis(now)).isEmpty();
    }

    /*
     * An organisation's calls are counted in the window before or after: the time of day of the entry's VM, or of two
     * control VMs, is off by seconds.
     */
    @Property(tries = 200, seed = "7")
    void aMinorityOfClocksThatAreOffChangesNothing(
            @ForAll boolean ownIsOff,
            @ForAll @IntRange(min = -9_000, max = 9_000) int ownOff,
            @ForAll @IntRange(min = -9_000, max = 9_000) int othersOff,
            @ForAll @IntRange(min = 2, max = 60) int roundTrip) {
        clock.addOwnReading(now, trueMillis() + (ownIsOff ? ownOff : 0));
        int others = ownIsOff ? 1 : 2;
        for (int number = 1; number <= CONTROL; number++) {
            answer(number, roundTrip, number <= others ? othersOff : 0);
        }
        assertThat(error()).isBetween(-40L - roundTrip / 2, 40L + roundTrip / 2);
    }

    /* An answer that took a second says little; one that took 4 ms says where the clock is. */
    @Example
    void theQuickestAnswerOfAClockCounts() {
        for (int number = 1; number <= CONTROL; number++) {
            answer(number, 4, 20);
            answer(number, 1_000, 20);
        }
        assertThat(error()).isBetween(15L, 25L);
    }

    /*
     * Usage is counted in the wrong window after months: control VMs that were replaced long ago go on counting as
     * clocks, though the own monotonic clock has run apart from theirs by then.
     */
    @Example
    void clocksThatAreGoneDoNotOutvoteThoseThatAreThere() {
        for (int number = 11; number <= 15; number++) {
            answer(number, 4, -700);
        }
        now += Durations.nanos(60_000);
        for (int number = 1; number <= 3; number++) {
            answer(number, 4, 0);
        }
        assertThat(error()).isBetween(-40L, 40L);
    }

    /*
     * A VM was suspended for 7 s. Its monotonic clock stood still, so that all that was learnt of other clocks is 7 s
     * behind.
     */
    @Example
    void whatWasLearntBeforeTheVmStoodStillIsForgotten() {
        clock.addOwnReading(now, trueMillis());
        for (int number = 1; number <= CONTROL; number++) {
            answer(number, 4, 0);
        }
        clock.addOwnReading(now, trueMillis() + 7_000);
        assertThat(error()).isEqualTo(7_000);
    }
}
