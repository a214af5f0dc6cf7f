package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * Guards against more arrivals at upstreams beyond the first of their request than all entries together are allowed,
 * in any window, and against a budget that is not used where it is needed.
 */
class RetryBudgetDayTest {

    /** Seeds in CI; 50 by hand with -Dretry.seeds=50. */
    private static final int SEEDS = Integer.getInteger("retry.seeds", 5);

    private static final int ENTRIES = 5;
    private static final int CALLS_PER_SECOND = 50;
    private static final long END_MILLIS = 45_000;
    private static final RetryBudgetDay.Engines BREAKING = new RetryBudgetDay.Engines(0.7, 0.1, 0, 0, 0);
    private static final RetryBudgetDay.Engines REJECTING = new RetryBudgetDay.Engines(0.2, 0.1, 0.5, 0, 0);
    private static final RetryBudgetDay.Engines LAPSING = new RetryBudgetDay.Engines(0.1, 0.1, 0.1, 0.8, 0);
    private static final RetryBudgetDay.Engines FAR_AWAY = new RetryBudgetDay.Engines(0.7, 0.1, 0.1, 0.1, 0.3);

    private static void keepsTheLimit(String name, RetryBudgetDay.Engines engines, Consumer<RetryBudgetDay> troubles) {
        keepsTheLimit(name, ENTRIES, CALLS_PER_SECOND, engines, troubles);
    }

    private static void keepsTheLimit(
            String name,
            int entries,
            int callsPerSecond,
            RetryBudgetDay.Engines engines,
            Consumer<RetryBudgetDay> troubles) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RetryBudgetDay day = new RetryBudgetDay(seed, entries, callsPerSecond, engines);
            troubles.accept(day);
            day.play(END_MILLIS);
            System.out.printf(
                    "retry budget, %s, seed %d: answered %d of %d, largest use %.2f, %s%n",
                    name, seed, day.answered(), day.asked(), day.count().largestUse(), day.patterns());
            assertThat(day.count().excess()).as("%s, seed %d", name, seed).isEmpty();
        }
    }

    @Example
    void retriesAfterBrokenDecodesStayWithinTheLimit() {
        keepsTheLimit("decodes break", BREAKING, day -> {});
    }

    @Example
    void retriesAfterRejectionsStayWithinTheLimit() {
        keepsTheLimit("engines reject", REJECTING, day -> {});
    }

    @Example
    void retriesAfterLapsedKvCachesStayWithinTheLimit() {
        keepsTheLimit("KV caches lapse", LAPSING, day -> {});
    }

    @Example
    void retriesThatArriveLateStayWithinTheLimit() {
        keepsTheLimit("arrivals are late", FAR_AWAY, day -> day.standStill(22_000, 0.8, 2_500));
    }

    @Example
    void entriesThatAreKilledTogetherTwiceDoNotGrantTheirRetriesAgain() {
        keepsTheLimit("killed twice", BREAKING, day -> {
            day.kill(21_000, 1, 600);
            day.kill(24_000, 1, 600);
        });
    }

    @Example
    void entriesThatAreKilledInSeriesDoNotGrantTheirRetriesAgain() {
        keepsTheLimit("killed in series", BREAKING, day -> {
            for (long at = 17_000; at < 40_000; at += 800) {
                day.kill(at, 0.25, 300);
            }
        });
    }

    @Example
    void aShortListOfEntriesDoesNotGrantMoreRetries() {
        keepsTheLimit("short list", BREAKING, day -> day.listFew(14_000, 30_000, 1));
    }

    @Example
    void restartedEntriesThatAreToldAShortListDoNotGrantMoreRetries() {
        keepsTheLimit("restarted, short list", BREAKING, day -> {
            day.listFew(20_500, 26_000, 1);
            day.kill(20_600, 1, 500);
            day.kill(23_000, 1, 500);
        });
    }

    @Example
    void theLimitHoldsForOneEntryAndForMany() {
        keepsTheLimit("one entry", 1, CALLS_PER_SECOND, BREAKING, day -> day.kill(22_000, 1, 500));
        keepsTheLimit("12 entries", 12, CALLS_PER_SECOND, BREAKING, day -> day.kill(22_000, 0.6, 500));
    }

    @Example
    void theBudgetIsUsedWhereThereIsNeed() {
        double leastUse = 0.6;
        for (long seed = 1; seed <= SEEDS; seed++) {
            RetryBudgetDay day = new RetryBudgetDay(seed, ENTRIES, CALLS_PER_SECOND, BREAKING).play(END_MILLIS);
            assertThat(day.count().useUpTo(RetryBudgetDay.TRAFFIC_NANOS + 20_000_000_000L))
                    .as("share used, seed %d", seed)
                    .isGreaterThanOrEqualTo(leastUse);
        }
    }
}
