package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/** Guards against broken streams that pass for complete as the crash of their engine closed the connection in order. */
class OrderlyCrashTest {

    /** Seeds in CI; more by hand with -Dbroken.seeds=50. */
    private static final int SEEDS = Integer.getInteger("broken.seeds", 3);

    static final Set<AnswerAudit.Loss> WRONG = Set.of(
            AnswerAudit.Loss.EVENTS_WRONG,
            AnswerAudit.Loss.JOINED,
            AnswerAudit.Loss.RUN_TWICE,
            AnswerAudit.Loss.REFUSED_BUT_RUN);

    @Example
    void noStreamIsCompleteWithoutItsLastEventWhereEnginesCrash() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SilentDay day = SilentDay.ofFourEngines(seed);
            day.fleet.engines.forEach(engine -> engine.closesInOrder = true);
            day.again(700, 1_500, SilentDay::crashOne);
            List<AnswerAudit.Finding> findings = day.run().audit().findings();
            System.out.println("engines that crash in order, seed " + seed + ": " + day.summary() + ", found "
                    + AnswerAudit.counts(findings));
            assertThat(day.served()).as("served, seed %d", seed).isGreaterThan(day.calls.size() / 2);
            assertThat(findings.stream().filter(finding -> WRONG.contains(finding.loss())))
                    .as("seed %d", seed)
                    .isEmpty();
        }
    }
}
