package org.cuminshelf.planning;

import java.util.List;

/** Decides which engines change their role. All but {@link CostAwarePlanner} are baselines to measure against. */
public interface RolePlanner {

    /**
     * Looks at the engines and the work offered, about once a second, and decides.
     *
     * @param now     the time in nanoseconds
     * @param engines the engines that serve one model
     * @param demand  work offered since the start
     * @return the changes wanted now, often none
     */
    List<RoleChange> plan(long now, List<EngineSnapshot> engines, CumulativeDemand demand);

    /**
     * Tells on what the last decision rested.
     *
     * @return names and values for a log line, such as {@code reading=1.2}; empty where nothing is told
     */
    default String lastInputs() {
        return "";
    }

    /**
     * A planner that changes nothing: whatever split the engines start with stays.
     *
     * @return the planner
     */
    static RolePlanner fixed() {
        return (now, engines, demand) -> List.of();
    }
}
