package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;

/** Tests the limit on retries. */
class ServiceRetryBudgetTest {

    /*
     * Guards against a retry storm: all upstreams of a zone fail at once, every entry retries every request, and the
     * remaining upstreams are overloaded. All entries together must stay within one limit in any window.
     */
    @Example
    void allEntriesTogetherStayWithinTheLimitInAnyWindow() {
        int entries = 5;
        int granted = 0;
        for (int entry = 0; entry < entries; entry++) {
            ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimits(0.2, 58, 10_000));
            for (int request = 0; request < 100; request++) {
                long now = Durations.nanos(request * 100L);
                budget.onRequest(now, "s");
                granted += budget.tryAcquire(now, "s", entries) ? 1 : 0;
                granted += budget.tryAcquire(now, "s", entries) ? 1 : 0;
            }
        }
        assertThat(granted).isLessThanOrEqualTo((int) (0.2 * 500 + 58)).isGreaterThan(60);
    }

    @Example
    void retriesBeforeTheWindowDoNotCount() {
        ServiceRetryBudget budget = new ServiceRetryBudget(new RetryLimits(0, 10, 10_000));
        long now = 0;
        while (budget.tryAcquire(now, "s", 1)) {
            now += 1;
        }
        assertThat(budget.tryAcquire(Durations.nanos(11_000), "s", 1)).isTrue();
    }
}
