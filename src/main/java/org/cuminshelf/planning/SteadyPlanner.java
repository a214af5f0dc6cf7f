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
public final class SteadyPlanner implements RolePlanner {

    /** Times sooner that a change is let through where a role has no engine at all: nothing is served until then. */
    private static final int SOONER = 4;

    private final RolePlanner planner;
    private final long patience;
    private Optional<Role> wanted = Optional.empty();
    private long since;
    /** Until when what is wanted is taken to be wanted for engines that left. */
    private long hurriedUntil = Long.MIN_VALUE;

    private SteadyPlanner(RolePlanner planner, long patience) {
        this.planner = planner;
        this.patience = patience;
    }

    /**
     * Steadies a planner.
     *
     * @param planner  decides
     * @param patience nanoseconds for which it must want the same
     * @return the steady planner
     */
    public static SteadyPlanner of(RolePlanner planner, long patience) {
        return new SteadyPlanner(planner, patience);
    }

    /**
     * The role that an engine is wanted for, whether or not it was wanted for long enough.
     *
     * @return the role, or nothing where all engines are to stay as they are
     */
    public Optional<Role> wanted() {
        return wanted;
    }

    @Override
    public String basis() {
        return planner.basis();
    }

    /**
     * Looks at the engines and the work offered without deciding, as a process does whose turn it is not: should it
     * have to decide, it knows what the others know.
     *
     * @param now     the time in nanoseconds
     * @param engines the engines that serve one model
     * @param demand  work offered since the start
     */
    public void observe(long now, List<EngineView> engines, Demand demand) {
        look(now, engines, demand);
    }

    /**
     * Notes that an engine said that it leaves, or that it is gone.
     *
     * @param now the time in nanoseconds
     */
    public void engineLeft(long now) {
        hurriedUntil = now + patience;
    }

    /**
     * Notes that a change was ordered, by whichever process: the next must be wanted anew.
     *
     * @param now the time in nanoseconds
     */
    public void ordered(long now) {
        since = now;
        hurriedUntil = Long.MIN_VALUE;
    }

    @Override
    public List<RoleChange> plan(long now, List<EngineView> engines, Demand demand) {
        Optional<RoleChange> change = look(now, engines, demand);
        // What is wanted since this look only may not be wanted at the next.
        if (change.isEmpty() || now == since || now - since < needed(now, engines)) {
            return List.of();
        }
        ordered(now);
        return List.of(change.get());
    }

    private Optional<RoleChange> look(long now, List<EngineView> engines, Demand demand) {
        Optional<RoleChange> change =
                planner.plan(now, engines, demand).stream().findFirst();
        Optional<Role> role = change.map(RoleChange::role);
        if (!role.equals(wanted)) {
            wanted = role;
            since = now;
        }
        return change;
    }

    /** For how long the same must have been wanted, in nanoseconds. */
    private long needed(long now, List<EngineView> engines) {
        if (now < hurriedUntil) {
            return 0;
        }
        boolean bothRoles = engines.stream().map(EngineView::role).distinct().count() > 1;
        return bothRoles ? patience : patience / SOONER;
    }
}
