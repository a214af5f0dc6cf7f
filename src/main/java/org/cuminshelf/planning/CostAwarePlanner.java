package org.cuminshelf.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cuminshelf.message.Role;

/**
 * Changes roles only where the benefit exceeds the cost: where the share of the offered work that can be served over
 * the horizon rises by more than the capacity that the change takes away, times the weight that the operators
 * configure.
 *
 * <p>With {@code p} of {@code n} engines for prefill, and demands of {@code a} engines' worth of prefill and {@code b}
 * of decode, the share served is {@code min(1, u p / a, u (n - p) / b)}, since every call needs both; {@code u} is the
 * usable share of an engine's speed. The share is constant while both roles suffice, so that noise causes no change
 * there: this hysteresis needs no threshold of its own.
 */
public final class CostAwarePlanner implements RolePlanner {

    private static final double NANOS_PER_SECOND = 1e9;
    /** Share of an engine's speed that can be used before answers are late. */
    private static final double USABLE_SPEED_SHARE = 0.85;

    private static final double DRAIN_SECONDS = 2;
    /** Least benefit of a change, in seconds of the whole fleet's goodput. */
    private static final double MIN_GAIN_SECONDS = 0.3;

    private static final int WARM_UP_SECONDS = 5;

    private final PlannerSettings settings;
    private final DemandForecast prefillForecast;
    private final DemandForecast decodeForecast;
    private double startedAt = -1;

    private CostAwarePlanner(PlannerSettings settings) {
        this.settings = settings;
        this.prefillForecast = DemandForecast.of(settings.smoothingSeconds());
        this.decodeForecast = DemandForecast.of(settings.smoothingSeconds());
    }

    /**
     * Creates a planner without observations.
     *
     * @param settings speeds, costs and limits
     * @return the planner
     */
    public static CostAwarePlanner of(PlannerSettings settings) {
        return new CostAwarePlanner(settings);
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        double nowSeconds = now / NANOS_PER_SECOND;
        startedAt = startedAt < 0 ? nowSeconds : startedAt;
        prefillForecast.observe(nowSeconds, demand.prefill());
        decodeForecast.observe(nowSeconds, demand.decode());
        boolean changing = engines.stream().anyMatch(EngineSnapshot::changingRole);
        if (changing || nowSeconds - startedAt < WARM_UP_SECONDS) {
            return List.of();
        }
        List<EngineSnapshot> prefill = withRole(engines, Role.ROLE_PREFILL);
        List<EngineSnapshot> decode = withRole(engines, Role.ROLE_DECODE);
        int assignedEngines = prefill.size() + decode.size();
        if (assignedEngines < settings.minPrefillEngines() + settings.minDecodeEngines()) {
            return List.of();
        }
        int wanted = bestPrefillEngines(prefill.size(), assignedEngines);
        return wanted > prefill.size()
                ? changeIdlest(decode, wanted - prefill.size(), Role.ROLE_PREFILL)
                : changeIdlest(prefill, prefill.size() - wanted, Role.ROLE_DECODE);
    }

    /** Returns the number of prefill engines that serves most over the horizon, net of the cost of the change. */
    private int bestPrefillEngines(int present, int engines) {
        int best = present;
        double bestValue = netServedSeconds(present, present, engines) + MIN_GAIN_SECONDS * settings.roleChangeWeight();
        for (int candidate = settings.minPrefillEngines();
                candidate <= engines - settings.minDecodeEngines();
                candidate++) {
            double value = netServedSeconds(candidate, present, engines);
            boolean nearer = Math.abs(candidate - present) < Math.abs(best - present);
            if (candidate != present && (value > bestValue || value == bestValue && nearer)) {
                best = candidate;
                bestValue = value;
            }
        }
        return best;
    }

    /** Returns seconds of served work over the horizon, net of the cost of the change. */
    private double netServedSeconds(int prefillEngines, int present, int engines) {
        double awaySeconds = settings.roleChangeSeconds() + DRAIN_SECONDS;
        double near = servedShare(prefillEngines, engines, awaySeconds);
        double far = servedShare(prefillEngines, engines, settings.horizonSeconds() / 2);
        double cost = Math.abs(prefillEngines - present) * awaySeconds / engines * settings.roleChangeWeight();
        return (near + far) / 2 * settings.horizonSeconds() - cost;
    }

    private double servedShare(int prefillEngines, int engines, double aheadSeconds) {
        double prefillNeed = prefillForecast.rateAhead(aheadSeconds) / settings.prefillTokensPerSecond();
        double decodeNeed = decodeForecast.rateAhead(aheadSeconds) / settings.decodeTokensPerSecond();
        double prefillShare = prefillNeed == 0 ? 1 : USABLE_SPEED_SHARE * prefillEngines / prefillNeed;
        double decodeShare = decodeNeed == 0 ? 1 : USABLE_SPEED_SHARE * (engines - prefillEngines) / decodeNeed;
        return Math.min(1, Math.min(prefillShare, decodeShare));
    }

    private static List<EngineSnapshot> withRole(List<EngineSnapshot> engines, Role role) {
        return engines.stream().filter(engine -> engine.role() == role).toList();
    }

    /** Picks the engines with the fewest streams, which are free soonest. */
    private static List<RoleChange> changeIdlest(List<EngineSnapshot> from, int count, Role to) {
        List<EngineSnapshot> idlestFirst = new ArrayList<>(from);
        idlestFirst.sort(Comparator.comparingInt(EngineSnapshot::runningStreams));
        return idlestFirst.stream()
                .limit(count)
                .map(engine -> new RoleChange(engine.name(), to))
                .toList();
    }
}
