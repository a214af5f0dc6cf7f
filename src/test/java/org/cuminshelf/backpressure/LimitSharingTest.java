package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against entries that together exceed one upstream's limit, however calls are distributed over them. */
class LimitSharingTest {

    private static final double[] LIMITS_PER_SECOND = {0.5, 5, 50, 200};
    private static final int[] ENTRIES = {3, 33, 330};

    @Example
    void entriesTogetherObserveALimitAndUseItFully() {
        for (LimitSharingSimulation.Traffic traffic : LimitSharingSimulation.Traffic.values()) {
            for (int entries : ENTRIES) {
                for (double limit : LIMITS_PER_SECOND) {
                    LimitSharingSimulation.Outcome outcome = new LimitSharingSimulation(
                                    entries, limit, LimitSharingSimulation.SharingStrategy.DEMAND, traffic, 1)
                            .run();
                    String description = traffic + ", " + entries + " entries, limit " + limit;
                    assertThat(outcome.worst()).as(description).isLessThanOrEqualTo((int) (6 * limit + 5));
                    if (traffic != LimitSharingSimulation.Traffic.FEW_CALLS) {
                        assertThat(outcome.used()).as(description).isGreaterThan(0.8);
                    }
                }
            }
        }
    }
}
