package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Guards against requests to upstreams that refused one and asked for rest, and against calls lost to them. */
class RestAskedTest {

    /** Seeds in CI; more by hand with -Drest.seeds=50. */
    private static final int SEEDS = Integer.getInteger("rest.seeds", 3);

    private static final long SECOND = 1_000_000_000L;
    private static final long START = 8 * SECOND;
    private static final long IN_NEED = 12 * SECOND;
    private static final long RECOVERED = 24 * SECOND;
    private static final long LAST_CALL = 31 * SECOND;
    private static final long END = LAST_CALL + 3 * SECOND;
    private static final long REST_MILLIS = 3_000;
    /** Requests a second from all callers together. */
    private static final long CALLS = 60;
    /** Requests that may still reach an upstream within the rest that it asked for. */
    private static final int ALLOWED = 2;

    /** A fleet, usual callers, and upstreams that refuse all for a while and ask for rest. */
    private static final class Day {
        private final DirectFleet fleet;
        private final List<DirectFleet.Call> calls = new ArrayList<>();
        private final List<CrashingEngine> needy;

        private Day(long seed, int entries, int engines, int inNeed) {
            System.out.println("rest asked for, seed " + seed);
            fleet = new DirectFleet(seed, entries, engines);
            fleet.engines.forEach(CrashingEngine::mixed);
            needy = fleet.engines.subList(0, inNeed);
            fleet.time.at(START, this::ask);
            fleet.time.at(IN_NEED, () -> needy.forEach(engine -> engine.needs.askForRest(REST_MILLIS)));
            fleet.time.at(RECOVERED, () -> needy.forEach(engine -> engine.needs.takeAll()));
        }

        private void ask() {
            calls.add(fleet.ask(fleet.anyEntry(), DirectFleet.RESUMABLE, "call-" + calls.size(), call -> {}));
            if (fleet.time.now() < LAST_CALL) {
                fleet.time.after(SECOND / CALLS, this::ask);
            }
        }

        private Day play() {
            fleet.time.runUntil(END);
            return this;
        }

        private void assertLeftAlone() {
            for (CrashingEngine engine : needy) {
                assertThat(engine.needs.refused()).as("it refused something").isPositive();
                assertThat(engine.needs.worstWithinRest())
                        .as("requests from one entry within the rest that it was asked for")
                        .isLessThanOrEqualTo(ALLOWED);
            }
        }

        private List<DirectFleet.Call> asked(long from, long to) {
            return calls.stream()
                    .filter(call -> call.askedAt >= from && call.askedAt < to)
                    .toList();
        }

        private double servedShare(long from, long to) {
            List<DirectFleet.Call> asked = asked(from, to);
            return (double) asked.stream().filter(DirectFleet.Call::isServed).count() / asked.size();
        }
    }

    @Example
    void anUpstreamThatAskedForRestIsLeftAloneAndTheOthersServe() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, 4, 4, 2).play();
            day.assertLeftAlone();
            assertThat(day.servedShare(IN_NEED, RECOVERED)).isGreaterThan(0.98);
        }
    }

    @Example
    void itIsUsedAgainOnceItRefusesNothing() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, 4, 2, 2).play();
            day.assertLeftAlone();
            assertThat(day.servedShare(RECOVERED + REST_MILLIS * 1_000_000 + SECOND, LAST_CALL))
                    .isGreaterThan(0.98);
        }
    }

    /** Guards against calls that wait in vain, and come back too soon, where all upstreams rest. */
    @Example
    void whereAllRestCallsAreRefusedAtOnceWithATimeToComeBackThatIsTrue() {
        Day day = new Day(1, 4, 3, 3).play();
        day.assertLeftAlone();
        List<DirectFleet.Call> refused = day.asked(IN_NEED + SECOND / 2, RECOVERED - REST_MILLIS * 1_000_000).stream()
                .filter(call -> call.status == 503)
                .toList();
        assertThat(refused).hasSizeGreaterThan(100);
        assertThat(refused).allMatch(call -> call.overAt - call.askedAt <= SECOND / 20);
        double longest = refused.stream()
                .mapToDouble(call -> Double.parseDouble(call.headers.get("Retry-After")))
                .max()
                .orElseThrow();
        assertThat(longest).isGreaterThan(2);
    }

    @Example
    void itIsLeftAloneThoughEntriesRestartFreezeAndDoNotHearEachOther() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, 4, 4, 2);
            VirtualNode restarted = day.fleet.entries.get(0);
            VirtualNode frozen = day.fleet.entries.get(1);
            VirtualNode deaf = day.fleet.entries.get(2);
            day.fleet.time.at(16 * SECOND, () -> {
                day.fleet.restart(restarted, 500);
                day.needy.forEach(engine -> engine.needs.forget(restarted.address()));
            });
            day.fleet.time.at(15 * SECOND, () -> frozen.pause(2 * SECOND, false));
            day.fleet.time.at(
                    11 * SECOND,
                    () -> day.fleet.entries.forEach(other -> day.fleet.network.cut(other.address(), deaf.address())));
            day.play();
            day.assertLeftAlone();
        }
    }

    @Example
    void itIsLeftAloneAmongManyEntriesThatDoNotAllTryItAgain() {
        Day day = new Day(1, 33, 8, 4).play();
        day.assertLeftAlone();
        for (CrashingEngine engine : day.needy) {
            double seconds = (RECOVERED - IN_NEED) / (double) SECOND;
            assertThat(engine.needs.refused() / seconds)
                    .as("refusals a second by one of 8 upstreams, of 60 calls a second")
                    .isLessThan(CALLS / 8.0 / 2);
        }
    }
}
