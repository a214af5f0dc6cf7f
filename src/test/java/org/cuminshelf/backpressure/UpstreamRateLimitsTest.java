package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** What is known of limits that upstreams state. */
class UpstreamRateLimitsTest {

    private static final AdvertisedLimit NONE = new AdvertisedLimit.Unlimited();

    private static final Address SELF = Address.of("10.0.0.1:7000");

    private final UpstreamRateLimits limits = UpstreamRateLimits.create(SELF);

    private Optional<UpstreamRateLimits.LimitChange> heard(long now, long sentAt, AdvertisedLimit stated) {
        return limits.onAnswer(now, "u", "s", sentAt, stated);
    }

    private static AdvertisedLimit perSecond(double requests) {
        return new AdvertisedLimit.PerSecond(requests);
    }

    @Example
    void aLimitHoldsFromTheAnswerThatNamesIt() {
        assertThat(heard(10, 5, NONE)).isEmpty();
        assertThat(heard(20, 6, perSecond(5)))
                .contains(new UpstreamRateLimits.LimitChange(OptionalDouble.empty(), OptionalDouble.of(5)));
        assertThat(limits.activeCount()).isEqualTo(1);
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
        assertThat(heard(40, 21, NONE))
                .contains(new UpstreamRateLimits.LimitChange(OptionalDouble.of(5), OptionalDouble.empty()));
        assertThat(limits.activeCount()).isZero();
    }

    @Example
    void whatCanNotBeReadChangesNothing() {
        heard(20, 6, perSecond(5));
        assertThat(heard(40, 21, new AdvertisedLimit.Malformed("x"))).isEmpty();
        assertThat(limits.activeCount()).isEqualTo(1);
    }

    private Optional<UpstreamRateLimits.LimitChange> told(long now, long ageMillis, double perSecond) {
        long age = Durations.nanos(ageMillis);
        return limits.onRemoteReport(
                now, "s", new UpstreamRateLimits.LimitReport("u", OptionalDouble.of(perSecond), age));
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
        assertThat(limits.onRemoteReport(10, "s", new UpstreamRateLimits.LimitReport("u", OptionalDouble.empty(), 0)))
                .isEmpty();
        assertThat(limits.hasPermit(10, "u")).isTrue();
    }
}
