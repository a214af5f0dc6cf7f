package org.cuminshelf.planning;

import org.cuminshelf.message.Role;

/**
 * State of an engine at the time of a planner's decision.
 *
 * @param name           the name of the engine
 * @param role           the current role
 * @param changingRole   whether a role change is in progress
 * @param runningStreams streams that run on the engine; {@link Integer#MAX_VALUE} makes it unavailable for a change in
 *                       {@link BalancedPlanner}
 */
public record EngineSnapshot(String name, Role role, boolean changingRole, int runningStreams) {}
