package org.cuminshelf.trial;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.message.ApplyOrder;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.message.UpstreamState;
import org.cuminshelf.standin.EngineEvents;
import org.cuminshelf.standin.EngineModel;
import org.cuminshelf.standin.EngineSpeed;

/** A stand-in engine in virtual time, beside a sidecar that it outlives. It watches the orders it is given. */
final class VirtualEngine implements EngineEvents {

    private static final long STATE_EVERY = Durations.nanos(250);
    private static final long SHORTEST_WRITE = Durations.nanos(1) / 10;
    private static final long WRITE_SPREAD = Durations.nanos(3);
    private static final long LONG_WRITE_SPREAD = Durations.nanos(800);
    /** How long the write of an order may stay on its way after its sidecar has died. */
    private static final long LONGEST_ORDER_WRITE = Durations.nanos(2_000);

    private static final String MODEL = "cataloguer";

    private record Connection(long sidecarIncarnation, long attempt) {}

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Invariants invariants;
    private final VirtualNode sidecar;
    private final UpstreamLink link;
    private final boolean checksFence;
    private final Map<Long, Connection> connections = new TreeMap<>();
    private final Set<Connection> cancelled = new HashSet<>();
    private EngineModel model;
    private boolean crashed;
    private long nextStream = 1;
    private long lastAccepted;
    private long wake;
    private long ordersAccepted;

    VirtualEngine(
            VirtualTime time,
            UniformRandomProvider random,
            Invariants invariants,
            VirtualNode sidecar,
            boolean checksFence) {
        this.time = time;
        this.random = random;
        this.invariants = invariants;
        this.sidecar = sidecar;
        this.link = new UpstreamLink(time, sidecar);
        this.checksFence = checksFence;
        this.model = newModel();
        time.after(random.nextLong(STATE_EVERY), this::publishState);
    }

    private EngineModel newModel() {
        EngineSpeed speed = new EngineSpeed(
                20_000,
                Durations.nanos(5),
                4_000,
                64,
                512,
                Durations.nanos(2_000),
                Durations.nanos(1_000),
                Durations.nanos(300),
                100_000);
        return EngineModel.idle(speed, checksFence, List.of(MODEL));
    }

    long ordersAccepted() {
        return ordersAccepted;
    }

    UpstreamLink link() {
        return link;
    }

    /** Loses everything in the engine for a while. */
    void crash(long duration) {
        if (crashed) {
            return;
        }
        crashed = true;
        link.reset();
        wake++;
        Map<Long, Connection> broken = new TreeMap<>(connections);
        connections.clear();
        model = newModel();
        broken.values().forEach(connection -> end(connection, Ran.MAY_HAVE_RUN, Cause.CONNECTION_BROKEN, ""));
        time.after(duration, () -> crashed = false);
    }

    void handle(Envelope message) {
        long incarnation = message.getIncarnation();
        switch (message.getBodyCase()) {
            case START_UPSTREAM -> time.after(writeDelay(), () -> start(incarnation, message.getStartUpstream()));
            case CANCEL_UPSTREAM -> {
                long attempt = message.getCancelUpstream().getAttempt();
                cancelled.add(new Connection(incarnation, attempt));
                time.after(writeDelay(), () -> cancel(incarnation, attempt));
            }
            case READ_UPSTREAM ->
                time.after(
                        writeDelay(), () -> sendState(message.getReadUpstream().getToken()));
            case APPLY_ORDER -> apply(incarnation, message.getApplyOrder());
            default -> {
                // Not for an engine.
            }
        }
    }

    private long writeDelay() {
        boolean slow = random.nextInt(200) == 0;
        return SHORTEST_WRITE + random.nextLong(slow ? LONG_WRITE_SPREAD : WRITE_SPREAD);
    }

    private void start(long incarnation, StartUpstream start) {
        Connection connection = new Connection(incarnation, start.getAttempt());
        if (crashed) {
            end(connection, Ran.NOT_RUN, Cause.CONNECT_FAILED, "");
            return;
        }
        long stream = nextStream++;
        connections.put(stream, connection);
        model.start(time.now(), stream, start.getGeneration(), start.getPriority());
        scheduleWake();
    }

    private void cancel(long incarnation, long attempt) {
        connections.entrySet().removeIf(entry -> {
            boolean found = entry.getValue().equals(new Connection(incarnation, attempt));
            if (found) {
                model.cancel(entry.getKey());
            }
            return found;
        });
    }

    /** The sidecar looks at the deadline on its own clock and writes; the write may land later. */
    private void apply(long incarnation, ApplyOrder apply) {
        Order order = apply.getOrder();
        if (sidecar.clock() > apply.getNotAfterNanos()) {
            answer(incarnation, order, false, Cause.ORDER_EXPIRED);
            return;
        }
        long delay = random.nextInt(10) == 0 ? random.nextLong(LONGEST_ORDER_WRITE) : writeDelay();
        time.after(delay, () -> take(incarnation, order));
    }

    private void take(long incarnation, Order order) {
        if (crashed) {
            answer(incarnation, order, false, Cause.CONNECTION_BROKEN);
            return;
        }
        boolean cutsStreams = order.getBody().getKindCase() == OrderBody.KindCase.CHANGE_ROLE
                && connections.values().stream().anyMatch(this::isServing);
        boolean changing = model.state(time.now()).getChanging();
        Cause refusal = model.order(time.now(), order);
        invariants.check(
                !changing,
                "one-order-on-one-engine",
                () -> "order " + order.getNumber() + " came to " + order.getEngine() + " during another");
        if (refusal == Cause.CAUSE_NONE) {
            invariants.check(
                    order.getNumber() > lastAccepted,
                    "old-orders-change-nothing",
                    () -> order.getEngine() + " obeyed order " + order.getNumber() + " after " + lastAccepted);
            invariants.check(
                    !cutsStreams,
                    "no-request-cut-by-a-planned-change",
                    () -> "order " + order.getNumber() + " cut streams on " + order.getEngine());
            lastAccepted = order.getNumber();
            ordersAccepted++;
        }
        answer(incarnation, order, refusal == Cause.CAUSE_NONE, refusal);
        scheduleWake();
    }

    /** Whether a stream still matters: its sidecar lives, and has not cancelled it. */
    private boolean isServing(Connection connection) {
        return sidecar.isAlive()
                && connection.sidecarIncarnation == sidecar.incarnation()
                && !cancelled.contains(connection);
    }

    private void answer(long incarnation, Order order, boolean accepted, Cause cause) {
        OrderApplied applied = OrderApplied.newBuilder()
                .setNumber(order.getNumber())
                .setAccepted(accepted)
                .setCause(cause)
                .build();
        link.send(incarnation, UpstreamLink.NO_ATTEMPT, Envelope.newBuilder().setOrderApplied(applied));
    }

    private void publishState() {
        sendState(0);
        time.after(STATE_EVERY, this::publishState);
    }

    private void sendState(long token) {
        UpstreamState state = crashed ? UpstreamState.getDefaultInstance() : model.state(time.now());
        link.send(
                sidecar.incarnation(),
                UpstreamLink.NO_ATTEMPT,
                Envelope.newBuilder().setUpstreamState(state.toBuilder().setToken(token)));
    }

    private void scheduleWake() {
        long token = ++wake;
        long due = model.nextDue();
        if (due != Core.NEVER) {
            time.at(due, () -> {
                if (token == wake && !crashed) {
                    model.advance(time.now(), this);
                    scheduleWake();
                }
            });
        }
    }

    @Override
    public void tokens(long stream, List<String> tokens) {
        Connection connection = connections.get(stream);
        if (connection == null) {
            return;
        }
        if (connection.sidecarIncarnation != sidecar.incarnation() || !sidecar.isAlive()) {
            connections.remove(stream);
            time.after(0, () -> model.cancel(stream));
            return;
        }
        UpstreamPart part = UpstreamPart.newBuilder()
                .setAttempt(connection.attempt)
                .addAllTokens(tokens)
                .build();
        link.send(
                connection.sidecarIncarnation,
                connection.attempt,
                Envelope.newBuilder().setUpstreamPart(part));
    }

    @Override
    public void finished(long stream, String finishReason) {
        Connection connection = connections.remove(stream);
        if (connection != null) {
            Cause cause = finishReason.equals(EngineModel.MOVED) ? Cause.MOVED : Cause.CAUSE_NONE;
            end(connection, Ran.RAN, cause, finishReason);
        }
    }

    private void end(Connection connection, Ran ran, Cause cause, String finishReason) {
        UpstreamEnd end = UpstreamEnd.newBuilder()
                .setAttempt(connection.attempt)
                .setRan(ran)
                .setCause(cause)
                .setFinishReason(finishReason)
                .build();
        link.send(
                connection.sidecarIncarnation,
                connection.attempt,
                Envelope.newBuilder().setUpstreamEnd(end));
    }
}
