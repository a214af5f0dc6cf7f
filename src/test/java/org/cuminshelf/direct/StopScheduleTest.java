package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Which requests a stopping entry still takes, and what it has learnt of their durations. */
class StopScheduleTest {

    private static final StopSchedule STOP = StopSchedule.of(0, 2_600, 7_000);

    private static boolean takes(long nowMillis, long begunAtMillis, long timeoutMillis, OptionalLong expectedMillis) {
        OptionalLong expectedNanos = expectedMillis.isPresent()
                ? OptionalLong.of(Durations.nanos(expectedMillis.getAsLong()))
                : expectedMillis;
        return STOP.takes(
                Durations.nanos(nowMillis),
                Durations.nanos(begunAtMillis),
                Durations.nanos(nowMillis + timeoutMillis),
                expectedNanos);
    }

    /* Guards against refusing what is sure to end in time: its time limit ends it before the process does. */
    @Example
    void aRequestWhoseTimeLimitLiesWithinTheStopIsTakenToTheLastSecond() {
        assertThat(takes(100, 100, 6_900, OptionalLong.of(9_000))).isTrue();
        assertThat(takes(5_900, 5_900, 1_000, OptionalLong.empty())).isTrue();
        assertThat(takes(6_100, 6_100, 1_000, OptionalLong.of(10))).isFalse();
    }

    /* Guards against requests on kept connections that are passed on and cut as the process ends. */
    @Example
    void aLateRequestThatMayOutlastTheStopIsNotTakenHoweverShortItUsuallyIs() {
        assertThat(takes(2_700, 2_700, 8_000, OptionalLong.of(50))).isFalse();
        assertThat(takes(2_700, 2_700, 8_000, OptionalLong.empty())).isFalse();
    }

    @Example
    void aRequestOfACallerThatCouldNotKnowIsTakenUnlessItUsuallyTakesLonger() {
        assertThat(takes(2_500, 2_500, 8_000, OptionalLong.of(4_400))).isTrue();
        assertThat(takes(2_500, 2_500, 8_000, OptionalLong.of(4_600))).isFalse();
        assertThat(takes(2_500, 2_500, 8_000, OptionalLong.empty())).isTrue();
    }

    @Example
    void aRequestThatWasBegunBeforeTheNoticeCountsAsEarlyThoughItsEndCameLate() {
        assertThat(takes(3_400, 200, 8_000, OptionalLong.of(1_200))).isTrue();
        assertThat(takes(6_400, 200, 8_000, OptionalLong.of(1_200))).isFalse();
    }

    @Example
    void nothingIsKnownOfARouteBeforeItHasTenAnswers() {
        AnswerTimes times = new AnswerTimes();
        for (int answer = 0; answer < 9; answer++) {
            times.observe("r", Durations.nanos(100));
        }
        assertThat(times.most("r")).isEmpty();
        times.observe("r", Durations.nanos(100));
        assertThat(Durations.millis(times.most("r").orElseThrow())).isBetween(99L, 100L);
        assertThat(times.most("other")).isEmpty();
    }

    @Example
    void nearlyAllAnswersOfSpreadLengthsLieWithinTheTimeThatIsLearnt() {
        AnswerTimes times = new AnswerTimes();
        Random random = new Random(1);
        int withinNearlyAll = 0;
        int withinMost = 0;
        int total = 2_000;
        for (int answer = 0; answer < total; answer++) {
            long nanos = (long) (Durations.nanos(1_000) * Math.exp(0.7 * random.nextGaussian()));
            withinNearlyAll += nanos <= times.nearlyAll("r").orElse(Long.MAX_VALUE) ? 1 : 0;
            withinMost += nanos <= times.most("r").orElse(Long.MAX_VALUE) ? 1 : 0;
            times.observe("r", nanos);
        }
        assertThat(withinNearlyAll / (double) total).isBetween(0.97, 1.0);
        assertThat(withinMost / (double) total).isBetween(0.7, 0.9);
    }
}
