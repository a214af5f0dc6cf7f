package org.cuminshelf.trial;

import java.util.List;
import java.util.function.Function;
import org.cuminshelf.entry.RoutingPolicy;
import org.cuminshelf.planning.CostAwarePlanner;
import org.cuminshelf.planning.PlannerSettings;
import org.cuminshelf.planning.RolePlanner;
import org.cuminshelf.planning.ThresholdPlanner;

/**
 * A policy in an experiment.
 *
 * @param name    its name in tables
 * @param routing how upstreams are chosen
 * @param planner how roles are planned
 * @param weight  the operators' weight on role changes
 * @param mixed   whether all engines stay mixed
 */
public record Contender(
        String name,
        RoutingPolicy routing,
        Function<PlannerSettings, RolePlanner> planner,
        double weight,
        boolean mixed) {

    private static final double KATALOGIKA_WEIGHT = 1;
    private static final double ASSOCIATION_WEIGHT = 6;

    /**
     * The policy that serves, at the settings of both deployments, and the baselines.
     *
     * @return the contenders
     */
    public static List<Contender> all() {
        RoutingPolicy earliest = new RoutingPolicy.EarliestAnswer();
        return List.of(
                new Contender("cuminshelf, weight 1", earliest, CostAwarePlanner::of, KATALOGIKA_WEIGHT, false),
                new Contender("cuminshelf, weight 6", earliest, CostAwarePlanner::of, ASSOCIATION_WEIGHT, false),
                new Contender("naive threshold", earliest, ThresholdPlanner::of, 1, false),
                new Contender("static split", earliest, settings -> RolePlanner.fixed(), 1, false),
                new Contender("all mixed", earliest, settings -> RolePlanner.fixed(), 1, true),
                new Contender(
                        "least loaded, our planner", new RoutingPolicy.LeastLoaded(), CostAwarePlanner::of, 1, false),
                new Contender(
                        "round robin, our planner", new RoutingPolicy.RoundRobin(), CostAwarePlanner::of, 1, false));
    }
}
