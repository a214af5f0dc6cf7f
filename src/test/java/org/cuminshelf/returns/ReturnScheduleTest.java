package org.cuminshelf.returns;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.core.Durations;

/** Tests when refused callers are told to retry, under bursts beyond the capacity of a service. */
class ReturnScheduleTest {

    private static final int URGENT = 0;
    private static final int USUAL = 2;
    private static final long EARLIEST_MILLIS = 200;
    private static final long LATEST_MILLIS = 2_000;

    private long now = Durations.nanos(10_000);
    private final ReturnSchedule schedule = ReturnSchedule.create(now);

    /** Sends calls at a rate for two seconds. */
    private void sendCalls(int perSecond) {
        for (int call = 0; call < 2 * perSecond; call++) {
            now += Durations.nanos(1_000) / perSecond;
            schedule.onSent(now);
        }
    }

    private long refuse(int priority) {
        return schedule.retryAfterMillis(now, priority, EARLIEST_MILLIS, LATEST_MILLIS);
    }

    /* Guards against all callers of a burst returning at one moment and being refused again. */
    @Example
    void callersOfABurstAreSpreadOverTime() {
        sendCalls(40);
        List<Long> times = new ArrayList<>();
        for (int call = 0; call < 15; call++) {
            times.add(refuse(USUAL));
        }
        assertThat(times).isSorted().doesNotHaveDuplicates();
        assertThat(times.getFirst()).isEqualTo(EARLIEST_MILLIS);
        // A quarter of 40 calls a second leaves a tenth of a second for each.
        assertThat(times.getLast()).isBetween(1_300L, 2_000L);
    }

    /* Guards against urgent callers that return behind all less urgent ones, because these were refused first. */
    @Example
    void anUrgentCallerReturnsBeforeLessUrgentOnes() {
        sendCalls(40);
        for (int call = 0; call < 10; call++) {
            refuse(USUAL);
        }
        assertThat(refuse(URGENT)).isEqualTo(EARLIEST_MILLIS);
        assertThat(refuse(URGENT)).isLessThan(refuse(USUAL));
    }

    /* Guards against urgent returns for which less urgent callers do not make room. */
    @Example
    void urgentReturnsDelayLessUrgentOnes() {
        sendCalls(40);
        long before = refuse(USUAL);
        for (int call = 0; call < 5; call++) {
            refuse(URGENT);
        }
        assertThat(refuse(USUAL) - before).isGreaterThan(500);
    }

    /* Guards against callers that are told a time at which they would have left: they retry at the latest time. */
    @Property(tries = 200)
    void noCallerIsToldMoreThanItsLatestTimeNorLessThanTheEarliest(
            @ForAll @IntRange(min = 0, max = 300) int refused,
            @ForAll @IntRange(min = 0, max = 12) int priority,
            @ForAll @IntRange(min = 50, max = 1_500) int earliest) {
        ReturnSchedule any = ReturnSchedule.create(now);
        for (int call = 0; call < refused; call++) {
            assertThat(any.retryAfterMillis(now, priority, earliest, LATEST_MILLIS))
                    .isBetween((long) earliest, 2_000L);
        }
        assertThat(any.retryAfterMillis(now, priority, 3_000, LATEST_MILLIS)).isEqualTo(3_000);
    }

    /* Guards against one caller of a rate-limited upstream behind whose late time all other callers are sent. */
    @Example
    void aLateEarliestTimeDoesNotMoveOtherCallersBehindIt() {
        sendCalls(40);
        assertThat(schedule.retryAfterMillis(now, USUAL, 30_000, LATEST_MILLIS)).isEqualTo(30_000);
        assertThat(schedule.retryAfterMillis(now, USUAL, 1_500, LATEST_MILLIS)).isEqualTo(1_500);
        assertThat(refuse(USUAL)).isLessThan(EARLIEST_MILLIS + 200);
    }

    /* Guards against a schedule that stays full after a burst: its times pass whether or not the callers returned. */
    @Example
    void aScheduleIsEmptyOnceItsTimesHavePassed() {
        sendCalls(40);
        for (int call = 0; call < 100; call++) {
            refuse(USUAL);
        }
        now += Durations.nanos(LATEST_MILLIS + 100);
        assertThat(refuse(USUAL)).isEqualTo(EARLIEST_MILLIS);
    }
}
