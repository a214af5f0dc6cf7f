package org.cuminshelf.planning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;

/** Tests of roles that follow the demand in engine time. */
class BalancedPlannerTest {

    private static final int SLOTS_PER_ENGINE = 64;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private final RolePlanner planner = BalancedPlanner.of(SLOTS_PER_ENGINE);
    private final List<EngineSnapshot> engines = new ArrayList<>();
    private long prefill;
    private long decode;
    private int seconds;
    private int changes;

    /** Offers work for a number of seconds: prefill in engines, and decode in occupied slots. */
    private void offer(int durationSeconds, double prefillEngines, double decodeSlots) {
        for (int index = 0; index < durationSeconds; index++) {
            prefill += (long) (prefillEngines * MICROS_PER_SECOND);
            decode += (long) (decodeSlots * MICROS_PER_SECOND);
            seconds++;
            for (RoleChange change :
                    planner.plan(Durations.nanos(1_000L * seconds), engines, new CumulativeDemand(prefill, decode))) {
                changes++;
                engines.replaceAll(engine -> engine.name().equals(change.engine())
                        ? new EngineSnapshot(engine.name(), change.role(), false, 0)
                        : engine);
            }
        }
    }

    private void addEngines(int prefillCount, int decodeCount) {
        for (int index = 0; index < prefillCount + decodeCount; index++) {
            engines.add(new EngineSnapshot(
                    "e" + index, index < prefillCount ? Role.ROLE_PREFILL : Role.ROLE_DECODE, false, 0));
        }
    }

    private long prefillEngines() {
        return engines.stream()
                .filter(engine -> engine.role() == Role.ROLE_PREFILL)
                .count();
    }

    /*
     * Guards against a split that suited an earlier mix: prompts queue at two overloaded prefill engines while eleven
     * decode engines have only a few slots occupied.
     */
    @Example
    void decodeEnginesWithFreeSlotsMoveToAnOverloadedPrefillRole() {
        addEngines(2, 11);
        offer(60, 4, 90);
        assertThat(prefillEngines()).isBetween(4L, 10L);
        assertThat(changes).isLessThanOrEqualTo(8);
    }

    @Example
    void longAnswersMovePrefillEnginesToDecode() {
        addEngines(9, 4);
        offer(60, 1, 350);
        assertThat(prefillEngines()).isBetween(3L, 7L);
    }

    /*
     * Guards against changes of engines that have next to nothing to do: every change takes an engine out of service
     * for seconds.
     */
    @Example
    void idleEnginesKeepTheirRoles() {
        addEngines(5, 8);
        offer(60, 0.8, 10);
        assertThat(changes).isZero();
    }

    /*
     * Guards against a third of all callers being refused for lack of a slot: in a lull of long answers one of the last
     * two decode engines was changed to prefill, and two seconds later the long answers resumed. Recent peaks of the
     * decode load are kept.
     */
    @Example
    void aShortLullInDecodeDemandMovesNoDecodeEngine() {
        addEngines(2, 2);
        offer(20, 2, 95);
        offer(8, 4.2, 40);
        assertThat(changes).isZero();
    }

    /*
     * Guards against decisions from the first seconds of demand, when nothing is fitted yet, however long control has
     * been running.
     */
    @Example
    void theWarmUpCausesNoRoleChange() {
        addEngines(3, 3);
        offer(20, 0, 0);
        offer(3, 12, 50);
        offer(9, 2.2, 80);
        assertThat(changes).isZero();
    }

    @Example
    void noRoleLosesItsLastEngine() {
        addEngines(1, 2);
        offer(60, 5, 0);
        assertThat(prefillEngines()).isEqualTo(2);
        offer(120, 0, 500);
        assertThat(prefillEngines()).isEqualTo(1);
    }
}
