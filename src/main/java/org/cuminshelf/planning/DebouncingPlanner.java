package org.cuminshelf.planning;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.Role;

/**
 * Debounces another planner: a change is made only after that planner has wanted the same role for a while without
 * interruption, one engine at a time.
 *
 * <p>The mix fluctuates within seconds, and engines restart. A planner that follows each fluctuation takes engines out
 * of service for seconds when they are needed, and its change takes effect when the fluctuation is over. Where the mix
 * alternated every three seconds within phases of fourteen, serving with such changes was worth less than never
 * changing a role.
 *
 * <p>An engine that announced that it is leaving doesn't return, so the change that replaces it is made as soon as it
 * is wanted twice in a row. When two of three decode engines left, waiting for the usual time took 11 s, and 990 calls
 * were refused for lack of a slot.
 */
public final class DebouncingPlanner implements RolePlanner {

    /** Divisor of the hold time while a role has no engine at all, as nothing is served until the change. */
    private static final int EMPTY_ROLE_HOLD_DIVISOR = 4;

    private final RolePlanner delegate;
    private final long holdNanos;
    private Optional<Role> pendingRole = Optional.empty();
    private long pendingSince;
    /** Until when changes are taken to replace engines that left, and are made without the hold time. */
    private long noHoldUntil = Long.MIN_VALUE;

    private DebouncingPlanner(RolePlanner delegate, long holdNanos) {
        this.delegate = delegate;
        this.holdNanos = holdNanos;
    }

    /**
     * Creates a planner that debounces another.
     *
     * @param delegate  the planner that decides
     * @param holdNanos nanoseconds for which it must want the same role
     * @return the planner
     */
    public static DebouncingPlanner of(RolePlanner delegate, long holdNanos) {
        return new DebouncingPlanner(delegate, holdNanos);
    }

    /**
     * Returns the role that the underlying planner wants an engine for, whether or not for long enough.
     *
     * @return the role, or empty if all engines are to keep their roles
     */
    public Optional<Role> pendingRole() {
        return pendingRole;
    }

    @Override
    public String lastInputs() {
        return delegate.lastInputs();
    }

    /**
     * Observes the engines and the demand without deciding. A process that is not the leader does so, and has the same
     * observations if it becomes the leader.
     *
     * @param now     the time in nanoseconds
     * @param engines the engines that serve one model
     * @param demand  work offered since the start
     */
    public void observe(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        evaluate(now, engines, demand);
    }

    /**
     * Records that an engine announced that it is leaving, or that it has stopped.
     *
     * @param now the time in nanoseconds
     */
    public void onEngineLost(long now) {
        noHoldUntil = now + holdNanos;
    }

    /**
     * Records that a change was ordered, by any process, which restarts the hold time.
     *
     * @param now the time in nanoseconds
     */
    public void onChangeOrdered(long now) {
        pendingSince = now;
        noHoldUntil = Long.MIN_VALUE;
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        Optional<RoleChange> change = evaluate(now, engines, demand);
        // A change first wanted now may no longer be wanted at the next evaluation.
        if (change.isEmpty() || now == pendingSince || now - pendingSince < requiredHoldNanos(now, engines)) {
            return List.of();
        }
        onChangeOrdered(now);
        return List.of(change.get());
    }

    private Optional<RoleChange> evaluate(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        Optional<RoleChange> change =
                delegate.plan(now, engines, demand).stream().findFirst();
        Optional<Role> role = change.map(RoleChange::role);
        if (!role.equals(pendingRole)) {
            pendingRole = role;
            pendingSince = now;
        }
        return change;
    }

    /** Returns the nanoseconds for which the same role must have been wanted. */
    private long requiredHoldNanos(long now, List<EngineSnapshot> engines) {
        if (now < noHoldUntil) {
            return 0;
        }
        boolean bothRoles =
                engines.stream().map(EngineSnapshot::role).distinct().count() > 1;
        return bothRoles ? holdNanos : holdNanos / EMPTY_ROLE_HOLD_DIVISOR;
    }
}
