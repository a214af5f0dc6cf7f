package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.direct.DirectCore;

/** Guards against an overload of upstreams that state how many requests a second they take from all entries. */
class StatedLimitTest {

    /** Seeds in CI; more by hand with -Dlimit.seeds=50. */
    private static final int SEEDS = Integer.getInteger("limit.seeds", 3);

    private static final long SECOND = 1_000_000_000L;
    private static final long START = 8 * SECOND;
    private static final long LIMITED = 12 * SECOND;
    private static final long SETTLED = LIMITED + 3 * SECOND;
    private static final long LIFTED = 30 * SECOND;
    private static final long END = 42 * SECOND;
    private static final double PER_SECOND = 5;
    /** Requests a second from all callers together. */
    private static final long CALLS = 60;

    /** A fleet, usual callers, and limits that upstreams state for some time. */
    private static final class Day {
        private final DirectFleet fleet;
        private final List<DirectFleet.Call> calls = new ArrayList<>();
        private final int limited;
        private final double perSecond;
        private int next;

        private Day(long seed, int entries, int engines, int limited, double perSecond) {
            System.out.println("stated limits, seed " + seed);
            this.limited = limited;
            this.perSecond = perSecond;
            fleet = new DirectFleet(seed, entries, engines);
            fleet.engines.forEach(CrashingEngine::mixed);
            fleet.time.at(START, this::ask);
            fleet.time.at(LIMITED, () -> limitedOnes().forEach(engine -> engine.needs.state(perSecond)));
            fleet.time.at(LIFTED, () -> limitedOnes().forEach(engine -> engine.needs.lift()));
        }

        private List<CrashingEngine> limitedOnes() {
            return fleet.engines.subList(0, limited);
        }

        private void ask() {
            ask(fleet.anyEntry());
        }

        private void ask(VirtualNode entry) {
            calls.add(fleet.ask(entry, DirectFleet.ONCE, "call-" + next++, call -> {}));
            if (fleet.time.now() < END - SECOND) {
                fleet.time.after(SECOND / CALLS, this::ask);
            }
        }

        private void play() {
            fleet.time.runUntil(END);
        }

        private void assertNotOverloaded() {
            for (CrashingEngine engine : limitedOnes()) {
                assertThat(engine.needs.excess(perSecond, LIFTED))
                        .as("requests in 4 s beyond those allowed")
                        .isZero();
            }
        }

        /** Each gets a part of its limit at the least, or of what it got before where that was less. */
        private void assertUsed(double share) {
            for (CrashingEngine engine : limitedOnes()) {
                double before = engine.needs.rate(START + SECOND, LIMITED);
                assertThat(engine.needs.rate(SETTLED, LIFTED))
                        .as("requests a second that reached an upstream with a limit, %s before", before)
                        .isGreaterThan(share * Math.min(perSecond, before));
            }
        }

        private void assertNoLimitIsKnown() {
            for (VirtualNode entry : fleet.entries) {
                assertThat(entry.core(DirectCore.class).orElseThrow().limitedUpstreams())
                        .isZero();
            }
        }

        private double rateOfLimited(long from, long to) {
            return limitedOnes().stream()
                    .mapToDouble(engine -> engine.needs.rate(from, to))
                    .sum();
        }

        private double servedShare(long from, long to) {
            List<DirectFleet.Call> asked = calls.stream()
                    .filter(call -> call.askedAt >= from && call.askedAt < to)
                    .toList();
            return (double) asked.stream().filter(DirectFleet.Call::isServed).count() / asked.size();
        }
    }

    @Example
    void anUpstreamGetsNoMoreThanItStatesFromAllEntriesTogether() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, 4, 4, 2, PER_SECOND);
            day.play();
            day.assertNotOverloaded();
            day.assertUsed(0.5);
            assertThat(day.servedShare(SETTLED, LIFTED)).isGreaterThan(0.95);
        }
    }

    @Example
    void itGetsMoreAgainOnceItStatesNoLimit() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, 4, 4, 2, 1);
            day.play();
            double limited = day.rateOfLimited(SETTLED, LIFTED);
            assertThat(limited).isLessThan(3);
            assertThat(day.rateOfLimited(LIFTED + 3 * SECOND, END - SECOND)).isGreaterThan(3 * limited);
            day.assertNoLimitIsKnown();
        }
    }

    @Example
    void itGetsNoMoreThoughEntriesRestartFreezeAndDoNotHearEachOther() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, 4, 4, 2, PER_SECOND);
            VirtualNode restarted = day.fleet.entries.get(0);
            VirtualNode frozen = day.fleet.entries.get(1);
            VirtualNode deaf = day.fleet.entries.get(2);
            day.fleet.time.at(18 * SECOND, () -> day.fleet.restart(restarted, 500));
            day.fleet.time.at(
                    18 * SECOND, () -> day.limitedOnes().forEach(engine -> engine.needs.forget(restarted.address())));
            day.fleet.time.at(16 * SECOND, () -> frozen.pause(2 * SECOND, false));
            day.fleet.time.at(
                    13 * SECOND,
                    () -> day.fleet.entries.forEach(other -> day.fleet.network.cut(other.address(), deaf.address())));
            day.play();
            day.assertNotOverloaded();
        }
    }

    @Example
    void itGetsNoMoreAmongManyEntries() {
        for (double perSecond : new double[] {0.5, 5, 20}) {
            Day day = new Day(1, 33, 8, 4, perSecond);
            day.play();
            day.assertNotOverloaded();
            assertThat(day.servedShare(SETTLED, LIFTED)).isGreaterThan(0.9);
        }
    }

    /** Guards against calls that wait in vain where each upstream states a limit. */
    @Example
    void whatNoUpstreamTakesIsRefusedAtOnceWithATimeToComeBack() {
        Day day = new Day(1, 4, 3, 3, PER_SECOND);
        day.play();
        day.assertNotOverloaded();
        List<DirectFleet.Call> refused = day.calls.stream()
                .filter(call -> call.askedAt >= SETTLED && call.askedAt < LIFTED && call.status == 503)
                .toList();
        assertThat(refused).hasSizeGreaterThan(100);
        assertThat(refused).allMatch(call -> call.headers.contains("Retry-After"));
        assertThat(refused).allMatch(call -> call.overAt - call.askedAt <= SECOND / 20);
        day.assertUsed(0.8);
    }
}
