package org.cuminshelf.planning;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.Role;

/**
 * Lets through only what another planner wants for a while without a break, one engine at a time.
 *
 * <p>Failure it guards against: the mix swings within seconds, or an engine restarts. A planner that follows each swing
 * takes engines away for seconds at the moment in which they are needed, and its change comes into force when the swing
 * is over; where the mix turned every three seconds within blocks of fourteen, serving with such changes was worth less
 * than never changing a role.
 *
 * <p>An engine that said that it leaves is no swing: it doesn't come back. What is wanted after it is let through as
 * soon as it is wanted twice in a row. With two of three engines that generate gone, waiting as for a swing took 11 s,
 * and 990 calls were refused for want of a place.
 */
public final class DebouncingPlanner implements RolePlanner {

    /** Times sooner that a change is let through where a role has no engine at all: nothing is served until then. */
    private static final int EMPTY_ROLE_HOLD_DIVISOR = 4;

    private final RolePlanner delegate;
    private final long holdNanos;
    private Optional<Role> pendingRole = Optional.empty();
    private long pendingSince;
    /** Until when what is wanted is taken to be wanted for engines that left. */
    private long noHoldUntil = Long.MIN_VALUE;

    private DebouncingPlanner(RolePlanner delegate, long holdNanos) {
        this.delegate = delegate;
        this.holdNanos = holdNanos;
    }

    /**
     * Steadies a planner.
     *
     * @param delegate  decides
     * @param holdNanos nanoseconds for which it must want the same
     * @return the steady planner
     */
    public static DebouncingPlanner of(RolePlanner delegate, long holdNanos) {
        return new DebouncingPlanner(delegate, holdNanos);
    }

    /**
     * The role that an engine is wanted for, whether or not it was wanted for long enough.
     *
     * @return the role, or nothing where all engines are to stay as they are
     */
    public Optional<Role> pendingRole() {
        return pendingRole;
    }

    @Override
    public String lastInputs() {
        return delegate.lastInputs();
    }

    /**
     * Looks at the engines and the work offered without deciding, as a process does whose turn it is not: should it
     * have to decide, it knows what the others know.
     *
     * @param now     the time in nanoseconds
     * @param engines the engines that serve one model
     * @param demand  work offered since the start
     */
    public void observe(long now, List<EngineSnapshot> engines, CumulativeDemand demand) {
        evaluate(now, engines, demand);
    }

    /**
     * Notes that an engine said that it leaves, or that it is gone.
     *
     * @param now the time in nanoseconds
     */
    public void onEngineLost(long now) {
        noHoldUntil = now + holdNanos;
    }

    /**
     * Notes that a change was ordered, by whichever process: the next must be wanted anew.
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
        // What is wanted since this look only may not be wanted at the next.
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

    /** For how long the same must have been wanted, in nanoseconds. */
    private long requiredHoldNanos(long now, List<EngineSnapshot> engines) {
        if (now < noHoldUntil) {
            return 0;
        }
        boolean bothRoles =
                engines.stream().map(EngineSnapshot::role).distinct().count() > 1;
        return bothRoles ? holdNanos : holdNanos / EMPTY_ROLE_HOLD_DIVISOR;
    }
}
