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
 */
public final class SteadyPlanner implements RolePlanner {

    /** Times sooner that a change is let through where a role has no engine at all: nothing is served until then. */
    private static final int SOONER = 4;

    private final RolePlanner planner;
    private final long patience;
    private Optional<Role> wanted = Optional.empty();
    private long since;

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

    @Override
    public List<RoleChange> plan(long now, List<EngineView> engines, Demand demand) {
        Optional<RoleChange> change =
                planner.plan(now, engines, demand).stream().findFirst();
        Optional<Role> role = change.map(RoleChange::role);
        if (!role.equals(wanted)) {
            wanted = role;
            since = now;
        }
        long needed = engines.stream().map(EngineView::role).distinct().count() > 1 ? patience : patience / SOONER;
        if (change.isEmpty() || now - since < needed) {
            return List.of();
        }
        since = now;
        return List.of(change.get());
    }
}
