package org.cuminshelf.process;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.sidecar.SidecarCore;
import org.cuminshelf.sidecar.SidecarSettings;
import org.cuminshelf.spans.Spans;
import org.cuminshelf.upstream.EngineUpstream;
import org.cuminshelf.upstream.ServiceUpstream;
import org.cuminshelf.upstream.Upstream;
import org.cuminshelf.verdict.Verdict;

/** A running sidecar: the core, its network and the connection to its upstream. */
public final class SidecarProcess implements ServingProcess {

    private static final int NETWORK_THREADS = 1;

    private final ProcessRuntime runtime;
    private final Upstream upstream;

    private SidecarProcess(ProcessRuntime runtime, Upstream upstream) {
        this.runtime = runtime;
        this.upstream = upstream;
    }

    /**
     * Starts a sidecar.
     *
     * @param common      the common settings
     * @param settings    the settings of a sidecar
     * @param upstreamUri base URI of the upstream
     * @param healthPath  health check path of an upstream that isn't an engine; healthy if the status is below 500
     * @return the running sidecar
     * @throws IOException if an address or a file cannot be used
     */
    public static SidecarProcess start(
            CommonSettings common, SidecarSettings settings, URI upstreamUri, String healthPath) throws IOException {
        ProcessRuntime runtime = ProcessRuntime.open("sidecar", common, NETWORK_THREADS);
        try {
            CoreRunner runner = runtime.createRunner(opened -> SidecarCore.start(
                    settings, opened.incarnation(), System.nanoTime(), opened.random(), opened.invariants()));
            UpstreamSpans upstreamSpans =
                    new UpstreamSpans(runtime.spans(), message -> runner.offer(Address.UPSTREAM, message));
            Upstream upstream = settings.kind() == UpstreamKind.UPSTREAM_ENGINE
                    ? EngineUpstream.start(upstreamUri, settings.slots(), upstreamSpans)
                    : ServiceUpstream.start(upstreamUri, healthPath, settings.slots(), upstreamSpans);
            runner.registerPort(Address.UPSTREAM, message -> upstream.handle(upstreamSpans.startSpan(message)));
            runtime.start();
            return new SidecarProcess(runtime, upstream);
        } catch (IOException e) {
            runtime.close();
            throw e;
        }
    }

    /**
     * Returns the counters of messages and bytes exchanged with other processes.
     *
     * @return the counters
     */
    public org.cuminshelf.network.TrafficCounters traffic() {
        return runtime.network().traffic();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = runtime.stopGracefully();
        close();
        return finished;
    }

    @Override
    public void close() {
        runtime.close();
        upstream.close();
    }

    /** Records a client span from the sidecar to its upstream for each attempt. */
    private static final class UpstreamSpans implements Consumer<Envelope.Builder> {

        private final Spans spans;
        private final Consumer<Envelope.Builder> core;
        private final Map<Long, Span> openSpans = new ConcurrentHashMap<>();

        private UpstreamSpans(Spans spans, Consumer<Envelope.Builder> core) {
            this.spans = spans;
            this.core = core;
        }

        private Envelope startSpan(Envelope message) {
            if (!message.hasStartUpstream()) {
                return message;
            }
            StartUpstream start = message.getStartUpstream();
            String targetName = start.hasGeneration()
                    ? start.getGeneration().getModel()
                    : start.getExchange().getService();
            Span span = spans.start("sidecar " + targetName, SpanKind.CLIENT, start.getTraceParent());
            openSpans.put(start.getAttempt(), span);
            String traceParent = Spans.traceParent(span, start.getTraceParent());
            return message.toBuilder()
                    .setStartUpstream(start.toBuilder().setTraceParent(traceParent))
                    .build();
        }

        @Override
        public void accept(Envelope.Builder message) {
            if (message.hasUpstreamEnd()) {
                UpstreamEnd end = message.getUpstreamEnd();
                Span span = openSpans.remove(end.getAttempt());
                if (span != null) {
                    String verdict = Verdict.of(end.getRan(), end.getCause(), 0).label();
                    Spans.end(span, verdict, end.getCause() != Cause.CAUSE_NONE);
                }
            }
            core.accept(message);
        }
    }
}
