package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderPlaced;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.planning.CostAwarePlanner;
import org.cuminshelf.planning.EngineSnapshot;
import org.cuminshelf.planning.PlannerSettings;
import org.cuminshelf.planning.RoleChange;
import org.cuminshelf.planning.RolePlanner;
import org.cuminshelf.replica.Replica;

/**
 * Plans the roles of a region's engines, where operators enabled it. Only the leader plans, under its lease; what it
 * decides goes into the log as orders, so that a leader that lost its authority decides nothing.
 */
final class SidecarRoleController {

    private static final long PLAN_EVERY = Durations.nanos(1_000);
    private static final String AUTHOR = "planner";

    private final Replica replica;
    private final RegionStateMachine machine;
    private final SidecarDirectory directory;
    private final SubscriberTable subscribers;
    private final Map<String, RolePlanner> planners = new HashMap<>();
    private long plannedVersion = -1;
    private long nextPlan;

    SidecarRoleController(
            Replica replica, RegionStateMachine machine, SidecarDirectory directory, SubscriberTable subscribers) {
        this.replica = replica;
        this.machine = machine;
        this.directory = directory;
        this.subscribers = subscribers;
    }

    void tick(long now, FleetConfig config, long configVersion) {
        if (now < nextPlan) {
            return;
        }
        nextPlan = now + PLAN_EVERY;
        if (!config.planning().enabled().orElse(false)) {
            planners.clear();
            return;
        }
        if (plannedVersion != configVersion) {
            plannedVersion = configVersion;
            planners.clear();
        }
        config.models().forEach((name, model) -> plan(now, config, name, model));
    }

    private void plan(long now, FleetConfig config, String name, ModelConfig model) {
        RolePlanner planner = planners.computeIfAbsent(
                name, key -> CostAwarePlanner.of(PlannerSettings.of(config.planning(), model)));
        List<EngineSnapshot> engines = new ArrayList<>();
        for (SidecarDirectory.Row row : directory.rows()) {
            if (serves(row.member, name)) {
                engines.add(view(row));
            }
        }
        // Every control process looks: a leader that began to when it began to lead would first have to learn the mix.
        List<RoleChange> changes = planner.plan(now, engines, subscribers.demand(name));
        if (replica.hasLease(now)) {
            changes.forEach(change -> place(now, change));
        }
    }

    private static boolean serves(Member member, String model) {
        return member.getKind() == UpstreamKind.UPSTREAM_ENGINE
                && !member.getGone()
                && !member.getLeaving()
                && member.getModelsList().contains(model);
    }

    private EngineSnapshot view(SidecarDirectory.Row row) {
        String engine = row.member.getAddress();
        boolean changing =
                row.load.getChanging() || machine.pendingOrder(engine).isPresent();
        return new EngineSnapshot(engine, row.load.getRole(), changing, row.load.getRunning());
    }

    private void place(long now, RoleChange change) {
        machine.incarnation(change.engine())
                .ifPresent(incarnation -> replica.propose(
                        now,
                        LogEntry.newBuilder()
                                .setOrder(OrderPlaced.newBuilder()
                                        .setEngine(change.engine())
                                        .setIncarnation(incarnation)
                                        .setBody(OrderBody.newBuilder().setChangeRole(change.role()))
                                        .setAuthor(AUTHOR))));
    }
}
