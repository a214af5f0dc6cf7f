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

/** A running entry: the core, its network and the HTTP interface for callers. */
public final class EntryProcess implements ServingProcess {

    private static final int NETWORK_THREADS = 2;
    private static final int HTTP_THREADS = 16;

    private final ProcessRuntime runtime;
    private final HttpListener http;

    private EntryProcess(ProcessRuntime runtime, HttpListener http) {
        this.runtime = runtime;
        this.http = http;
    }

    /**
     * Starts an entry.
     *
     * @param common        the common settings
     * @param settings      the settings of an entry
     * @param callerAddress address of the caller interface; port 0 selects a free port
     * @param tls           PEM files for HTTPS, or empty for HTTP
     * @return the running entry
     * @throws IOException if an address or a file cannot be used
     */
    public static EntryProcess start(
            CommonSettings common, EntrySettings settings, Address callerAddress, Optional<PemFiles> tls)
            throws IOException {
        ProcessRuntime runtime = ProcessRuntime.open("entry", common, NETWORK_THREADS);
        try {
            EntryCore core = EntryCore.start(
                    settings, common.listen(), runtime.incarnation(), System.nanoTime(), runtime.invariants());
            CoreRunner runner = runtime.createRunner(opened -> core);
            PrometheusRegistry registry = new PrometheusRegistry();
            registerGauges(registry, core, runtime);
            CallerApiHandler handler = new CallerApiHandler(
                    message -> runner.offer(Address.CALLERS, message),
                    core::config,
                    runtime.spans(),
                    CallMetrics.register(registry));
            runner.registerPort(Address.CALLERS, handler::deliver);
            runtime.start();
            Handler handlers = new Handler.Sequence(new MonitoringHandler(core::isReady, registry), handler);
            return new EntryProcess(runtime, HttpListener.start(callerAddress, HTTP_THREADS, handlers, tls));
        } catch (IOException e) {
            runtime.close();
            throw e;
        }
    }

    private static void registerGauges(PrometheusRegistry registry, EntryCore core, ProcessRuntime runtime) {
        registerGauge(
                registry, "cuminshelf_config_version", "Version of the configuration in force.", core::configVersion);
        registerGauge(
                registry,
                "cuminshelf_invariant_breach_count",
                "Invariant violations detected.",
                runtime.invariants()::count);
        registerGauge(
                registry,
                "cuminshelf_message_bytes_sent",
                "Bytes sent to other processes.",
                runtime.network().traffic()::bytesSent);
        registerGauge(
                registry,
                "cuminshelf_message_bytes_received",
                "Bytes received from other processes.",
                runtime.network().traffic()::bytesReceived);
    }

    static void registerGauge(
            PrometheusRegistry registry, String name, String help, java.util.function.LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsLong()))
                .register(registry);
    }

    /**
     * Returns the TCP port of the caller interface.
     *
     * @return the port
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the counters of messages and bytes exchanged with other processes.
     *
     * @return the counters
     */
    public org.cuminshelf.network.TrafficCounters traffic() {
        return runtime.network().traffic();
    }

    /**
     * Returns the number of invariant violations detected since the start.
     *
     * @return the number of violations
     */
    public long invariantBreaches() {
        return runtime.invariants().count();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = runtime.stopGracefully();
        close();
        return finished;
    }

    @Override
    public void close() {
        http.close();
        runtime.close();
    }
}
