package org.cuminshelf.usage;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** Tests the time of day that most clocks agree on. */
class FleetClockTest {

    private static final long UNIX_MILLIS = 1_700_000_000_000L;
    private static final int CONTROL_PROCESSES = 5;

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

    /** Adds an answer from a clock that was read halfway through the round trip and is wrong by an error. */
    private void answer(int number, long roundTripMillis, long errorMillis) {
        long requestedAtNanos = now;
        now += Durations.nanos(roundTripMillis / 2);
        long unixMicros = 1_000 * (trueMillis() + errorMillis);
        now += Durations.nanos(roundTripMillis - roundTripMillis / 2);
        clock.addRemoteReading(control(number), requestedAtNanos, now, unixMicros);
    }

    private long clockErrorMillis() {
        return clock.unixMillis(now).orElseThrow() - trueMillis();
    }

    @Example
    void theTimeIsUnknownBeforeTheFirstReading() {
        assertThat(clock.unixMillis(now)).isEmpty();
    }

    /*
     * Guards against counting calls in a neighbouring window because the time of day of the entry's VM, or of two
     * control VMs, is wrong by seconds.
     */
    @Property(tries = 200, seed = "7")
    void aMinorityOfWrongClocksHasNoEffect(
            @ForAll boolean ownIsWrong,
            @ForAll @IntRange(min = -9_000, max = 9_000) int ownErrorMillis,
            @ForAll @IntRange(min = -9_000, max = 9_000) int otherErrorMillis,
            @ForAll @IntRange(min = 2, max = 60) int roundTripMillis) {
        clock.addOwnReading(now, trueMillis() + (ownIsWrong ? ownErrorMillis : 0));
        int wrongClocks = ownIsWrong ? 1 : 2;
        for (int number = 1; number <= CONTROL_PROCESSES; number++) {
            answer(number, roundTripMillis, number <= wrongClocks ? otherErrorMillis : 0);
        }
        assertThat(clockErrorMillis()).isBetween(-40L - roundTripMillis / 2, 40L + roundTripMillis / 2);
    }

    /* The bounds from a round trip of 1 s are wide; those from one of 4 ms locate the clock. */
    @Example
    void theAnswerWithTheShortestRoundTripOfAClockCounts() {
        for (int number = 1; number <= CONTROL_PROCESSES; number++) {
            answer(number, 4, 20);
            answer(number, 1_000, 20);
        }
        assertThat(clockErrorMillis()).isBetween(15L, 25L);
    }

    /*
     * Guards against counting usage in the wrong window after months: if control VMs that were replaced long ago still
     * counted as clocks, their offsets would be wrong, because the local monotonic clock has drifted since.
     */
    @Example
    void clocksOfEndedProcessesDoNotOutvoteThoseOfRunningOnes() {
        for (int number = 11; number <= 15; number++) {
            answer(number, 4, -700);
        }
        now += Durations.nanos(60_000);
        for (int number = 1; number <= 3; number++) {
            answer(number, 4, 0);
        }
        assertThat(clockErrorMillis()).isBetween(-40L, 40L);
    }

    /*
     * Guards against wrong offsets after a VM was suspended for 7 s. Its monotonic clock stopped, so all earlier
     * samples are 7 s behind.
     */
    @Example
    void samplesFromBeforeTheVmWasSuspendedAreDiscarded() {
        clock.addOwnReading(now, trueMillis());
        for (int number = 1; number <= CONTROL_PROCESSES; number++) {
            answer(number, 4, 0);
        }
        clock.addOwnReading(now, trueMillis() + 7_000);
        assertThat(clockErrorMillis()).isEqualTo(7_000);
    }
}
