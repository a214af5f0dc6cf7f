package org.cuminshelf.planning;

import java.util.Comparator;
import java.util.List;
import org.cuminshelf.message.Role;

/**
 * A baseline without forecast, cost or hysteresis: each second it compares the utilization of the two roles over the
 * last second and moves one engine to the busier one.
 */
public final class ThresholdPlanner implements RolePlanner {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BUSY_UTILIZATION = 0.8;

    private final PlannerSettings settings;
    private CumulativeDemand lastDemand = new CumulativeDemand(0, 0);
    private long lastAt;

    private ThresholdPlanner(PlannerSettings settings) {
        this.settings = settings;
    }

    /**
     * Creates the planner.
     *
     * @param settings speeds and least numbers of engines; the rest is not used
     * @return the planner
     */
    public static ThresholdPlanner of(PlannerSettings settings) {
        return new ThresholdPlanner(settings);
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        double elapsedSeconds = (now - lastAt) / NANOS_PER_SECOND;
        double promptRate = (demand.prefill() - lastDemand.prefill()) / elapsedSeconds;
        double outputRate = (demand.decode() - lastDemand.decode()) / elapsedSeconds;
        boolean first = lastAt == 0;
        lastDemand = demand;
        lastAt = now;
        long prefill = count(engines, Role.ROLE_PREFILL);
        long decode = count(engines, Role.ROLE_DECODE);
        if (first || prefill == 0 || decode == 0) {
            return List.of();
        }
        double prefillUtilization = promptRate / settings.prefillTokensPerSecond() / prefill;
        double decodeUtilization = outputRate / settings.decodeTokensPerSecond() / decode;
        if (prefillUtilization > BUSY_UTILIZATION
                && prefillUtilization > decodeUtilization
                && decode > settings.minDecodeEngines()) {
            return changeIdlest(engines, Role.ROLE_DECODE, Role.ROLE_PREFILL);
        }
        if (decodeUtilization > BUSY_UTILIZATION
                && decodeUtilization > prefillUtilization
                && prefill > settings.minPrefillEngines()) {
            return changeIdlest(engines, Role.ROLE_PREFILL, Role.ROLE_DECODE);
        }
        return List.of();
    }

    private static long count(List<EngineSnapshot> engines, Role role) {
        return engines.stream()
                .filter(engine -> engine.role() == role && !engine.changingRole())
                .count();
    }

    private static List<RoleChange> changeIdlest(List<EngineSnapshot> engines, Role from, Role to) {
        return engines.stream()
                .filter(engine -> engine.role() == from && !engine.changingRole())
                .min(Comparator.comparingInt(EngineSnapshot::runningStreams))
                .map(engine -> List.of(new RoleChange(engine.name(), to)))
                .orElse(List.of());
    }
}
