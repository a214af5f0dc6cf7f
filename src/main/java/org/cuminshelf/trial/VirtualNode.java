package org.cuminshelf.trial;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.InvariantViolation;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;

/** A process in virtual time: one core with its own clock, which can be killed, paused, suspended and run late. */
final class VirtualNode implements Outbox {

    private static final long SHORTEST_STEP = 10_000;
    private static final int MOST_IDLE_STEPS = 50;

    /** Makes the core of a new incarnation. */
    interface Boot {
        Core start(VirtualNode node, long localNow);
    }

    /** How late a process handles its input: messages, calls and timers alike. */
    interface Lateness {
        /** Time until it handles what has arrived by then. */
        long nextGapNanos();

        /** Whether its timers run before that input. */
        boolean runsTimersFirst();
    }

    private final Address address;
    private final VirtualTime time;
    private final VirtualNetwork network;
    private final Boot boot;
    private final double clockRate;
    private final Map<Address, Consumer<Envelope>> ports = new HashMap<>();
    private final Deque<Envelope> backlog = new ArrayDeque<>();
    private final List<Runnable> onKill = new ArrayList<>();
    private final List<Runnable> lateInputs = new ArrayList<>();
    private Optional<Lateness> lateness = Optional.empty();
    private Core core;
    private long incarnation;
    private boolean alive;
    private boolean paused;
    private long stoppedClock;
    private long wake;
    private int idleSteps;

    VirtualNode(Address address, VirtualTime time, VirtualNetwork network, Boot boot, double clockRate) {
        this.address = address;
        this.time = time;
        this.network = network;
        this.boot = boot;
        this.clockRate = clockRate;
    }

    Address address() {
        return address;
    }

    long incarnation() {
        return incarnation;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isPaused() {
        return paused;
    }

    /** The core of the present incarnation, if it is of a kind. */
    <C extends Core> Optional<C> core(Class<C> kind) {
        return alive && kind.isInstance(core) ? Optional.of(kind.cast(core)) : Optional.empty();
    }

    void port(Address port, Consumer<Envelope> handler) {
        ports.put(port, handler);
    }

    void onKill(Runnable action) {
        onKill.add(action);
    }

    void start() {
        incarnation++;
        alive = true;
        paused = false;
        core = boot.start(this, localNow());
        step(Optional.empty());
    }

    void startIfDead() {
        if (!alive) {
            start();
        }
    }

    void kill() {
        if (alive) {
            alive = false;
            paused = false;
            backlog.clear();
            lateInputs.clear();
            wake++;
            onKill.forEach(Runnable::run);
        }
    }

    /** Stops the process for a while; where its whole VM is suspended its clock stops too. */
    void pause(long duration, boolean withClock) {
        if (!alive || paused) {
            return;
        }
        paused = true;
        wake++;
        long pausedIncarnation = incarnation;
        time.after(duration, () -> {
            if (withClock) {
                stoppedClock += duration;
            }
            if (alive && incarnation == pausedIncarnation) {
                paused = false;
                resume();
            }
        });
    }

    /** Handles its input late from now on, over restarts too. */
    void runLate(Lateness how) {
        lateness = Optional.of(how);
        if (alive && !paused) {
            scheduleLateStep();
        }
    }

    /** Handles its input as it arrives again. */
    void runOnTime() {
        lateness = Optional.empty();
        if (alive && !paused) {
            lateStep();
        }
    }

    /** Keeps input that is not a message until a process that runs late handles it; returns whether it runs late. */
    boolean defer(Runnable input) {
        return lateness.isPresent() && lateInputs.add(input);
    }

    private void scheduleLateStep() {
        long token = ++wake;
        time.after(lateness.orElseThrow().nextGapNanos(), () -> {
            if (alive && !paused && wake == token) {
                lateStep();
            }
        });
    }

    private void lateStep() {
        List<Runnable> inputs = List.copyOf(lateInputs);
        lateInputs.clear();
        if (lateness.filter(Lateness::runsTimersFirst).isPresent()) {
            core.tick(localNow(), this);
        }
        inputs.forEach(Runnable::run);
        step(Optional.empty());
    }

    private void resume() {
        List<Envelope> waiting = List.copyOf(backlog);
        backlog.clear();
        waiting.forEach(message -> step(Optional.of(message)));
        step(Optional.empty());
    }

    void deliver(Envelope message) {
        if (!alive) {
            return;
        }
        if (paused) {
            backlog.add(message);
            return;
        }
        if (defer(() -> core.accept(localNow(), message, this))) {
            return;
        }
        step(Optional.of(message));
    }

    /** Delivers a local message to one incarnation only. */
    void deliverLocal(long toIncarnation, Address port, Envelope.Builder message) {
        if (toIncarnation == incarnation) {
            deliver(message.setFrom(port.value()).build());
        }
    }

    private void step(Optional<Envelope> input) {
        long now = localNow();
        input.ifPresent(message -> core.accept(now, message, this));
        core.tick(now, this);
        if (alive) {
            scheduleWake(now);
        }
    }

    private void scheduleWake(long now) {
        if (lateness.isPresent()) {
            scheduleLateStep();
            return;
        }
        long due = core.nextDue();
        long token = ++wake;
        if (due == Core.NEVER) {
            return;
        }
        idleSteps = due <= now ? idleSteps + 1 : 0;
        if (idleSteps > MOST_IDLE_STEPS) {
            throw new InvariantViolation("no-busy-loop", address + " is due at once, time and again");
        }
        long delay = Math.max(SHORTEST_STEP, (long) Math.ceil((due - now) / clockRate));
        time.after(delay, () -> {
            if (alive && !paused && wake == token) {
                step(Optional.empty());
            }
        });
    }

    private long localNow() {
        return (long) (time.now() * clockRate) - stoppedClock + 1_000_000_000L;
    }

    /** This node's clock now. */
    long clock() {
        return localNow();
    }

    @Override
    public void send(Address to, Envelope.Builder message) {
        deliver(to, message, false);
    }

    @Override
    public void sendOnNewConnection(Address to, Envelope.Builder message) {
        deliver(to, message, true);
    }

    private void deliver(Address to, Envelope.Builder message, boolean fresh) {
        Envelope stamped =
                message.setFrom(address.value()).setIncarnation(incarnation).build();
        if (to.isLocal()) {
            Consumer<Envelope> handler = ports.get(to);
            if (handler != null) {
                handler.accept(stamped);
            }
        } else {
            network.send(address, to, stamped, fresh);
        }
    }
}
