package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.direct.RetryLimits;

/**
 * Guards against requests that are refused or lost because most new connections go to one entry for some seconds, while
 * what entries share is divided as if each had as many requests.
 */
class SkewedConnectionsTest {

    /** Seeds in CI; more by hand with -Dskew.seeds=50. */
    private static final int SEEDS = Integer.getInteger("skew.seeds", 3);

    private static final long SECOND = 1_000_000_000L;
    private static final long START = 8 * SECOND;
    private static final long SKEWED = 18 * SECOND;
    /** Time in which entries may learn how the requests have moved. */
    private static final long STABLE_WINDOW = 3 * SECOND;

    private static final long BALANCED = 30 * SECOND;
    private static final int ENTRIES = 4;
    private static final int ENGINES = 6;
    private static final long CALLS_PER_SECOND = 48;
    /** Share of the requests of the seconds before that have to be served at the first attempt. */
    private static final double NEEDED = 0.75;
    /** Limits of a service on its retries, of which a part is the same for each entry. */
    private static final RetryLimits RETRIES = new RetryLimits(0.2, 40, 10_000);

    /** A fleet whose callers open their connections at any entry, and for some seconds nearly all at one. */
    private static final class Day {
        private final long seed;
        private final DirectFleet fleet;
        private final List<DirectFleet.Call> calls = new ArrayList<>();
        private int favoured;

        private Day(long seed) {
            this.seed = seed;
            fleet = new DirectFleet(seed, new DirectFleet.Shape(ENTRIES, ENGINES, 1, 2, RETRIES));
            fleet.engines.forEach(CrashingEngine::mixed);
            fleet.time.at(START, this::ask);
        }

        private VirtualNode entry() {
            boolean skewed = fleet.time.now() >= SKEWED && fleet.time.now() < BALANCED;
            boolean kept = fleet.random.nextInt(10) == 0;
            return skewed && !kept ? fleet.entries.get(favoured) : fleet.anyEntry();
        }

        private void ask() {
            String path = switch (fleet.random.nextInt(3)) {
                case 0 -> DirectFleet.RESUMABLE;
                case 1 -> DirectFleet.ONCE;
                default -> DirectFleet.IDEMPOTENT;
            };
            VirtualNode entry = entry();
            if (entry.isAlive()) {
                calls.add(fleet.ask(entry, path, "call-" + calls.size(), call -> {}));
            }
            fleet.time.after(SECOND / CALLS_PER_SECOND, this::ask);
        }

        private void assertServedAsBefore() {
            fleet.time.runUntil(BALANCED);
            double before = servedShare(START + 4 * SECOND, SKEWED);
            double after = servedShare(SKEWED + STABLE_WINDOW, BALANCED - SECOND);
            System.out.printf("skewed connections, seed %d: served before %.3f, after %.3f%n", seed, before, after);
            assertThat(after)
                    .as("served at the first attempt, before %.3f", before)
                    .isGreaterThan(NEEDED * before);
        }

        private double servedShare(long from, long until) {
            List<DirectFleet.Call> asked = calls.stream()
                    .filter(call -> call.askedAt >= from && call.askedAt < until && !call.entryLost)
                    .toList();
            return (double) asked.stream().filter(DirectFleet.Call::isServed).count() / asked.size();
        }
    }

    @Example
    void requestsAreServedWhereNothingElseIsWrong() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            new Day(seed).assertServedAsBefore();
        }
    }

    @Example
    void requestsAreServedThoughUpstreamsStateHowManyTheyTakeFromAllEntries() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            double perSecond = 1.5 * CALLS_PER_SECOND / ENGINES;
            day.fleet.time.at(START, () -> day.fleet.engines.forEach(engine -> engine.needs.state(perSecond)));
            day.assertServedAsBefore();
        }
    }

    @Example
    void requestsAreServedThoughUpstreamsCrashNowAndThen() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            for (long at = START; at < BALANCED; at += 2 * SECOND) {
                day.fleet.time.at(at + day.fleet.random.nextLong(SECOND), () -> {
                    CrashingEngine engine = day.fleet.engines.get(day.fleet.random.nextInt(ENGINES));
                    if (engine.isUp()) {
                        engine.crash();
                    }
                });
            }
            day.assertServedAsBefore();
        }
    }

    @Example
    void requestsAreServedThoughTheFavouredEntryIsKilledAndAnotherOneFollows() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Day day = new Day(seed);
            day.fleet.time.at(SKEWED + 5 * SECOND, () -> {
                day.favoured = 1;
                day.fleet.restartEntry(day.fleet.entries.getFirst(), 2_000);
            });
            day.assertServedAsBefore();
        }
    }
}
