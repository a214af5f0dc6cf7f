package org.cuminshelf.planning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Role;

/** Roles that follow what engines are used for, in engine time. */
class BalancedPlannerTest {

    private static final int SLOTS_PER_ENGINE = 64;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private final RolePlanner planner = BalancedPlanner.of(SLOTS_PER_ENGINE);
    private final List<EngineSnapshot> engines = new ArrayList<>();
    private long prefill;
    private long decode;
    private int seconds;
    private int changes;

    /** Offers work for a while: engines' worth of reading, and places' worth of generation. */
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
     * Prompts wait for each other at two engines that are overloaded, while eleven have a few places taken: a split
     * that was right for another mix.
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
     * Every change takes an engine away for seconds: engines that have next to nothing to do are left as they are.
     */
    @Example
    void idleEnginesKeepTheirRoles() {
        addEngines(5, 8);
        offer(60, 0.8, 10);
        assertThat(changes).isZero();
    }

    /*
     * A third of all callers were refused for want of a place: in a lull of long answers, one of the last two engines
     * that generate was set to read prompts, and two seconds later the long answers came again. Places that were asked
     * for a moment ago are kept.
     */
    @Example
    void aShortLullInDecodeDemandMovesNoDecodeEngine() {
        addEngines(2, 2);
        offer(20, 2, 95);
        offer(8, 4.2, 40);
        assertThat(changes).isZero();
    }

    /* The first seconds of work, when nothing is learnt, count for nothing, however long control has run by then. */
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
