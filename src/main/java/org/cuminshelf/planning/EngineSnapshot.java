package org.cuminshelf.planning;

import org.cuminshelf.message.Role;

/**
 * An engine as a planner sees it.
 *
 * @param name     names it
 * @param role     the role in force
 * @param changingRole whether a change is on its way
 * @param runningStreams  streams there
 */
public record EngineSnapshot(String name, Role role, boolean changingRole, int runningStreams) {}
