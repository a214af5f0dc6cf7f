package org.cuminshelf.planning;

import java.util.Comparator;
import java.util.List;
import org.cuminshelf.message.Role;

/**
 * The naive baseline: each second it compares how busy the two roles were in the last second and moves one engine
 * towards the busier one, without forecast, cost or hysteresis.
 */
public final class ThresholdPlanner implements RolePlanner {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BUSY = 0.8;

    private final PlannerSettings settings;
    private Demand last = new Demand(0, 0);
    private long lastAt;

    private ThresholdPlanner(PlannerSettings settings) {
        this.settings = settings;
    }

    /**
     * Makes the baseline.
     *
     * @param settings speeds and floors; the rest is not used
     * @return the planner
     */
    public static ThresholdPlanner of(PlannerSettings settings) {
        return new ThresholdPlanner(settings);
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineView> engines, Demand demand) {
        double elapsed = (now - lastAt) / NANOS_PER_SECOND;
        double promptRate = (demand.prefill() - last.prefill()) / elapsed;
        double outputRate = (demand.decode() - last.decode()) / elapsed;
        boolean first = lastAt == 0;
        last = demand;
        lastAt = now;
        long prefill = count(engines, Role.ROLE_PREFILL);
        long decode = count(engines, Role.ROLE_DECODE);
        if (first || prefill == 0 || decode == 0) {
            return List.of();
        }
        double prefillUse = promptRate / settings.prefillSpeed() / prefill;
        double decodeUse = outputRate / settings.decodeSpeed() / decode;
        if (prefillUse > BUSY && prefillUse > decodeUse && decode > settings.decodeFloor()) {
            return one(engines, Role.ROLE_DECODE, Role.ROLE_PREFILL);
        }
        if (decodeUse > BUSY && decodeUse > prefillUse && prefill > settings.prefillFloor()) {
            return one(engines, Role.ROLE_PREFILL, Role.ROLE_DECODE);
        }
        return List.of();
    }

    private static long count(List<EngineView> engines, Role role) {
        return engines.stream()
                .filter(engine -> engine.role() == role && !engine.changing())
                .count();
    }

    private static List<RoleChange> one(List<EngineView> engines, Role from, Role to) {
        return engines.stream()
                .filter(engine -> engine.role() == from && !engine.changing())
                .min(Comparator.comparingInt(EngineView::running))
                .map(engine -> List.of(new RoleChange(engine.name(), to)))
                .orElse(List.of());
    }
}
