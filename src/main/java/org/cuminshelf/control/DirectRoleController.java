package org.cuminshelf.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.planning.BalancedPlanner;
import org.cuminshelf.planning.DebouncingPlanner;
import org.cuminshelf.planning.EngineSnapshot;
import org.cuminshelf.planning.RoleChange;
import org.cuminshelf.replica.Replica;
import org.tinylog.Logger;

/**
 * Plans the roles of engines that announce themselves directly to control, without a sidecar, and orders role changes.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A deposed leader sends an order that competes with one of its successor. An order is sent only after it is
 *       committed, only under a lease, and only by the leader of the term in which it was committed. The number of an
 *       order is its log index, so that numbers increase across leaders.</li>
 *   <li>An engine receives an order, does not respond, and applies the order seconds later, after a newer one. No
 *       further order is sent to an engine within {@link #ORDER_COOLDOWN_NANOS} of the last. This also binds a new
 *       leader, which reads the order from the log. The cooldown applies to the engine's name, because the order may
 *       reach a later incarnation of the engine.</li>
 *   <li>A software version loses its last engine that generates, see {@link VersionRoles}.</li>
 *   <li>Requests reach an engine that is about to change its role and are rejected. Entries are notified
 *       {@link #NOTICE_NANOS} before the order is sent.</li>
 * </ul>
 */
final class DirectRoleController {

    private static final String LOG = "control: ";
    /** Minimum interval between log lines for an unchanged plan: at most half a line per second and service. */
    private static final long PLAN_LOG_INTERVAL_NANOS = Durations.nanos(2_000);

    private static final long PLAN_INTERVAL_NANOS = Durations.nanos(500);
    /** Delay between commit and sending, in which entries stop using the engine; updates reach them within 30 ms. */
    private static final long NOTICE_NANOS = Durations.nanos(120);
    /** Engines apply an order up to 12 s after it was sent; a third more allows for clock error and pauses. */
    private static final long ORDER_COOLDOWN_NANOS = Durations.nanos(16_000);
    /** A role change takes 3 s after running work has ended; after this timeout the engine's reported role counts. */
    private static final long CHANGE_TIMEOUT_NANOS = Durations.nanos(6_000);
    /** Time for which the load must require the same change; the load fluctuates with a period of three seconds. */
    private static final long SUSTAINED_DEMAND_NANOS = Durations.nanos(8_000);

    /** The planner of one service, the engines it last planned with, and the state last logged. */
    private static final class ServicePlan {
        private final DebouncingPlanner planner;
        private Set<String> engineNames = Set.of();
        private Optional<Role> loggedRole = Optional.empty();
        private long loggedAt = Long.MIN_VALUE / 2;

        private ServicePlan(DebouncingPlanner planner) {
            this.planner = planner;
        }
    }

    /** The last committed order of an engine. */
    private static final class CommittedOrder {
        private final DirectOrder order;
        private final long committedAt;
        private final boolean proposedHere;
        private boolean sent;

        private CommittedOrder(DirectOrder order, long committedAt, boolean proposedHere) {
            this.order = order;
            this.committedAt = committedAt;
            this.proposedHere = proposedHere;
        }
    }

    private final Replica replica;
    private final LastDirectOrders orders;
    private final DirectUpstreamRegistry registry;
    private final SubscriberTable subscribers;
    private final DutyLease dutyLease;
    private final Map<String, CommittedOrder> lastOrders = new TreeMap<>();
    private final Map<String, ServicePlan> plans = new HashMap<>();
    private final VersionRoles versionRoles;
    /** Roles of the orders that were proposed in {@link #proposedTerm} and are not committed, by upstream name. */
    private final Map<String, Role> uncommittedRoles = new HashMap<>();

    private long proposedTerm;
    private int proposals;
    private long nextPlan;

    DirectRoleController(
            Replica replica,
            LastDirectOrders orders,
            DirectUpstreamRegistry registry,
            SubscriberTable subscribers,
            DutyLease dutyLease,
            VersionRoles versionRoles) {
        this.replica = replica;
        this.orders = orders;
        this.registry = registry;
        this.subscribers = subscribers;
        this.dutyLease = dutyLease;
        this.versionRoles = versionRoles;
    }

    void tick(long now, Outbox out) {
        boolean isLeader = dutyLease.isHeld(now);
        applyCommitted(now, isLeader);
        if (isLeader && proposedTerm != replica.term()) {
            proposedTerm = replica.term();
            proposals = 0;
            uncommittedRoles.clear();
        }
        if (isLeader) {
            sendOrders(now, out);
        }
        if (now >= nextPlan) {
            nextPlan = now + PLAN_INTERVAL_NANOS;
            plan(now, dutyLease.mayAct(now));
        }
    }

    private void applyCommitted(long now, boolean isLeader) {
        for (DirectOrder order : orders.takeApplied()) {
            boolean proposedHere = isLeader && proposals > 0 && proposedTerm == replica.term();
            proposals -= proposedHere ? 1 : 0;
            uncommittedRoles.remove(order.getUpstream());
            lastOrders.put(order.getUpstream(), new CommittedOrder(order, now, proposedHere));
            registry.find(order.getUpstream())
                    .map(heartbeat -> plans.get(heartbeat.getService()))
                    .ifPresent(plan -> plan.planner.onChangeOrdered(now));
            registry.markChanging(order.getUpstream(), order.getRole(), now + CHANGE_TIMEOUT_NANOS);
        }
    }

    private void sendOrders(long now, Outbox out) {
        for (CommittedOrder committed : lastOrders.values()) {
            if (committed.proposedHere && !committed.sent && now - committed.committedAt >= NOTICE_NANOS) {
                committed.sent = true;
                if (now - committed.committedAt > 5 * NOTICE_NANOS) {
                    // The process was suspended since the commit, so its own clock cannot prove that it still leads.
                    Logger.warn(
                            LOG + "event=order id={} outcome=too-late number={}",
                            committed.order.getUpstream(),
                            committed.order.getNumber());
                    continue;
                }
                out.send(Address.ORDERS, Envelope.newBuilder().setSendDirectOrder(committed.order));
            }
        }
    }

    void onOutcome(OrderApplied outcome) {
        Logger.info(
                LOG + "event=order number={} outcome={}",
                outcome.getNumber(),
                outcome.getAccepted() ? "accepted" : outcome.getCause());
    }

    /**
     * Feeds the engines and the offered work to the planners, and proposes orders if this process may decide.
     *
     * <p>Every control process observes, not only the leader. Otherwise, if the leader is lost while engines leave, its
     * successor needs 8 s to learn the load and another 8 s before it changes the role of an engine.
     */
    private void plan(long now, boolean mayDecide) {
        List<PlannedEngine> serving = registry.serving().stream()
                .map(heartbeat -> plannedEngine(now, heartbeat))
                .toList();
        versionRoles.observe(now, serving);
        if (mayDecide) {
            versionRoles
                    .missingGenerators(now)
                    .forEach(engine -> propose(
                            now, engine.heartbeat(), Role.ROLE_DECODE, OrderReason.VERSION_WITHOUT_GENERATING_ENGINE));
        }
        Map<String, List<EngineSnapshot>> byService = serving.stream()
                .filter(engine -> engine.heartbeat().getRole() != Role.ROLE_MIXED)
                .collect(Collectors.groupingBy(
                        engine -> engine.heartbeat().getService(),
                        TreeMap::new,
                        Collectors.mapping(this::snapshot, Collectors.toList())));
        byService.forEach((service, engines) -> planByLoad(now, service, engines, mayDecide));
    }

    private void planByLoad(long now, String service, List<EngineSnapshot> engines, boolean mayDecide) {
        ServicePlan plan = plans.computeIfAbsent(
                service,
                key -> new ServicePlan(
                        DebouncingPlanner.of(BalancedPlanner.of(slotsPerEngine(engines)), SUSTAINED_DEMAND_NANOS)));
        detectDepartures(now, plan, engines);
        if (!mayDecide) {
            plan.planner.observe(now, engines, subscribers.demand(service));
            return;
        }
        List<RoleChange> changes = plan.planner.plan(now, engines, subscribers.demand(service));
        logPlan(now, service, plan);
        changes.forEach(change -> registry.find(change.engine())
                .ifPresent(heartbeat -> propose(now, heartbeat, change.role(), OrderReason.LOAD)));
    }

    /**
     * Notifies the planner of engines that announced their departure or are deleted. A silent engine does not count, as
     * it may return within seconds.
     */
    private void detectDepartures(long now, ServicePlan plan, List<EngineSnapshot> engines) {
        Set<String> currentNames = engines.stream().map(EngineSnapshot::name).collect(Collectors.toSet());
        boolean departed = plan.engineNames.stream()
                .filter(name -> !currentNames.contains(name))
                .anyMatch(name -> registry.find(name)
                        .filter(heartbeat -> heartbeat.getLeaving() || heartbeat.getDeleted())
                        .isPresent());
        plan.engineNames = currentNames;
        if (departed) {
            plan.planner.onEngineLost(now);
        }
    }

    /** Logs the wanted role and the planner's inputs, so that the absence of an order can be explained afterwards. */
    private static void logPlan(long now, String service, ServicePlan plan) {
        Optional<Role> wanted = plan.planner.pendingRole();
        if (wanted.equals(plan.loggedRole) && now - plan.loggedAt < PLAN_LOG_INTERVAL_NANOS) {
            return;
        }
        plan.loggedRole = wanted;
        plan.loggedAt = now;
        Logger.info(
                LOG + "event=plan id={} wants={} {}",
                service,
                wanted.map(Role::name).orElse("none"),
                plan.planner.lastInputs());
    }

    /**
     * Describes an engine for planning. One that is changing, or that was proposed to change, is described in its new
     * role, as otherwise each change would wait for the previous one.
     */
    private PlannedEngine plannedEngine(long now, UpstreamBeat heartbeat) {
        CommittedOrder previous = lastOrders.get(heartbeat.getName());
        Optional<Role> proposed = Optional.ofNullable(uncommittedRoles.get(heartbeat.getName()))
                .filter(role -> proposedTerm == replica.term());
        boolean recentlyOrdered = previous != null && now - previous.committedAt <= ORDER_COOLDOWN_NANOS;
        Role role = heartbeat.getChanging() && previous != null ? previous.order.getRole() : heartbeat.getRole();
        return new PlannedEngine(heartbeat, proposed.orElse(role), !recentlyOrdered && proposed.isEmpty());
    }

    /** Describes an engine for the planner by load, which selects the one with the fewest streams. */
    private EngineSnapshot snapshot(PlannedEngine engine) {
        return new EngineSnapshot(engine.name(), engine.role(), false, versionRoles.rankForChange(engine));
    }

    /** Number of requests that one engine of a service can run concurrently. */
    private int slotsPerEngine(List<EngineSnapshot> engines) {
        return engines.stream()
                .findFirst()
                .flatMap(engine -> registry.find(engine.name()))
                .map(UpstreamBeat::getSlots)
                .orElse(1);
    }

    private void propose(long now, UpstreamBeat heartbeat, Role role, OrderReason reason) {
        if (!plannedEngine(now, heartbeat).orderable()) {
            return;
        }
        DirectOrder order = DirectOrder.newBuilder()
                .setUpstream(heartbeat.getName())
                .setAddress(heartbeat.getAddress())
                .setRole(role)
                .build();
        replica.propose(now, LogEntry.newBuilder().setDirectOrder(order)).ifPresent(index -> {
            proposals++;
            uncommittedRoles.put(heartbeat.getName(), role);
            Logger.info(
                    LOG + "event=order id={} number={} role={} service={} version={} reason={} outcome=proposed"
                            + " demand={}",
                    heartbeat.getName(),
                    index,
                    role,
                    heartbeat.getService(),
                    heartbeat.getVersion().isEmpty() ? "none" : heartbeat.getVersion(),
                    reason.label(),
                    subscribers.demand(heartbeat.getService()));
        });
    }
}
