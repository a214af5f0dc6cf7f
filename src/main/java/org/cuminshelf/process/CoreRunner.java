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

/** Runs one core on one thread: feeds it what arrives, ticks it when due, and carries out what it sends. */
public final class CoreRunner implements AutoCloseable {

    private static final String LOG = "process: ";
    private static final int MOST_INPUTS_BEFORE_TICK = 256;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(1);
    /** Difference between the clocks' paces that counts as a jump: reading both takes far less. */
    private static final long JUMP_MILLIS = 100;

    private final String name;
    private final Address self;
    private final long incarnation;
    private final Core core;
    private final Network network;
    private final Map<Address, Consumer<Envelope>> ports = new HashMap<>();
    private final LinkedBlockingQueue<Envelope> inputs = new LinkedBlockingQueue<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Optional<TraceFile> trace;
    private final Thread thread;
    private volatile boolean running = true;
    private Runnable secondly = () -> {};
    /** Time of day less monotonic time when last looked at, in milliseconds. */
    private long pacedAt = System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

    private long secondlyAt = System.nanoTime() - NANOS_PER_SECOND;

    private final Outbox outbox = new Outbox() {
        @Override
        public void send(Address to, Envelope.Builder message) {
            deliver(to, message, false);
        }

        @Override
        public void sendOnNewConnection(Address to, Envelope.Builder message) {
            deliver(to, message, true);
        }
    };

    /**
     * Makes a runner; nothing runs before {@link #start()}.
     *
     * @param name        the name of its thread
     * @param self        the own address
     * @param incarnation the incarnation of this process
     * @param core        the core
     * @param network     where messages to other processes go
     * @param trace       where inputs are recorded, if they are
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
        port(Address.PROCESS, message -> stopped.countDown());
    }

    /**
     * Connects a local port. Only before the start.
     *
     * @param port    the port
     * @param handler takes what the core sends there, on the core's thread; it must not block
     */
    public void port(Address port, Consumer<Envelope> handler) {
        ports.put(port, handler);
    }

    /**
     * Runs an action about once a second on the core's thread. Only before the start.
     *
     * @param action the action; it must not block
     */
    public void everySecond(Runnable action) {
        this.secondly = action;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Gives the core a message; may be called from any thread.
     *
     * @param message the message with its sender
     */
    public void offer(Envelope message) {
        inputs.add(message);
    }

    /**
     * Gives the core a message from a local port; may be called from any thread.
     *
     * @param port    the port
     * @param message the message
     */
    public void offer(Address port, Envelope.Builder message) {
        inputs.add(message.setFrom(port.value()).build());
    }

    /**
     * Asks the core to leave and waits until it has finished.
     *
     * @param patience how long to wait at most
     * @param unit     unit of the patience
     * @return whether it finished
     * @throws InterruptedException if the wait is interrupted
     */
    public boolean stopGracefully(long patience, TimeUnit unit) throws InterruptedException {
        offer(Address.PROCESS, Envelope.newBuilder().setStop(Stop.getDefaultInstance()));
        return stopped.await(patience, unit);
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
            Logger.warn(LOG + "The trace of {} can't be closed: {}.", name, e.getMessage());
        }
    }

    private void run() {
        List<Envelope> batch = new ArrayList<>();
        try {
            while (running) {
                batch.clear();
                await(batch);
                noticeClockJump(batch);
                runSecondly();
                step(batch);
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.error(LOG + "The trace of {} can't be written: {}.", name, e.getMessage());
        }
    }

    private void await(List<Envelope> batch) throws InterruptedException {
        long wait = Math.min(LONGEST_WAIT, core.nextDue() - System.nanoTime());
        Envelope first = wait > 0 ? inputs.poll(wait, TimeUnit.NANOSECONDS) : inputs.poll();
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch, MOST_INPUTS_BEFORE_TICK - 1);
        }
    }

    /**
     * Tells the core when the time of day moved against the monotonic clock. Guards against a VM that was suspended:
     * its monotonic clock stood still, so that a lease seems to hold which ended long ago. It is told before anything
     * that arrived since, and before the next tick.
     */
    private void noticeClockJump(List<Envelope> batch) {
        long wall = System.currentTimeMillis();
        long pace = wall - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (Math.abs(pace - pacedAt) > JUMP_MILLIS) {
            batch.addFirst(Envelope.newBuilder()
                    .setFrom(Address.PROCESS.value())
                    .setWallClock(WallClock.newBuilder().setEpochMs(wall).setJumped(true))
                    .build());
        }
        pacedAt = pace;
    }

    private void runSecondly() {
        long now = System.nanoTime();
        if (now - secondlyAt >= NANOS_PER_SECOND) {
            secondlyAt = now;
            secondly.run();
        }
    }

    private void step(List<Envelope> batch) throws IOException {
        long now = System.nanoTime();
        for (Envelope input : batch) {
            record(now, Optional.of(input));
            try {
                core.accept(now, input, outbox);
            } catch (RuntimeException e) {
                Logger.error(e, LOG + "{} could not take a message of kind {}.", name, input.getBodyCase());
            }
        }
        record(now, Optional.empty());
        try {
            core.tick(now, outbox);
        } catch (RuntimeException e) {
            Logger.error(e, LOG + "A tick of {} failed.", name);
        }
    }

    private void record(long now, Optional<Envelope> input) throws IOException {
        if (trace.isEmpty()) {
            return;
        }
        TraceRecord.Builder record = TraceRecord.newBuilder().setNowNanos(now);
        input.ifPresent(record::setInput);
        trace.get().append(record.build());
    }

    private void deliver(Address to, Envelope.Builder message, boolean fresh) {
        Envelope stamped =
                message.setFrom(self.value()).setIncarnation(incarnation).build();
        if (to.isLocal()) {
            Consumer<Envelope> handler = ports.get(to);
            if (handler != null) {
                handler.accept(stamped);
            }
            return;
        }
        network.send(to, stamped, fresh);
    }
}
