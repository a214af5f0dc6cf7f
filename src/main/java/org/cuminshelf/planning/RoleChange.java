package org.cuminshelf.planning;

import org.cuminshelf.message.Role;

/**
 * A role change that a planner decided.
 *
 * @param engine the name of the engine
 * @param role   its new role
 */
public record RoleChange(String engine, Role role) {}
