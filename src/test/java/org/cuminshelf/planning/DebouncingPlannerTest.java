package org.cuminshelf.planning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;

/** Tests of role changes under a mix that oscillates, and under one that shifts permanently. */
class DebouncingPlannerTest {

    private static final long HOLD_NANOS = Durations.nanos(8_000);
    private final List<EngineSnapshot> engines = new ArrayList<>();
    private final List<RoleChange> changes = new ArrayList<>();
    private final PlannerSettings settings = new PlannerSettings(85_000, 7_500, 3, 30, 20, 2, 1, 1);
    private final RolePlanner planner = DebouncingPlanner.of(CostAwarePlanner.of(settings), HOLD_NANOS);
    private long promptTokens;
    private long outputTokens;
    private int seconds;

    DebouncingPlannerTest() {
        for (int number = 0; number < 6; number++) {
            engines.add(new EngineSnapshot("e" + number, number < 3 ? Role.ROLE_PREFILL : Role.ROLE_DECODE, false, 0));
        }
    }

    /*
     * Guards against engines that change their roles back and forth while callers wait: for three seconds there are
     * more prompts than three engines can prefill, for the next three more output, and each change takes effect when
     * its period is over.
     */
    @Example
    void aMixThatOscillatesWithinSecondsChangesNoRole() {
        for (int period = 0; period < 20; period++) {
            boolean manyPrompts = period % 2 == 0;
            offer(3, manyPrompts ? 300_000 : 80_000, manyPrompts ? 8_000 : 24_000);
        }
        assertThat(changes).isEmpty();
    }

    /*
     * Guards against prompts that queue for minutes while decode engines are idle: the mix shifted permanently. One
     * engine after the other is moved, until prefill and decode are served equally well.
     */
    @Example
    void aPermanentShiftOfTheMixMovesOneEngineAtATime() {
        offer(10, 150_000, 15_000);
        assertThat(changes).isEmpty();
        offer(60, 330_000, 4_000);
        assertThat(changes).isNotEmpty();
        assertThat(changes).allMatch(change -> change.role() == Role.ROLE_PREFILL);
        assertThat(changes.stream().map(RoleChange::engine)).doesNotHaveDuplicates();
    }

    /*
     * Guards against a service that can't serve anything: the decode engines have left permanently and all others only
     * prefill.
     */
    @Example
    void aRoleWithoutEnginesIsFilledSooner() {
        engines.removeIf(engine -> engine.role() == Role.ROLE_DECODE);
        offer(9, 100_000, 20_000);
        assertThat(changes).isNotEmpty();
        assertThat(changes.getFirst().role()).isEqualTo(Role.ROLE_DECODE);
    }

    private void offer(int durationSeconds, long promptTokensPerSecond, long outputTokensPerSecond) {
        for (int second = 0; second < durationSeconds; second++) {
            promptTokens += promptTokensPerSecond;
            outputTokens += outputTokensPerSecond;
            List<RoleChange> wanted = planner.plan(
                    Durations.nanos(1_000L * ++seconds), engines, new CumulativeDemand(promptTokens, outputTokens));
            wanted.forEach(this::apply);
            changes.addAll(wanted);
        }
    }

    private void apply(RoleChange change) {
        engines.replaceAll(engine -> engine.name().equals(change.engine())
                ? new EngineSnapshot(engine.name(), change.role(), false, Integer.MAX_VALUE)
                : engine);
    }
}
