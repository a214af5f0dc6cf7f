package org.cuminshelf.planning;

import org.cuminshelf.message.Role;

/**
 * A change that a planner wants.
 *
 * @param engine the engine
 * @param role   the role it is to have
 */
public record RoleChange(String engine, Role role) {}
