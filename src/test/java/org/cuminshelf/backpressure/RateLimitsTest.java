package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** What is known of limits that upstreams state. */
class RateLimitsTest {

    private static final StatedLimit NONE = new StatedLimit.Unlimited();

    private static final Address SELF = Address.of("10.0.0.1:7000");

    private final RateLimits limits = RateLimits.none(SELF);

    private Optional<RateLimits.Change> heard(long now, long sentAt, StatedLimit stated) {
        return limits.heard(now, "u", "s", sentAt, stated);
    }

    private static StatedLimit perSecond(double requests) {
        return new StatedLimit.PerSecond(requests);
    }

    @Example
    void aLimitHoldsFromTheAnswerThatNamesIt() {
        assertThat(heard(10, 5, NONE)).isEmpty();
        assertThat(heard(20, 6, perSecond(5)))
                .contains(new RateLimits.Change(OptionalDouble.empty(), OptionalDouble.of(5)));
        assertThat(limits.inForce()).isEqualTo(1);
    }

    @Example
    void theNewestNumberHolds() {
        heard(20, 6, perSecond(5));
        assertThat(heard(30, 6, perSecond(3))).isPresent();
        assertThat(heard(40, 6, perSecond(3))).isEmpty();
    }

    /** Guards against a limit that is lifted by an answer which was written before the limit was named. */
    @Example
    void onlyARequestSentAfterwardsLiftsIt() {
        heard(20, 6, perSecond(5));
        assertThat(heard(30, 19, NONE)).isEmpty();
        assertThat(heard(40, 21, NONE)).contains(new RateLimits.Change(OptionalDouble.of(5), OptionalDouble.empty()));
        assertThat(limits.inForce()).isZero();
    }

    @Example
    void whatCanNotBeReadChangesNothing() {
        heard(20, 6, perSecond(5));
        assertThat(heard(40, 21, new StatedLimit.Unreadable("x"))).isEmpty();
        assertThat(limits.inForce()).isEqualTo(1);
    }

    private Optional<RateLimits.Change> told(long now, long ageMillis, double perSecond) {
        long age = Durations.nanos(ageMillis);
        return limits.told(now, "s", new RateLimits.Heard("u", OptionalDouble.of(perSecond), age));
    }

    /** Guards against news that were under way while this entry heard the contrary, and count as newer. */
    @Example
    void whatThisEntryHeardGoesBeforeNewsOfTheSameMoment() {
        long heardAt = Durations.nanos(1_000);
        heard(heardAt, 0, perSecond(5));
        long sentAt = heardAt + Durations.nanos(100);
        assertThat(heard(sentAt + Durations.nanos(10), sentAt, NONE)).isPresent();
        assertThat(told(sentAt + Durations.nanos(40), 20, 5)).isEmpty();
        assertThat(told(sentAt + Durations.nanos(400), 20, 5)).isPresent();
    }

    @Example
    void whatIsToldOfTheEndOfALimitThatIsNotKnownIsNoLimit() {
        assertThat(limits.told(10, "s", new RateLimits.Heard("u", OptionalDouble.empty(), 0)))
                .isEmpty();
        assertThat(limits.admits(10, "u")).isTrue();
    }
}
