package org.cuminshelf.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cuminshelf.message.Role;

/**
 * Changes roles only where that pays: where the share of the offered work that can be served over the horizon rises by
 * more than the capacity that the change takes away, times the operators' weight.
 *
 * <p>With {@code p} of {@code n} engines for prefill, and demands of {@code a} engines' worth of prefill and {@code b}
 * of decode, the share served is {@code min(1, u p / a, u (n - p) / b)}, since every call needs both. It is flat where
 * both suffice, so that noise there moves nothing: that is the hysteresis, and it needs no threshold of its own.
 */
public final class PayingPlanner implements RolePlanner {

    private static final double NANOS_PER_SECOND = 1e9;
    /** Share of an engine's speed that can be used before answers come late. */
    private static final double USABLE = 0.85;

    private static final double DRAIN_SECONDS = 2;
    /** Seconds of the whole fleet's goodput that a change must win at least. */
    private static final double LEAST_GAIN = 0.3;

    private static final int WARM_UP_SECONDS = 5;

    private final PlannerSettings settings;
    private final DemandForecast prompt;
    private final DemandForecast output;
    private double startedAt = -1;

    private PayingPlanner(PlannerSettings settings) {
        this.settings = settings;
        this.prompt = DemandForecast.of(settings.memorySeconds());
        this.output = DemandForecast.of(settings.memorySeconds());
    }

    /**
     * Makes a planner that has seen nothing yet.
     *
     * @param settings what it goes by
     * @return the planner
     */
    public static PayingPlanner of(PlannerSettings settings) {
        return new PayingPlanner(settings);
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineView> engines, Demand demand) {
        double seconds = now / NANOS_PER_SECOND;
        startedAt = startedAt < 0 ? seconds : startedAt;
        prompt.observe(seconds, demand.prefill());
        output.observe(seconds, demand.decode());
        boolean busy = engines.stream().anyMatch(EngineView::changing);
        if (busy || seconds - startedAt < WARM_UP_SECONDS) {
            return List.of();
        }
        List<EngineView> prefill = withRole(engines, Role.ROLE_PREFILL);
        List<EngineView> decode = withRole(engines, Role.ROLE_DECODE);
        int split = prefill.size() + decode.size();
        if (split < settings.prefillFloor() + settings.decodeFloor()) {
            return List.of();
        }
        int wanted = bestSplit(prefill.size(), split);
        return wanted > prefill.size()
                ? changes(decode, wanted - prefill.size(), Role.ROLE_PREFILL)
                : changes(prefill, prefill.size() - wanted, Role.ROLE_DECODE);
    }

    /** The number of prefill engines that serves most over the horizon, the way there counted. */
    private int bestSplit(int present, int engines) {
        int best = present;
        double bestValue = value(present, present, engines) + LEAST_GAIN * settings.weight();
        for (int p = settings.prefillFloor(); p <= engines - settings.decodeFloor(); p++) {
            double value = value(p, present, engines);
            boolean nearer = Math.abs(p - present) < Math.abs(best - present);
            if (p != present && (value > bestValue || value == bestValue && nearer)) {
                best = p;
                bestValue = value;
            }
        }
        return best;
    }

    /** Seconds of served work over the horizon, less what the change costs. */
    private double value(int p, int present, int engines) {
        double away = settings.changeSeconds() + DRAIN_SECONDS;
        double near = served(p, engines, away);
        double far = served(p, engines, settings.horizon() / 2);
        double cost = Math.abs(p - present) * away / engines * settings.weight();
        return (near + far) / 2 * settings.horizon() - cost;
    }

    private double served(int p, int engines, double ahead) {
        double prefillNeed = prompt.ahead(ahead) / settings.prefillSpeed();
        double decodeNeed = output.ahead(ahead) / settings.decodeSpeed();
        double prefillShare = prefillNeed == 0 ? 1 : USABLE * p / prefillNeed;
        double decodeShare = decodeNeed == 0 ? 1 : USABLE * (engines - p) / decodeNeed;
        return Math.min(1, Math.min(prefillShare, decodeShare));
    }

    private static List<EngineView> withRole(List<EngineView> engines, Role role) {
        return engines.stream().filter(engine -> engine.role() == role).toList();
    }

    /** Takes the engines with the fewest streams: they are free soonest. */
    private static List<RoleChange> changes(List<EngineView> from, int count, Role to) {
        List<EngineView> emptiest = new ArrayList<>(from);
        emptiest.sort(Comparator.comparingInt(EngineView::running));
        return emptiest.stream()
                .limit(count)
                .map(engine -> new RoleChange(engine.name(), to))
                .toList();
    }
}
