package org.cuminshelf.outliers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Tests when outliers get trial requests. */
class TrialGateTest {

    private static final String UPSTREAM = "u";
    private static final long START = Durations.nanos(10_000);

    private static long at(long millis) {
        return START + Durations.nanos(millis);
    }

    @Example
    void oneRequestAtATimeGoesToAnOutlierAndAtIntervals() {
        TrialGate gate = TrialGate.create(1);
        gate.onOutcome(UPSTREAM, START, true, 0);
        assertThat(gate.mayTry(UPSTREAM, at(400), true)).isFalse();
        assertThat(gate.mayTry(UPSTREAM, at(500), true)).isTrue();
        gate.onSent(UPSTREAM, at(500));
        assertThat(gate.mayTry(UPSTREAM, at(5_000), true)).isFalse();
        gate.onEnded(UPSTREAM);
        gate.onOutcome(UPSTREAM, at(510), false, 0);
        assertThat(gate.mayTry(UPSTREAM, at(990), true)).isFalse();
        assertThat(gate.mayTry(UPSTREAM, at(1_000), true)).isTrue();
    }

    /** Guards against lost requests that may not run twice while others of the service may. */
    @Example
    void requestsThatMayBeRepeatedAreTriedFirst() {
        TrialGate gate = TrialGate.create(1);
        gate.onOutcome(UPSTREAM, START, true, 0);
        assertThat(gate.mayTry(UPSTREAM, at(700), false)).isFalse();
        assertThat(gate.mayTry(UPSTREAM, at(750), false)).isTrue();
    }

    /** Guards against dozens of failed trials a second, as each of 28 entries sends its own. */
    @Example
    void allEntriesTogetherSendFewTrials() {
        int entries = 28;
        long reportMillis = 130;
        List<TrialGate> gates = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            gates.add(TrialGate.create(1_000L * entry));
            gates.get(entry).onOutcome(UPSTREAM, START, true, 2 * entries * Durations.nanos(reportMillis));
        }
        List<Long> failedAt = new ArrayList<>();
        for (long millis = 0; millis < 10_000; millis += 10) {
            long now = at(millis);
            for (TrialGate gate : gates) {
                if (gate.mayTry(UPSTREAM, now, true)) {
                    gate.onSent(UPSTREAM, now);
                    gate.onEnded(UPSTREAM);
                    failedAt.add(millis);
                }
            }
            long reported = millis - reportMillis;
            failedAt.stream()
                    .filter(sent -> sent == reported)
                    .forEach(sent -> gates.forEach(
                            gate -> gate.onOutcome(UPSTREAM, now, true, 2 * entries * Durations.nanos(reportMillis))));
        }
        assertThat(failedAt).hasSizeBetween(5, 25);
    }
}
