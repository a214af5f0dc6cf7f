package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/** Guards against answers that are ended because a sound upstream is silent for up to 2 s, where it has a sidecar. */
class SilentSidecarTest {

    /** Seeds in CI; more by hand with -Dsilent.seeds=50. */
    private static final int SEEDS = Integer.getInteger("silent.seeds", 3);

    private static final long SECONDS = 60;

    @Example
    void noCallIsLostThroughSilencesOfUpToTwoSeconds() {
        CheckReport sum = CheckRun.run(1, SECONDS, List.of(Fault.SILENT_UPSTREAM));
        System.out.println("silent upstreams with sidecars, seed 1: " + sum);
        for (long seed = 2; seed <= SEEDS; seed++) {
            CheckReport report = CheckRun.run(seed, SECONDS, List.of(Fault.SILENT_UPSTREAM));
            System.out.println("silent upstreams with sidecars, seed " + seed + ": " + report);
            sum = sum.plus(report);
        }
        System.out.println("silent upstreams with sidecars, " + SEEDS + " seeds: " + sum);
        assertThat(sum.lost()).isZero();
        assertThat(sum.faults()).containsOnlyKeys(Fault.SILENT_UPSTREAM);
    }
}
