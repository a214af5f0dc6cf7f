package org.cuminshelf.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.core.TraceFile;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stop;
import org.cuminshelf.message.TraceRecord;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.network.Network;
import org.tinylog.Logger;

/**
 * Runs a core on a single thread: passes incoming messages to it, ticks it when it is due and at least once a second,
 * and sends the messages that it emits to local ports or to other processes.
 */
public final class CoreRunner implements AutoCloseable {

    private static final String LOG = "process: ";
    private static final int MAX_INPUTS_PER_TICK = 256;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Change of the offset between wall clock and monotonic clock that counts as a jump; reading both clocks takes far
     * less.
     */
    private static final long CLOCK_JUMP_THRESHOLD_MILLIS = 100;

    private final String name;
    private final Address self;
    private final long incarnation;
    private final Core core;
    private final Network network;
    private final Map<Address, Consumer<Envelope>> portHandlers = new HashMap<>();
    private final LinkedBlockingQueue<Envelope> inputs = new LinkedBlockingQueue<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Optional<TraceFile> trace;
    private final Thread thread;
    private volatile boolean running = true;
    private Runnable everySecondAction = () -> {};
    /** Wall clock minus monotonic clock at the last check, in milliseconds. */
    private long clockOffsetMillis = System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

    private long lastEverySecondNanos = System.nanoTime() - NANOS_PER_SECOND;

    private final Outbox outbox = new Outbox() {
        @Override
        public void send(Address to, Envelope.Builder message) {
            dispatch(to, message, false);
        }

        @Override
        public void sendOnNewConnection(Address to, Envelope.Builder message) {
            dispatch(to, message, true);
        }
    };

    /**
     * Creates a runner, which is idle until {@link #start()}.
     *
     * @param name        name of the thread
     * @param self        address of this process, the sender of its messages
     * @param incarnation the incarnation of this process
     * @param core        the core to run
     * @param network     sends messages to other processes
     * @param trace       records the inputs of the core, or empty to record nothing
     */
    public CoreRunner(
            String name, Address self, long incarnation, Core core, Network network, Optional<TraceFile> trace) {
        this.name = name;
        this.self = self;
        this.incarnation = incarnation;
        this.core = core;
        this.network = network;
        this.trace = trace;
        this.thread = new Thread(this::run, name);
        registerPort(Address.PROCESS, message -> stopped.countDown());
    }

    /**
     * Registers the handler of a local port. Must be called before {@link #start()}.
     *
     * @param port    the local port
     * @param handler receives the messages that the core sends to the port, on the core's thread; must not block
     */
    public void registerPort(Address port, Consumer<Envelope> handler) {
        portHandlers.put(port, handler);
    }

    /**
     * Sets an action that runs about once a second on the core's thread. Must be called before {@link #start()}.
     *
     * @param action the action; must not block
     */
    public void runEverySecond(Runnable action) {
        this.everySecondAction = action;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Queues a message for the core. May be called from any thread.
     *
     * @param message the message, including its sender
     */
    public void offer(Envelope message) {
        inputs.add(message);
    }

    /**
     * Queues a message from a local port for the core. May be called from any thread.
     *
     * @param port    the local port, set as the sender
     * @param message the message without its sender
     */
    public void offer(Address port, Envelope.Builder message) {
        inputs.add(message.setFrom(port.value()).build());
    }

    /**
     * Tells the core to stop gracefully and waits until it has finished its work.
     *
     * @param timeout the maximum time to wait
     * @param unit    unit of the timeout
     * @return whether the core finished within the timeout
     * @throws InterruptedException if the wait is interrupted
     */
    public boolean stopGracefully(long timeout, TimeUnit unit) throws InterruptedException {
        offer(Address.PROCESS, Envelope.newBuilder().setStop(Stop.getDefaultInstance()));
        return stopped.await(timeout, unit);
    }

    @Override
    public void close() {
        running = false;
        thread.interrupt();
        try {
            thread.join(TimeUnit.SECONDS.toMillis(2));
            if (trace.isPresent()) {
                trace.get().close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.warn(LOG + "Failed to close the trace file of {}: {}.", name, e.getMessage());
        }
    }

    private void run() {
        List<Envelope> batch = new ArrayList<>();
        try {
            while (running) {
                batch.clear();
                pollInputs(batch);
                detectClockJump(batch);
                runEverySecondAction();
                step(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pollInputs(List<Envelope> batch) throws InterruptedException {
        long wait = Math.min(MAX_WAIT_NANOS, core.nanosUntilDue(System.nanoTime()));
        Envelope first = wait > 0 ? inputs.poll(wait, TimeUnit.NANOSECONDS) : inputs.poll();
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch, MAX_INPUTS_PER_TICK - 1);
        }
    }

    /**
     * Notifies the core when the wall clock moved relative to the monotonic clock. Guards against suspension of the VM:
     * the monotonic clock stops, so an expired lease still seems valid. The notification precedes all other inputs of
     * the batch and the next tick.
     */
    private void detectClockJump(List<Envelope> batch) {
        long wallMillis = System.currentTimeMillis();
        long currentOffsetMillis = wallMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (Math.abs(currentOffsetMillis - clockOffsetMillis) > CLOCK_JUMP_THRESHOLD_MILLIS) {
            batch.addFirst(Envelope.newBuilder()
                    .setFrom(Address.PROCESS.value())
                    .setWallClock(WallClock.newBuilder().setEpochMs(wallMillis).setJumped(true))
                    .build());
        }
        clockOffsetMillis = currentOffsetMillis;
    }

    private void runEverySecondAction() {
        long now = System.nanoTime();
        if (now - lastEverySecondNanos >= NANOS_PER_SECOND) {
            lastEverySecondNanos = now;
            try {
                everySecondAction.run();
            } catch (RuntimeException | StackOverflowError e) {
                Logger.error(e, LOG + "{} failed in the action of every second.", name);
            }
        }
    }

    private void step(List<Envelope> batch) {
        long now = System.nanoTime();
        for (Envelope input : batch) {
            record(now, Optional.of(input));
            try {
                core.accept(now, input, outbox);
            } catch (RuntimeException | StackOverflowError e) {
                Logger.error(e, LOG + "{} failed to process a message of kind {}.", name, input.getBodyCase());
            }
        }
        record(now, Optional.empty());
        try {
            core.tick(now, outbox);
        } catch (RuntimeException | StackOverflowError e) {
            Logger.error(e, LOG + "{} failed in a tick.", name);
        }
    }

    /** Records an input; the core runs on without a trace once that cannot be written. */
    private void record(long now, Optional<Envelope> input) {
        if (trace.isEmpty()) {
            return;
        }
        TraceRecord.Builder record = TraceRecord.newBuilder().setNowNanos(now);
        input.ifPresent(record::setInput);
        try {
            trace.get().append(record.build());
        } catch (IOException e) {
            Logger.error(LOG + "Failed to write the trace file of {}; it records no more: {}.", name, e.getMessage());
            trace = Optional.empty();
        }
    }

    private void dispatch(Address to, Envelope.Builder message, boolean freshConnection) {
        Envelope outgoing =
                message.setFrom(self.value()).setIncarnation(incarnation).build();
        if (to.isLocal()) {
            deliver(to, outgoing);
            return;
        }
        network.send(to, outgoing, freshConnection);
    }

    /** Passes a message to a local port, whose failure must not break off the tick that sent it. */
    private void deliver(Address port, Envelope message) {
        Consumer<Envelope> handler = portHandlers.get(port);
        if (handler == null) {
            return;
        }
        try {
            handler.accept(message);
        } catch (RuntimeException | StackOverflowError e) {
            Logger.error(e, LOG + "{} failed to deliver a message of kind {}.", name, message.getBodyCase());
        }
    }
}
