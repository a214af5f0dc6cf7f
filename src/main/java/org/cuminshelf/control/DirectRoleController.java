package org.cuminshelf.control;

import java.util.ArrayList;
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
 * Plans the roles of engines that announce themselves straight to control, and gives the orders.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>A deposed leader gives an order beside its successor's. An order is sent only after it is committed, only under
 *       a lease, and only by the leader of the term in which it was committed; its number is its index in the log, so
 *       that numbers rise across leaders.</li>
 *   <li>An engine takes an order, answers nothing, and carries it out seconds later, after a newer one. After an order
 *       an engine is left alone for {@link #QUIET}, by its successor too, which knows the order from the log, and
 *       under its name: the order may reach a later start of it.</li>
 *   <li>Requests reach an engine that is about to change its role and are refused. Entries are told
 *       {@link #NOTICE} before the order is sent.</li>
 * </ul>
 */
final class DirectRoleController {

    private static final String LOG = "control: ";
    /** How often the basis of plans is logged where it stays the same: half a line a second at the most. */
    private static final long TELL_EVERY = Durations.nanos(2_000);

    private static final long PLAN_EVERY = Durations.nanos(500);
    /** How long entries have to hear that an engine takes no new work; news reach them within some 30 ms. */
    private static final long NOTICE = Durations.nanos(120);
    /** Engines were seen to carry an order out 12 s after it was sent; a third more for clocks and pauses. */
    private static final long QUIET = Durations.nanos(16_000);
    /** A change takes 3 s after running work ended; an engine not back by then is asked to show its role itself. */
    private static final long CHANGE_TAKES = Durations.nanos(6_000);
    /** How long the mix must ask for the same change: longer than the swings of three seconds within it. */
    private static final long PATIENCE = Durations.nanos(8_000);

    /** A planner, and what was last logged of it. */
    private static final class Plan {
        private final DebouncingPlanner planner;
        private Set<String> engines = Set.of();
        private Optional<Role> told = Optional.empty();
        private long toldAt = Long.MIN_VALUE / 2;

        private Plan(DebouncingPlanner planner) {
            this.planner = planner;
        }
    }

    private static final class Sent {
        private final DirectOrder order;
        private final long knownAt;
        private final boolean own;
        private boolean given;

        private Sent(DirectOrder order, long knownAt, boolean own) {
            this.order = order;
            this.knownAt = knownAt;
            this.own = own;
        }
    }

    private final Replica replica;
    private final LastDirectOrders book;
    private final DirectUpstreamRegistry registry;
    private final SubscriberTable subscribers;
    private final DutyLease holder;
    private final Map<String, Sent> last = new TreeMap<>();
    private final Map<String, Plan> plans = new HashMap<>();
    private long proposedTerm;
    private int proposals;
    private long nextPlan;

    DirectRoleController(
            Replica replica,
            LastDirectOrders book,
            DirectUpstreamRegistry registry,
            SubscriberTable subscribers,
            DutyLease holder) {
        this.replica = replica;
        this.book = book;
        this.registry = registry;
        this.subscribers = subscribers;
        this.holder = holder;
    }

    void tick(long now, Outbox out) {
        boolean leads = holder.holds(now);
        takeCommitted(now, leads);
        if (leads && proposedTerm != replica.term()) {
            proposedTerm = replica.term();
            proposals = 0;
        }
        if (leads) {
            giveOrders(now, out);
        }
        if (now >= nextPlan) {
            nextPlan = now + PLAN_EVERY;
            plan(now, holder.mayAct(now));
        }
    }

    private void takeCommitted(long now, boolean leads) {
        for (DirectOrder order : book.takeApplied()) {
            boolean own = leads && proposals > 0 && proposedTerm == replica.term();
            proposals -= own ? 1 : 0;
            last.put(order.getUpstream(), new Sent(order, now, own));
            registry.row(order.getUpstream())
                    .map(beat -> plans.get(beat.getService()))
                    .ifPresent(plan -> plan.planner.onChangeOrdered(now));
            registry.changing(order.getUpstream(), order.getRole(), now + CHANGE_TAKES);
        }
    }

    private void giveOrders(long now, Outbox out) {
        for (Sent sent : last.values()) {
            if (sent.own && !sent.given && now - sent.knownAt >= NOTICE) {
                sent.given = true;
                if (now - sent.knownAt > 5 * NOTICE) {
                    // The process stood still in between: whether it still leads is not for its own clock to say.
                    Logger.warn(
                            LOG + "event=order id={} outcome=too-late number={}",
                            sent.order.getUpstream(),
                            sent.order.getNumber());
                    continue;
                }
                out.send(Address.ORDERS, Envelope.newBuilder().setSendDirectOrder(sent.order));
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
     * Looks at engines and work offered, and gives orders where this process may.
     *
     * <p>Every control process looks. Guards against a leader that is lost while engines leave: a successor that began
     * to look when it began to lead knew the mix 8 s later, and waited 8 s more before it moved an engine.
     */
    private void plan(long now, boolean decides) {
        Map<String, List<EngineSnapshot>> byService = new TreeMap<>();
        for (UpstreamBeat beat : registry.serving()) {
            if (beat.getRole() != Role.ROLE_MIXED) {
                byService
                        .computeIfAbsent(beat.getService(), key -> new ArrayList<>())
                        .add(view(now, beat));
            }
        }
        byService.forEach((service, engines) -> {
            Plan plan = plans.computeIfAbsent(
                    service, key -> new Plan(DebouncingPlanner.of(BalancedPlanner.of(slots(engines)), PATIENCE)));
            noteLeft(now, plan, engines);
            if (!decides) {
                plan.planner.observe(now, engines, subscribers.demand(service));
                return;
            }
            List<RoleChange> changes = plan.planner.plan(now, engines, subscribers.demand(service));
            tell(now, service, plan);
            changes.forEach(change -> propose(now, service, change));
        });
    }

    /** Tells a planner of engines that said that they leave or are gone; one that fell silent may be back soon. */
    private void noteLeft(long now, Plan plan, List<EngineSnapshot> engines) {
        Set<String> names = engines.stream().map(EngineSnapshot::name).collect(Collectors.toSet());
        boolean left = plan.engines.stream()
                .filter(name -> !names.contains(name))
                .anyMatch(name -> registry.row(name)
                        .filter(beat -> beat.getLeaving() || beat.getDeleted())
                        .isPresent());
        plan.engines = names;
        if (left) {
            plan.planner.onEngineLost(now);
        }
    }

    /** Logs what engines are wanted for and why: without it, why no order came can't be told afterwards. */
    private static void tell(long now, String service, Plan plan) {
        Optional<Role> wanted = plan.planner.pendingRole();
        if (wanted.equals(plan.told) && now - plan.toldAt < TELL_EVERY) {
            return;
        }
        plan.told = wanted;
        plan.toldAt = now;
        Logger.info(
                LOG + "event=plan id={} wants={} {}",
                service,
                wanted.map(Role::name).orElse("none"),
                plan.planner.lastInputs());
    }

    /**
     * An engine as the planner is to see it: one that is changing has its new role already, or each change would wait
     * for the last; one that had an order lately comes last, as it can't have another.
     */
    private EngineSnapshot view(long now, UpstreamBeat beat) {
        Sent before = last.get(beat.getName());
        boolean ordered = before != null && now - before.knownAt <= QUIET;
        Role role = beat.getChanging() && before != null ? before.order.getRole() : beat.getRole();
        return new EngineSnapshot(beat.getName(), role, false, ordered ? Integer.MAX_VALUE : 0);
    }

    /** Requests that one engine of a service runs at once. */
    private int slots(List<EngineSnapshot> engines) {
        return engines.stream()
                .findFirst()
                .flatMap(engine -> registry.row(engine.name()))
                .map(UpstreamBeat::getSlots)
                .orElse(1);
    }

    private void propose(long now, String service, RoleChange change) {
        Sent before = last.get(change.engine());
        boolean quiet = before == null || now - before.knownAt > QUIET;
        if (!quiet) {
            return;
        }
        registry.row(change.engine()).ifPresent(beat -> {
            DirectOrder order = DirectOrder.newBuilder()
                    .setUpstream(beat.getName())
                    .setAddress(beat.getAddress())
                    .setRole(change.role())
                    .build();
            replica.propose(now, LogEntry.newBuilder().setDirectOrder(order)).ifPresent(index -> {
                proposals++;
                Logger.info(
                        LOG + "event=order id={} number={} role={} service={} outcome=proposed demand={}",
                        beat.getName(),
                        index,
                        change.role(),
                        service,
                        subscribers.demand(service));
            });
        });
    }
}
