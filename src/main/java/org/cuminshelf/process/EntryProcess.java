package org.cuminshelf.process;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.entry.EntryCore;
import org.cuminshelf.entry.EntrySettings;
import org.cuminshelf.http.CallMetrics;
import org.cuminshelf.http.CallerApiHandler;
import org.cuminshelf.http.HttpListener;
import org.cuminshelf.http.MonitoringHandler;
import org.cuminshelf.http.PemFiles;
import org.eclipse.jetty.server.Handler;

/** An entry as it runs: its core, its messages and its callers' interface. */
public final class EntryProcess implements ServingProcess {

    private static final int NETWORK_THREADS = 2;
    private static final int HTTP_THREADS = 16;

    private final ProcessRuntime frame;
    private final HttpListener http;

    private EntryProcess(ProcessRuntime frame, HttpListener http) {
        this.frame = frame;
        this.http = http;
    }

    /**
     * Starts an entry.
     *
     * @param common   what every process is told
     * @param settings what an entry is told
     * @param callers  the address of the callers' interface; port 0 takes a free one
     * @param tls      PEM files for HTTPS, or nothing for HTTP
     * @return the running entry
     * @throws IOException if an address or a file can't be used
     */
    public static EntryProcess start(
            CommonSettings common, EntrySettings settings, Address callers, Optional<PemFiles> tls) throws IOException {
        ProcessRuntime frame = ProcessRuntime.open("entry", common, NETWORK_THREADS);
        try {
            EntryCore core = EntryCore.start(
                    settings, common.listen(), frame.incarnation(), System.nanoTime(), frame.invariants());
            CoreRunner runner = frame.run(opened -> core);
            PrometheusRegistry registry = new PrometheusRegistry();
            describe(registry, core, frame);
            CallerApiHandler handler = new CallerApiHandler(
                    message -> runner.offer(Address.CALLERS, message),
                    core::config,
                    frame.spans(),
                    CallMetrics.register(registry));
            runner.port(Address.CALLERS, handler::deliver);
            frame.listen();
            Handler handlers = new Handler.Sequence(new MonitoringHandler(core::isReady, registry), handler);
            return new EntryProcess(frame, HttpListener.start(callers, HTTP_THREADS, handlers, tls));
        } catch (IOException e) {
            frame.close();
            throw e;
        }
    }

    private static void describe(PrometheusRegistry registry, EntryCore core, ProcessRuntime frame) {
        gauge(registry, "cuminshelf_config_version", "Version of the configuration in force.", core::configVersion);
        gauge(registry, "cuminshelf_invariant_breach_count", "Promises found broken.", frame.invariants()::count);
        gauge(
                registry,
                "cuminshelf_message_bytes_sent",
                "Bytes sent to other processes.",
                frame.network().traffic()::bytesSent);
        gauge(
                registry,
                "cuminshelf_message_bytes_received",
                "Bytes received from other processes.",
                frame.network().traffic()::bytesReceived);
    }

    static void gauge(PrometheusRegistry registry, String name, String help, java.util.function.LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsLong()))
                .register(registry);
    }

    /**
     * The port of the callers' interface.
     *
     * @return the port
     */
    public int port() {
        return http.port();
    }

    /**
     * Bytes and messages to and from other processes.
     *
     * @return the counts
     */
    public org.cuminshelf.network.TrafficCounters traffic() {
        return frame.network().traffic();
    }

    /**
     * Counts the promises found broken.
     *
     * @return their number
     */
    public long invariantBreaches() {
        return frame.invariants().count();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = frame.stopGracefully();
        close();
        return finished;
    }

    @Override
    public void close() {
        http.close();
        frame.close();
    }
}
