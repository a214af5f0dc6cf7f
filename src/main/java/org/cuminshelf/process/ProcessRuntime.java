package org.cuminshelf.process;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.TraceFile;
import org.cuminshelf.network.TcpNetwork;
import org.cuminshelf.spans.Spans;
import org.tinylog.Logger;

/** The parts that every process with a core of its own has: network, core thread, spans and graceful stop. */
final class ProcessRuntime implements AutoCloseable {

    private static final String LOG = "process: ";

    private final String kind;
    private final CommonSettings settings;
    private final TcpNetwork network;
    private final Spans spans;
    private final CountingInvariants invariants = CountingInvariants.create();
    private final long incarnation;
    private final UniformRandomProvider random;
    private CoreRunner runner;

    private ProcessRuntime(String kind, CommonSettings settings, TcpNetwork network, Spans spans) {
        this.kind = kind;
        this.settings = settings;
        this.network = network;
        this.spans = spans;
        // Starts of the same process are at least milliseconds apart; the random bits cover a clock that
        // was set back.
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.incarnation = System.currentTimeMillis() << 20 | random.nextInt(1 << 20);
    }

    static ProcessRuntime open(String kind, CommonSettings settings, int networkThreads) throws IOException {
        Spans spans = Spans.export(kind + " " + settings.vm(), settings.spanFile(), settings.otlpEndpoint());
        return new ProcessRuntime(kind, settings, TcpNetwork.open(networkThreads, settings.meshTls()), spans);
    }

    CountingInvariants invariants() {
        return invariants;
    }

    long incarnation() {
        return incarnation;
    }

    UniformRandomProvider random() {
        return random;
    }

    Spans spans() {
        return spans;
    }

    TcpNetwork network() {
        return network;
    }

    CoreRunner runner() {
        return runner;
    }

    CoreRunner createRunner(Function<ProcessRuntime, Core> core) throws IOException {
        Optional<TraceFile> trace = settings.traceFile().isPresent()
                ? Optional.of(TraceFile.write(settings.traceFile().get()))
                : Optional.empty();
        runner = new CoreRunner(kind, settings.listen(), incarnation, core.apply(this), network, trace);
        return runner;
    }

    void start() throws IOException {
        network.listen(settings.listen(), runner::offer);
        runner.start();
        Logger.info(LOG + "{} {} is listening on {}.", kind, settings.vm(), settings.listen());
    }

    /** Stops the core gracefully; returns whether it finished its work within the grace period. */
    boolean stopGracefully() throws InterruptedException {
        Logger.info(LOG + "{} {} is stopping gracefully.", kind, settings.vm());
        boolean finished = runner.stopGracefully(settings.graceMillis(), TimeUnit.MILLISECONDS);
        Logger.info(LOG + "{} {} has {}.", kind, settings.vm(), finished ? "finished" : "exceeded the grace period");
        return finished;
    }

    @Override
    public void close() {
        if (runner != null) {
            runner.close();
        }
        network.close();
        spans.close();
    }
}
