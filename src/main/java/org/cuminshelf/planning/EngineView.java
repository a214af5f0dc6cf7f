package org.cuminshelf.planning;

import org.cuminshelf.message.Role;

/**
 * An engine as a planner sees it.
 *
 * @param name     names it
 * @param role     the role in force
 * @param changing whether a change is on its way
 * @param running  streams there
 */
public record EngineView(String name, Role role, boolean changing, int running) {}
