package org.cuminshelf.shares;

/**
 * Calls of one route that have the same priority.
 *
 * @param route    the name of the route
 * @param priority their priority; 0 is the highest
 */
public record CallKind(String route, int priority) {

    /** Returns whether calls of this kind take precedence over those of another. */
    boolean isMoreUrgentThan(CallKind other) {
        return priority < other.priority;
    }
}
