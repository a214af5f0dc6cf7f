package org.cuminshelf.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.TraceFile;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Stopped;

/** Tests that failures around a core do not end its thread. */
class CoreRunnerTest {

    /** A device on which each write fails as on a full disk. */
    private static final Path FULL_DISK = Path.of("/dev/full");

    private static final int RECORDS_BEYOND_THE_BUFFER = 4_000;

    private final FaultyCore core = new FaultyCore();

    private CoreRunner runner(Optional<TraceFile> trace) {
        return new CoreRunner("core", Address.of("127.0.0.1:1"), 1, core, (to, message, fresh) -> {}, trace);
    }

    /* Guards against a tick that fails half-way, and again and again, because one response can't be written. */
    @Example
    void aPortThatFailsDoesNotInterruptTheTickThatSentToIt() throws Exception {
        AtomicInteger completedTicks = new AtomicInteger();
        core.onTick = out -> {
            out.send(Address.CALLERS, Envelope.newBuilder().setStopped(Stopped.getDefaultInstance()));
            completedTicks.incrementAndGet();
        };
        try (CoreRunner runner = runner(Optional.empty())) {
            runner.registerPort(Address.CALLERS, message -> {
                throw new IllegalStateException("a port that fails in this test");
            });
            runner.start();
            assertThat(core.awaitTicks(3)).isTrue();
            assertThat(completedTicks.get()).isPositive();
        }
    }

    /* Guards against calls that hang because the regular check of a process, such as its metrics, has failed. */
    @Example
    void theCoreIsTickedOnAfterAFailedActionOfEverySecond() throws Exception {
        try (CoreRunner runner = runner(Optional.empty())) {
            runner.runEverySecond(() -> {
                throw new IllegalStateException("an action that fails in this test");
            });
            runner.start();
            assertThat(core.awaitTicks(3)).isTrue();
        }
    }

    /* Guards against a tick that is due at once, such as that of a fetch, and runs a second later. */
    @Example
    void aCoreThatIsDueAtOnceIsTickedWithoutAWait() throws Exception {
        core.onTick = out -> core.nextDueNanos = Long.MIN_VALUE;
        try (CoreRunner runner = runner(Optional.empty())) {
            runner.start();
            assertThat(core.awaitTicks(20)).isTrue();
        }
    }

    /* Guards against calls that hang because the disk with the trace of the core's inputs is full. */
    @Example
    void theCoreRunsOnWithoutATraceOnceTheTraceCannotBeWritten() throws Exception {
        core.onTick = out -> core.nextDueNanos = Long.MIN_VALUE;
        try (CoreRunner runner = runner(Optional.of(TraceFile.write(FULL_DISK)))) {
            runner.start();
            assertThat(core.awaitTicks(RECORDS_BEYOND_THE_BUFFER)).isTrue();
            assertThat(runner.stopGracefully(1, TimeUnit.MILLISECONDS)).isFalse();
        }
    }
}
