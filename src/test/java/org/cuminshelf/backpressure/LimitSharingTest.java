package org.cuminshelf.backpressure;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against entries that together send more than one upstream's limit, however calls are spread over them. */
class LimitSharingTest {

    private static final double[] LIMITS = {0.5, 5, 50, 200};
    private static final int[] ENTRIES = {3, 33, 330};

    @Example
    void entriesKeepToALimitTogetherAndUseIt() {
        for (LimitSharingSimulation.Traffic traffic : LimitSharingSimulation.Traffic.values()) {
            for (int entries : ENTRIES) {
                for (double limit : LIMITS) {
                    LimitSharingSimulation.Outcome outcome = new LimitSharingSimulation(
                                    entries, limit, LimitSharingSimulation.SharingStrategy.DEMAND, traffic, 1)
                            .play();
                    String what = traffic + ", " + entries + " entries, limit " + limit;
                    assertThat(outcome.worst()).as(what).isLessThanOrEqualTo((int) (6 * limit + 5));
                    if (traffic != LimitSharingSimulation.Traffic.FEW_CALLS) {
                        assertThat(outcome.used()).as(what).isGreaterThan(0.8);
                    }
                }
            }
        }
    }
}
