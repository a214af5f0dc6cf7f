package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** Tests of the rate limits that upstreams advertise. */
class UpstreamRateLimitsTest {

    private static final AdvertisedLimit UNLIMITED = new AdvertisedLimit.Unlimited();

    private static final Address SELF = Address.of("10.0.0.1:7000");

    private final UpstreamRateLimits limits = UpstreamRateLimits.create(SELF);

    private Optional<UpstreamRateLimits.LimitChange> onAnswer(long now, long sentAt, AdvertisedLimit advertised) {
        return limits.onAnswer(now, "u", "s", sentAt, advertised);
    }

    private static AdvertisedLimit perSecond(double requests) {
        return new AdvertisedLimit.PerSecond(requests);
    }

    @Example
    void aLimitAppliesFromTheAnswerThatAdvertisesIt() {
        assertThat(onAnswer(10, 5, UNLIMITED)).isEmpty();
        assertThat(onAnswer(20, 6, perSecond(5)))
                .contains(new UpstreamRateLimits.LimitChange(OptionalDouble.empty(), OptionalDouble.of(5)));
        assertThat(limits.activeCount()).isEqualTo(1);
    }

    @Example
    void theLatestLimitApplies() {
        onAnswer(20, 6, perSecond(5));
        assertThat(onAnswer(30, 6, perSecond(3))).isPresent();
        assertThat(onAnswer(40, 6, perSecond(3))).isEmpty();
    }

    /** Guards against the removal of a limit by an answer that was written before the limit was advertised. */
    @Example
    void onlyTheAnswerToALaterRequestRemovesALimit() {
        onAnswer(20, 6, perSecond(5));
        assertThat(onAnswer(30, 19, UNLIMITED)).isEmpty();
        assertThat(onAnswer(40, 21, UNLIMITED))
                .contains(new UpstreamRateLimits.LimitChange(OptionalDouble.of(5), OptionalDouble.empty()));
        assertThat(limits.activeCount()).isZero();
    }

    @Example
    void aMalformedLimitChangesNothing() {
        onAnswer(20, 6, perSecond(5));
        assertThat(onAnswer(40, 21, new AdvertisedLimit.Malformed("x"))).isEmpty();
        assertThat(limits.activeCount()).isEqualTo(1);
    }

    private Optional<UpstreamRateLimits.LimitChange> onRemoteReport(long now, long ageMillis, double perSecond) {
        long age = Durations.nanos(ageMillis);
        return limits.onRemoteReport(
                now, "s", new UpstreamRateLimits.LimitReport("u", OptionalDouble.of(perSecond), age));
    }

    /**
     * Guards against a report that was in transit while this entry received a newer state, and that then counts as
     * newer.
     */
    @Example
    void aLocalAnswerTakesPrecedenceOverARemoteReportOfTheSameTime() {
        long answeredAt = Durations.nanos(1_000);
        onAnswer(answeredAt, 0, perSecond(5));
        long sentAt = answeredAt + Durations.nanos(100);
        assertThat(onAnswer(sentAt + Durations.nanos(10), sentAt, UNLIMITED)).isPresent();
        assertThat(onRemoteReport(sentAt + Durations.nanos(40), 20, 5)).isEmpty();
        assertThat(onRemoteReport(sentAt + Durations.nanos(400), 20, 5)).isPresent();
    }

    @Example
    void aRemoteReportOfTheRemovalOfAnUnknownLimitAddsNoLimit() {
        assertThat(limits.onRemoteReport(10, "s", new UpstreamRateLimits.LimitReport("u", OptionalDouble.empty(), 0)))
                .isEmpty();
        assertThat(limits.hasPermit(10, "u")).isTrue();
    }
}
