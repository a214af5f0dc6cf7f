package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** The fixed set of seeds. Longer runs: {@code cuminshelf check --seeds N --minutes M}. */
class CheckRunTest {

    private static final long SECONDS = 120;

    @Example
    void noPromiseBreaksUnderTheFixedSeeds() {
        int seeds = Integer.getInteger("check.seeds", 40);
        CheckReport sum = CheckRun.run(1, SECONDS);
        for (long seed = 2; seed <= seeds; seed++) {
            sum = sum.plus(CheckRun.run(seed, SECONDS));
        }
        System.out.println("Seeds 1 to " + seeds + ": " + sum);
        assertThat(sum.whole()).isPositive();
        assertThat(sum.orders()).isPositive();
        assertThat(sum.faults()).containsOnlyKeys(Fault.values());
    }

    @Example
    void theSameSeedGivesTheSameRun() {
        assertThat(CheckRun.run(7, 30)).isEqualTo(CheckRun.run(7, 30));
    }
}
