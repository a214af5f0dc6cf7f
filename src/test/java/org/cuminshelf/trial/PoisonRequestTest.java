package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * Callers see their streams cut again and again, and at times no engine is left: sixteen engines ended within 45 s.
 * One request ends each engine that begins to run it, its caller is told that it failed, and sends it again, under a
 * new id and to another entry. Each time it was placed as if it had never been seen: entries knew a request only by the
 * caller's id, and forgot with the call what it had met. Proved by these days: 33.8 engines ended on average before
 * requests were known again, three with it.
 */
class PoisonRequestTest {

    /** Seeds in CI; more by hand with -Dpoison.seeds=50. */
    private static final int SEEDS = Integer.getInteger("poison.seeds", 3);

    private static final int ENTRIES = 4;
    private static final int MANY_ENTRIES = 100;
    private static final int MANY_ENGINES = 30;
    private static final int ENGINES = 4;
    private static final long SECOND = 1_000_000_000L;
    private static final long START = 8 * SECOND;
    /** Time after the third crash in which all entries must have heard of it. */
    private static final long SETTLED = 3 * SECOND;
    /** Requests that may still reach engines after that. */
    private static final int ALLOWED_LATER = 3;

    private static final long SHORTEST_RETURN = SECOND / 5;
    private static final long RETURN_SPREAD = SECOND;
    private static final long HARMLESS_EVERY = SECOND / 20;
    private static final long CROWD_EVERY = SECOND / 120;

    /** A fleet with usual callers and one that sends a poison request again and again. */
    private static final class Day {
        private final DirectFleet fleet;
        private final String path;
        private final List<DirectFleet.Call> poison = new ArrayList<>();
        private final List<DirectFleet.Call> harmless = new ArrayList<>();
        private final long harmlessEvery;
        private int nextHarmless;

        private Day(long seed) {
            this(seed, HARMLESS_EVERY);
        }

        private Day(long seed, long harmlessEvery) {
            this(seed, harmlessEvery, ENTRIES, ENGINES);
        }

        private Day(long seed, long harmlessEvery, int entries, int engines) {
            System.out.println("poison requests, seed " + seed);
            this.harmlessEvery = harmlessEvery;
            fleet = new DirectFleet(seed, entries, engines);
            path = seed % 2 == 0 ? DirectFleet.RESUMABLE : DirectFleet.ONCE;
            fleet.time.at(START, this::askHarmless);
        }

        private void sendPoisonFrom(long time) {
            fleet.time.at(time, this::askPoison);
        }

        private void askPoison() {
            poison.add(fleet.ask(
                    fleet.anyEntry(),
                    path,
                    CrashingEngine.POISON,
                    call -> fleet.time.after(SHORTEST_RETURN + fleet.random.nextLong(RETURN_SPREAD), this::askPoison)));
        }

        /** An usual caller, which asks once more where it failed. */
        private void askHarmless() {
            String body = "harmless-" + nextHarmless++;
            String where = fleet.random.nextBoolean() ? DirectFleet.RESUMABLE : DirectFleet.ONCE;
            Consumer<DirectFleet.Call> again = call -> {
                if (!call.isServed()) {
                    fleet.time.after(
                            SHORTEST_RETURN,
                            () -> harmless.add(fleet.ask(fleet.anyEntry(), where, body, second -> {})));
                }
            };
            harmless.add(fleet.ask(fleet.anyEntry(), where, body, again));
            fleet.time.after(harmlessEvery, this::askHarmless);
        }

        /** Lets time pass until engines ended under poison requests so often. */
        private void untilCrashes(int count) {
            while (fleet.records.crashes.size() < count && fleet.time.now() < 60 * SECOND) {
                fleet.pass(1);
            }
            assertThat(fleet.records.crashes).hasSizeGreaterThanOrEqualTo(count);
        }

        private void endAfter(long seconds) {
            fleet.time.runUntil(fleet.time.now() + seconds * SECOND);
        }

        private void failSomething() {
            switch (fleet.random.nextInt(4)) {
                case 0 -> fleet.restart(fleet.anyEntry(), 300 + fleet.random.nextLong(2_000));
                case 1 ->
                    fleet.restart(
                            fleet.control.get(fleet.random.nextInt(fleet.control.size())),
                            300 + fleet.random.nextLong(2_000));
                case 2 ->
                    fleet.network.cut(
                            fleet.anyEntry().address(), fleet.control.getLast().address());
                default -> {
                    CrashingEngine engine = fleet.engines.get(fleet.random.nextInt(ENGINES));
                    if (engine.isUp()) {
                        engine.crash();
                    }
                }
            }
        }

        private void print() {
            long served = harmless.stream().filter(DirectFleet.Call::isServed).count();
            long refused = harmless.stream()
                    .filter(DirectFleet.Call::isRefusedAsPoison)
                    .count();
            System.out.printf(
                    "engines ended: %d; other requests: %d, served: %d, refused as poison: %d%n",
                    fleet.records.crashes.size(), harmless.size(), served, refused);
        }

        private void assertStoppedAfterThirdCrash() {
            assertStoppedSince(fleet.records.crashes.get(2));
        }

        private void assertStoppedSince(long since) {
            assertThat(fleet.records.requestsAfter(since + SETTLED))
                    .as(
                            "requests that reached engines later than 3 s after the third crash; %d engines ended",
                            fleet.records.crashes.size())
                    .isLessThanOrEqualTo(ALLOWED_LATER);
            assertThat(poison).as("the caller went on asking").hasSizeGreaterThan(10);
            assertNobodyElseIsRefused();
        }

        private void assertNobodyElseIsRefused() {
            assertThat(harmless).as("other requests refused as poison").noneMatch(DirectFleet.Call::isRefusedAsPoison);
        }
    }

    @Example
    void aRequestUnderWhichThreeEnginesEndedReachesNoMore() {
        List<Day> days = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.sendPoisonFrom(10 * SECOND);
            day.untilCrashes(3);
            day.endAfter(30);
            day.print();
            days.add(day);
        }
        days.forEach(Day::assertStoppedAfterThirdCrash);
    }

    /*
     * A caller is refused for ever though its request harms nobody: each time the poison request ended an engine it had
     * just begun there too, as had ten others.
     */
    @Example
    void nobodyElseIsRefusedInACrowdBesideIt() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed, CROWD_EVERY);
            day.sendPoisonFrom(10 * SECOND);
            day.untilCrashes(3);
            day.endAfter(20);
            day.print();
            day.assertStoppedAfterThirdCrash();
        }
    }

    /*
     * A caller is refused for ever though its request harms nobody. Engines end for reasons of their own, 40 times in
     * 30 s, and streams that go on elsewhere are there again and again.
     */
    @Example
    void nobodyIsRefusedWhereEnginesCrashForOtherReasons() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            for (int crash = 0; crash < 40; crash++) {
                CrashingEngine engine = day.fleet.engines.get(day.fleet.random.nextInt(ENGINES));
                day.fleet.time.at(10 * SECOND + day.fleet.random.nextLong(30 * SECOND), () -> {
                    if (engine.isUp()) {
                        engine.crash();
                    }
                });
            }
            day.fleet.time.runUntil(45 * SECOND);
            day.print();
            day.assertNobodyElseIsRefused();
        }
    }

    /*
     * A caller is refused for ever though no engine ended. Connections are reset, five times in a second for ten
     * seconds, and a caller sends the same request each time it is cut.
     */
    @Example
    void nobodyIsRefusedWhereConnectionsBreakAndNoEngineEnds() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            for (int reset = 0; reset < 50; reset++) {
                day.fleet.time.at(
                        10 * SECOND + reset * SECOND / 5,
                        () -> day.fleet.engines.forEach(CrashingEngine::resetConnections));
            }
            List<DirectFleet.Call> same = new ArrayList<>();
            askAgainAndAgain(day, same);
            day.fleet.time.runUntil(25 * SECOND);
            day.assertNobodyElseIsRefused();
            assertThat(same).hasSizeGreaterThan(10).noneMatch(DirectFleet.Call::isRefusedAsPoison);
        }
    }

    private static void askAgainAndAgain(Day day, List<DirectFleet.Call> calls) {
        day.fleet.time.at(
                Math.max(START, day.fleet.time.now() + SECOND / 100),
                () -> calls.add(day.fleet.ask(
                        day.fleet.anyEntry(), DirectFleet.ONCE, "the same", call -> askAgainAndAgain(day, calls))));
    }

    /*
     * A request ends one engine after the other for as long as anything else fails too: messages are lost, late or
     * doubled, entries and control processes restart, engines crash of themselves.
     */
    @Example
    void itReachesNoMoreOnceWhateverElseFailedIsOver() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.sendPoisonFrom(10 * SECOND);
            day.fleet.time.at(9 * SECOND, () -> day.fleet.network.weather(0.05, 0.1, 0.05));
            for (int fault = 0; fault < 12; fault++) {
                day.fleet.time.at(9 * SECOND + day.fleet.random.nextLong(12 * SECOND), () -> day.failSomething());
            }
            day.fleet.time.at(24 * SECOND, day.fleet.network::heal);
            day.fleet.time.runUntil(50 * SECOND);
            day.print();
            // Two may be enough, where an engine that crashed of itself had the request too.
            long third = day.fleet.records.crashes.stream().skip(2).findFirst().orElse(0L);
            day.assertStoppedSince(Math.max(24 * SECOND, third));
        }
    }

    @Example
    void itReachesNoMoreAmongAHundredEntries() {
        Day day = new Day(1, HARMLESS_EVERY, MANY_ENTRIES, MANY_ENGINES);
        day.sendPoisonFrom(10 * SECOND);
        day.untilCrashes(3);
        day.endAfter(15);
        day.print();
        day.assertStoppedAfterThirdCrash();
    }

    @Example
    void itReachesNoMoreThoughAnEntryRestartsBetweenTheCrashes() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.sendPoisonFrom(10 * SECOND);
            for (int crash = 1; crash <= 3; crash++) {
                day.untilCrashes(crash);
                day.fleet.pass(100);
                day.fleet.restart(day.fleet.entries.get(crash), 500);
            }
            day.endAfter(30);
            day.assertStoppedSince(day.fleet.records.crashes.get(2) + SECOND);
        }
    }

    @Example
    void itReachesNoMoreThoughEntriesDoNotHearEachOtherAndOneControlProcessHearsNobody() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.fleet.time.at(9 * SECOND, () -> {
                for (VirtualNode from : day.fleet.entries) {
                    day.fleet.entries.forEach(to -> day.fleet.network.cut(from.address(), to.address()));
                    day.fleet.network.cut(
                            from.address(), day.fleet.control.getFirst().address());
                }
            });
            day.sendPoisonFrom(10 * SECOND);
            day.untilCrashes(3);
            day.endAfter(30);
            day.assertStoppedAfterThirdCrash();
        }
    }

    @Example
    void itReachesNoMoreThoughThreeReturnsAreUnderWayAtOneTime() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            for (int copy = 0; copy < 3; copy++) {
                day.sendPoisonFrom(10 * SECOND);
            }
            day.untilCrashes(3);
            day.endAfter(30);
            day.assertStoppedAfterThirdCrash();
        }
    }

    @Example
    void itReachesNoMoreThoughTheLeaderOfControlIsLostAfterTheSecondCrash() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.sendPoisonFrom(10 * SECOND);
            day.untilCrashes(2);
            day.fleet.leader().kill();
            day.untilCrashes(3);
            day.endAfter(30);
            day.assertStoppedAfterThirdCrash();
        }
    }

    @Example
    void itReachesNoMoreAfterARestartOfEverything() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.sendPoisonFrom(10 * SECOND);
            day.untilCrashes(3);
            day.fleet.pass(5_000);
            day.fleet.all().forEach(node -> day.fleet.restart(node, 1_000));
            long restarted = day.fleet.time.now();
            day.endAfter(30);
            day.assertStoppedSince(restarted);
            assertThat(day.fleet.records.requestsAfter(restarted))
                    .as("requests that reached engines after the restart")
                    .isZero();
        }
    }
}
