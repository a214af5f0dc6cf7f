package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.Envelope;

/** Tests that failures of a core end neither its thread nor the threads that deliver its events. */
class LockedCoreRunnerTest {

    /** More than a core may be ticked without a wait. */
    private static final int MANY_TICKS = 200;

    private static final int MESSAGES = 100;
    /** A caller waits no longer than a small part of a second for the lock, also on a busy machine. */
    private static final long MAX_MESSAGES_MILLIS = 5_000;

    private final FaultyCore core = new FaultyCore();
    private final AtomicInteger everySecondRuns = new AtomicInteger();
    private final LockedCoreRunner runner =
            new LockedCoreRunner(new ReentrantLock(), core, new RecordingOutbox(), this::everySecond);
    private volatile boolean everySecondFails;

    private void everySecond() {
        everySecondRuns.incrementAndGet();
        if (everySecondFails) {
            throw new IllegalStateException("an action that fails in this test");
        }
    }

    @AfterProperty
    void close() {
        runner.close();
    }

    /* Guards against calls that hang without a deadline, retry or queue after one tick of the core has failed. */
    @Example
    void theCoreIsTickedOnAfterATickThatFailed() throws Exception {
        core.failingTicks.set(1);
        runner.start();
        assertThat(core.awaitTicks(3)).isTrue();
    }

    /* Guards against an entry that takes new calls although it can't see to their deadlines. */
    @Example
    void theRunnerIsUnhealthyUntilATickSucceeds() throws Exception {
        core.failingTicks.set(Integer.MAX_VALUE);
        runner.start();
        awaitHealthy(false);
        core.failingTicks.set(0);
        assertThat(core.awaitTicks(1)).isTrue();
        awaitHealthy(true);
        assertThat(runner.failures()).isPositive();
    }

    /* Guards against a core that fails in each tick and keeps the lock and the processor busy. */
    @Example
    void aCoreThatFailsEveryTimeIsTickedAtIntervals() throws Exception {
        core.failingTicks.set(Integer.MAX_VALUE);
        long startNanos = System.nanoTime();
        runner.start();
        for (int message = 0; message < 400; message++) {
            runner.accept(Envelope.getDefaultInstance());
            Thread.sleep(1);
        }
        long failures = runner.failures();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(failures).isBetween(1L, 1 + elapsedMillis / 40);
    }

    /** Guards against new callers for a process whose core has ended with an error that it can't recover from. */
    @Example
    void aRunnerWhoseCoreEndsWithAnErrorIsUnhealthy() throws Exception {
        core.onTick = out -> {
            if (core.ticks.get() == 2) {
                throw new OutOfMemoryError("test");
            }
        };
        runner.start();
        awaitHealthy(false);
    }

    private void awaitHealthy(boolean expected) throws InterruptedException {
        for (int poll = 0; poll < 1_000 && runner.isHealthy() != expected; poll++) {
            Thread.sleep(5);
        }
        assertThat(runner.isHealthy()).isEqualTo(expected);
    }

    /* Guards against calls that hang after a check of the upstreams' connections has failed. */
    @Example
    void theCoreIsTickedOnAfterAFailedActionOfEverySecond() throws Exception {
        everySecondFails = true;
        runner.start();
        assertThat(core.awaitTicks(3)).isTrue();
        assertThat(everySecondRuns.get()).isPositive();
    }

    /* Guards against a tick that is due at once, such as that of a fetch, and runs a second later. */
    @Example
    void aCoreThatIsDueAtOnceIsTickedWithoutAWait() throws Exception {
        core.onTick = out -> core.nextDueNanos = Long.MIN_VALUE;
        runner.start();
        assertThat(core.awaitTicks(20)).isTrue();
    }

    /* Guards against an entry that reads and passes on nothing, as its core is always due and keeps the lock. */
    @Example
    void aCoreThatIsAlwaysDueLetsMessagesIn() throws Exception {
        core.onTick = out -> core.nextDueNanos = Long.MIN_VALUE;
        runner.start();
        assertThat(core.awaitTicks(MANY_TICKS)).isTrue();
        long startNanos = System.nanoTime();
        for (int message = 0; message < MESSAGES; message++) {
            runner.accept(Envelope.getDefaultInstance());
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(core.messages.get()).isEqualTo(MESSAGES);
        assertThat(elapsedMillis).isLessThan(MAX_MESSAGES_MILLIS);
    }

    /* Guards against the processor being used up by a core that is always due. */
    @Example
    void aCoreThatIsAlwaysDueIsTickedAtIntervalsAndCounted() throws Exception {
        core.onTick = out -> core.nextDueNanos = Long.MIN_VALUE;
        runner.start();
        assertThat(core.awaitTicks(MANY_TICKS)).isTrue();
        int before = core.ticks.get();
        long startNanos = System.nanoTime();
        Thread.sleep(500);
        int ticks = core.ticks.get() - before;
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(ticks).isLessThanOrEqualTo((int) elapsedMillis + 1);
        assertThat(runner.alwaysDueCount()).isEqualTo(1);
    }

    /* Guards against a broken connection to control whenever the core can't process one of its messages. */
    @Example
    void aMessageThatCannotBeProcessedDoesNotFailItsSender() {
        core.failingMessages.set(1);
        assertThatCode(() -> runner.accept(Envelope.getDefaultInstance())).doesNotThrowAnyException();
        runner.accept(Envelope.getDefaultInstance());
        assertThat(core.messages.get()).isEqualTo(1);
    }
}
