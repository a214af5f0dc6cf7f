package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Tests the limit on retries. */
class ServiceRetryBudgetTest {

    private static final long LONG_AGO = -Durations.nanos(60_000);

    /*
     * Guards against a retry storm: all upstreams of a zone fail at once, every entry retries every request, and the
     * remaining upstreams are overloaded. All entries together must stay within one limit in any window.
     */
    @Example
    void allEntriesTogetherStayWithinTheLimitInAnyWindow() {
        int entries = 5;
        int granted = 0;
        for (int entry = 0; entry < entries; entry++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimits(0.2, 58, 10_000), LONG_AGO);
            for (int request = 0; request < 100; request++) {
                long now = Durations.nanos(request * 100L);
                budget.onRequest(now, "s");
                granted += send(budget, now, entries) ? 1 : 0;
                granted += send(budget, now, entries) ? 1 : 0;
            }
        }
        assertThat(granted).isLessThanOrEqualTo((int) (0.2 * 500 + 58)).isGreaterThan(60);
    }

    @Example
    void retriesBeforeTheWindowDoNotCount() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimits(0, 10, 10_000), LONG_AGO);
        long now = 0;
        while (send(budget, now, 1)) {
            now += 1;
        }
        assertThat(send(budget, Durations.nanos(11_000), 1)).isTrue();
    }

    /** Guards against two full limits within one window, whose oldest part was dropped too early. */
    @Example
    void retriesCountForTheWholeWindow() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimits(0, 10, 10_000), LONG_AGO);
        long late = Durations.nanos(990);
        while (send(budget, late, 1)) {
            assertThat(budget.used(late, "s")).isLessThanOrEqualTo(10);
        }
        assertThat(send(budget, late + Durations.nanos(9_990), 1)).isFalse();
    }

    /** Guards against a retry that waits and is sent in a later window, beside all that this one allows. */
    @Example
    void aRetryThatIsNotSentYetCountsInEveryWindow() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimits(0, 3, 10_000), LONG_AGO);
        RetryGrant first = budget.reserve(0, "s", 1).orElseThrow();
        RetryGrant second = budget.reserve(0, "s", 1).orElseThrow();
        long later = Durations.nanos(30_000);
        assertThat(budget.reserve(later, "s", 1)).isEmpty();
        budget.release(second);
        budget.onSent(later, first);
        assertThat(budget.reserve(later, "s", 1)).isPresent();
        assertThat(budget.reserve(later, "s", 1)).isEmpty();
    }

    /** Guards against entries that grant the whole limit again after each of a series of restarts. */
    @Example
    void aSeriesOfRestartsGrantsNoMoreThanTheLimit() {
        RetryLimits limits = new RetryLimits(0.2, 56, 10_000);
        ServiceRetryBudget budget = new ServiceRetryBudget(limits, LONG_AGO);
        int granted = 0;
        int requests = 0;
        for (long millis = 0; millis < 10_000; millis += 20) {
            long now = Durations.nanos(millis);
            if (millis % 1_000 == 900) {
                budget = new ServiceRetryBudget(limits, now);
            }
            budget.onRequest(now, "s");
            requests++;
            granted += send(budget, now, 1) ? 1 : 0;
        }
        assertThat(granted).isLessThanOrEqualTo((int) (0.2 * requests + 56)).isGreaterThan(30);
    }

    /** Guards against a restart right after a burst of retries, whose window the new start does not know. */
    @Example
    void aRestartAfterABurstGrantsWhatTheBurstHasLeft() {
        RetryLimits limits = new RetryLimits(0.2, 56, 10_000);
        ServiceRetryBudget before = new ServiceRetryBudget(limits, LONG_AGO);
        long restart = Durations.nanos(10_000);
        long step = Durations.nanos(20);
        for (long now = 0; now < restart; now += step) {
            before.onRequest(now, "s");
        }
        int granted = sendAll(before, restart - 1);
        ServiceRetryBudget after = new ServiceRetryBudget(limits, restart);
        for (long now = restart; now < 2 * restart - step; now += step) {
            after.onRequest(now, "s");
            granted += sendAll(after, now);
        }
        int requestsInAWindow = 500;
        assertThat(granted).isLessThanOrEqualTo((int) (0.2 * requestsInAWindow + 56));
    }

    private static int sendAll(ServiceRetryBudget budget, long now) {
        int sent = 0;
        while (send(budget, now, 1)) {
            sent++;
        }
        return sent;
    }

    private static boolean send(ServiceRetryBudget budget, long now, int entries) {
        Optional<RetryGrant> grant = budget.reserve(now, "s", entries);
        grant.ifPresent(held -> budget.onSent(now, held));
        return grant.isPresent();
    }
}
