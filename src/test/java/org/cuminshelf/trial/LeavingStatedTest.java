package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Guards against new work for an upstream that says in its answers that it leaves, though control still lists it. */
class LeavingStatedTest {

    /** Seeds in CI; more by hand with -Dleaving.seeds=50. */
    private static final int SEEDS = Integer.getInteger("leaving.seeds", 3);

    private static final long SECOND = 1_000_000_000L;
    private static final long START = 8 * SECOND;
    private static final long LEAVES = 12 * SECOND;
    private static final long END = 30 * SECOND;
    /** Time in which what was taken in before may still reach it. */
    private static final long DRAIN = 2 * SECOND;

    private final List<DirectFleet.Call> calls = new ArrayList<>();

    private void ask(DirectFleet fleet) {
        calls.add(fleet.ask(fleet.anyEntry(), DirectFleet.ONCE, "call-" + calls.size(), call -> {}));
        if (fleet.time.now() < END - SECOND) {
            fleet.time.after(SECOND / 60, () -> ask(fleet));
        }
    }

    private DirectFleet fleet(long seed) {
        System.out.println("leaving stated, seed " + seed);
        DirectFleet fleet = new DirectFleet(seed, 4, 4);
        fleet.engines.forEach(CrashingEngine::mixed);
        fleet.time.at(START, () -> ask(fleet));
        fleet.time.at(LEAVES, () -> fleet.engines.getFirst().needs.leave());
        return fleet;
    }

    private static void assertNothingMoreCame(DirectFleet fleet) {
        assertThat(fleet.engines.getFirst().needs.afterToldOfLeaving(DRAIN)).isZero();
    }

    @Example
    void noMoreIsSentToIt() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            DirectFleet fleet = fleet(seed);
            fleet.time.runUntil(END);
            assertNothingMoreCame(fleet);
            assertThat(calls.stream().filter(DirectFleet.Call::isServed).count())
                    .isGreaterThan(calls.size() * 98L / 100);
            calls.clear();
        }
    }

    /** Guards against an upstream that is forgotten while nobody lists it, and used again once it is listed. */
    @Example
    void noMoreIsSentToItOnceControlListsItAnew() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            DirectFleet fleet = fleet(seed);
            Runnable cut = () -> fleet.control.forEach(
                    control -> fleet.network.cut(fleet.engines.getFirst().address(), control.address()));
            fleet.time.at(14 * SECOND, cut);
            fleet.time.at(26 * SECOND, fleet.network::heal);
            fleet.time.runUntil(END);
            assertNothingMoreCame(fleet);
            calls.clear();
        }
    }
}
