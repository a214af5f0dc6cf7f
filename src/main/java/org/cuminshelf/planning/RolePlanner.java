package org.cuminshelf.planning;

import java.util.List;

/**
 * Decides which engines change their role. {@link ThresholdPlanner} and {@link #fixed} are baselines for comparison.
 */
public interface RolePlanner {

    /**
     * Observes the engines and the demand, and decides. Called about once a second.
     *
     * @param now     the time in nanoseconds
     * @param engines the engines that serve one model
     * @param demand  work offered since the start
     * @return the changes to make now, often none
     */
    List<RoleChange> plan(long now, List<EngineSnapshot> engines, CumulativeDemand demand);

    /**
     * Describes the inputs of the last decision.
     *
     * @return names and values for a log line, such as {@code reading=1.2}; empty if the planner describes none
     */
    default String lastInputs() {
        return "";
    }

    /**
     * Creates a planner that changes nothing, so that engines keep the roles with which they start.
     *
     * @return the planner
     */
    static RolePlanner fixed() {
        return (now, engines, demand) -> List.of();
    }
}
