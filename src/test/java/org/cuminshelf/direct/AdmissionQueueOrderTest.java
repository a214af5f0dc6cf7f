package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cuminshelf.core.Durations;
import org.cuminshelf.organisations.RequestApiKeys;
import org.cuminshelf.routes.Route;
import org.cuminshelf.shares.CallKind;
import org.cuminshelf.shares.ServiceShares;
import org.cuminshelf.shares.ShareClaim;

/** Tests the order in which queued calls are tried. */
class AdmissionQueueOrderTest {

    private static final long START = Durations.nanos(1_000);
    private static final long DUE = START + Durations.nanos(300);

    /** A call and when it must be sent to be in time, in nanoseconds. */
    private record Expected(long number, long startAt) {}

    private AdmissionQueue queue = new AdmissionQueue(new BegunStreamWaits());

    private static DirectCall call(long number, int priority) {
        Route route = OverloadedEntry.route("r" + priority, priority);
        CallIntent intent = new CallIntent(
                "q" + number,
                OptionalLong.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                new RequestApiKeys(List.of()));
        long deadline = START + Durations.nanos(8_000);
        return new DirectCall(number, null, null, intent, route, "s", Optional.empty(), START, deadline);
    }

    private List<Long> order() {
        List<Long> numbers = new ArrayList<>();
        queue.placeDue(DUE, call -> numbers.add(call.number));
        return numbers;
    }

    /* Guards against a different order where a service has one priority: by slack, with late calls last. */
    @Property(tries = 200, seed = "61")
    void callsOfOnePriorityAreOrderedBySlack(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 730) Integer> ownMillis) {
        queue = new AdmissionQueue(new BegunStreamWaits());
        List<Expected> expected = new ArrayList<>();
        for (int number = 0; number < ownMillis.size(); number++) {
            int own = ownMillis.get(number);
            assertThat(queue.addForCapacity(START, call(number, 2), own)).isTrue();
            expected.add(new Expected(number, START + Durations.nanos(800 - own)));
        }
        expected.sort(Comparator.comparing((Expected one) -> one.startAt < DUE)
                .thenComparingLong(Expected::startAt)
                .thenComparingLong(Expected::number));
        assertThat(order()).isEqualTo(expected.stream().map(Expected::number).toList());
    }

    /* Guards against urgent calls that wait behind others with less slack. */
    @Example
    void moreUrgentCallsAreFirstWhateverTheirSlack() {
        queue.addForCapacity(START, call(1, 1), 400);
        queue.addForCapacity(START, call(2, 0), 10);
        queue.addForCapacity(START, call(3, 0), 20);
        assertThat(order()).containsExactly(3L, 2L, 1L);
    }

    /* Guards against resumed streams, which fit at one version only, that wait behind new calls. */
    @Example
    void begunStreamsPrecedeMoreUrgentNewCalls() {
        DirectCall begun = call(2, 1);
        begun.origin = Optional.of(new StreamOrigin("v1.1", StreamOrigin.Source.RECORD, START));
        queue.addForCapacity(START, call(1, 0), 10);
        queue.addForRetry(START, begun, OptionalLong.of(START));
        assertThat(order()).containsExactly(2L, 1L);
    }

    /* Guards against begun streams of a version without room that keep those of another from being tried. */
    @Example
    void begunStreamsOfOneVersionDoNotHoldUpThoseOfAnother() {
        for (int number = 1; number <= 20; number++) {
            DirectCall begun = call(number, 1);
            String version = number <= 19 ? "v1.1" : "v1.2";
            begun.origin = Optional.of(new StreamOrigin(version, StreamOrigin.Source.RECORD, START));
            queue.addForRetry(START, begun, OptionalLong.of(START));
        }
        List<Long> tried = new ArrayList<>();
        queue.placeDue(DUE, call -> {
            tried.add(call.number);
            return false;
        });
        assertThat(tried).contains(20L).hasSizeLessThan(20);
    }

    /* Guards against a starving kind that waits behind more urgent calls until it is refused. */
    @Example
    void owedCallsPrecedeMoreUrgentOnes() {
        ServiceShares shares = ServiceShares.create();
        for (int count = 0; count < 20; count++) {
            shares.register(new CallKind("r0", 0), Optional.empty(), 1).onSent(START);
            shares.register(new CallKind("r1", 1), Optional.empty(), 1).onRefused(START);
        }
        ShareClaim claim = shares.register(new CallKind("r1", 1), Optional.empty(), 1);
        claim.update(START, 500);
        DirectCall owed = call(2, 1);
        owed.shareClaim = Optional.of(claim);
        queue.addForCapacity(START, call(1, 0), 10);
        queue.addForCapacity(START, owed, 10);
        assertThat(order()).containsExactly(2L, 1L);
    }
}
