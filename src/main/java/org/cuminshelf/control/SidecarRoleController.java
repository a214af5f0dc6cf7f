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
 * Plans the roles of a region's engines that have sidecars, if planning is enabled in the configuration. Only the
 * leader places orders, under its lease. Orders are proposed to the log, so that those of a deposed leader have no
 * effect.
 */
final class SidecarRoleController {

    private static final long PLAN_INTERVAL_NANOS = Durations.nanos(1_000);
    private static final String AUTHOR = "planner";

    private final Replica replica;
    private final RegionStateMachine machine;
    private final SidecarDirectory directory;
    private final SubscriberTable subscribers;
    private final Map<String, RolePlanner> planners = new HashMap<>();
    private long plannedConfigVersion = -1;
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
        nextPlan = now + PLAN_INTERVAL_NANOS;
        if (!config.planning().enabled().orElse(false)) {
            planners.clear();
            return;
        }
        if (plannedConfigVersion != configVersion) {
            plannedConfigVersion = configVersion;
            planners.clear();
        }
        config.models().forEach((name, model) -> plan(now, config, name, model));
    }

    private void plan(long now, FleetConfig config, String name, ModelConfig model) {
        RolePlanner planner = planners.computeIfAbsent(
                name, key -> CostAwarePlanner.of(PlannerSettings.of(config.planning(), model)));
        List<EngineSnapshot> engines = new ArrayList<>();
        for (SidecarDirectory.AnnouncedUpstream upstream : directory.upstreams()) {
            if (serves(upstream.member, name)) {
                engines.add(engineView(upstream));
            }
        }
        // Every control process observes the load, because a new leader would otherwise have to learn it first.
        List<RoleChange> changes = planner.plan(now, engines, subscribers.demand(name));
        if (replica.hasLease(now)) {
            changes.forEach(change -> proposeOrder(now, change));
        }
    }

    private static boolean serves(Member member, String model) {
        return member.getKind() == UpstreamKind.UPSTREAM_ENGINE
                && !member.getGone()
                && !member.getLeaving()
                && member.getModelsList().contains(model);
    }

    private EngineSnapshot engineView(SidecarDirectory.AnnouncedUpstream upstream) {
        String engine = upstream.member.getAddress();
        boolean changing =
                upstream.load.getChanging() || machine.pendingOrder(engine).isPresent();
        return new EngineSnapshot(engine, upstream.load.getRole(), changing, upstream.load.getRunning());
    }

    private void proposeOrder(long now, RoleChange change) {
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
