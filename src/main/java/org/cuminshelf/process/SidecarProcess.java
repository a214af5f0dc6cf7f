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

/** A sidecar as it runs: its core, its messages and its upstream. */
public final class SidecarProcess implements ServingProcess {

    private static final int NETWORK_THREADS = 1;

    private final ProcessRuntime frame;
    private final Upstream upstream;

    private SidecarProcess(ProcessRuntime frame, Upstream upstream) {
        this.frame = frame;
        this.upstream = upstream;
    }

    /**
     * Starts a sidecar.
     *
     * @param common     what every process is told
     * @param settings   what a sidecar is told
     * @param base       where the upstream listens
     * @param healthPath path of a plain service that answers below 500 while it is well
     * @return the running sidecar
     * @throws IOException if an address or a file can't be used
     */
    public static SidecarProcess start(CommonSettings common, SidecarSettings settings, URI base, String healthPath)
            throws IOException {
        ProcessRuntime frame = ProcessRuntime.open("sidecar", common, NETWORK_THREADS);
        try {
            CoreRunner runner = frame.run(opened -> SidecarCore.start(
                    settings, opened.incarnation(), System.nanoTime(), opened.random(), opened.invariants()));
            HopSpans hops = new HopSpans(frame.spans(), message -> runner.offer(Address.UPSTREAM, message));
            Upstream upstream = settings.kind() == UpstreamKind.UPSTREAM_ENGINE
                    ? EngineUpstream.watch(base, settings.slots(), hops)
                    : ServiceUpstream.watch(base, healthPath, settings.slots(), hops);
            runner.port(Address.UPSTREAM, message -> upstream.handle(hops.started(message)));
            frame.listen();
            return new SidecarProcess(frame, upstream);
        } catch (IOException e) {
            frame.close();
            throw e;
        }
    }

    /**
     * Bytes and messages to and from other processes.
     *
     * @return the counts
     */
    public org.cuminshelf.network.TrafficCounters traffic() {
        return frame.network().traffic();
    }

    @Override
    public boolean stopGracefully() throws InterruptedException {
        boolean finished = frame.stopGracefully();
        close();
        return finished;
    }

    @Override
    public void close() {
        frame.close();
        upstream.close();
    }

    /** Records the hop from the sidecar to its upstream for each attempt. */
    private static final class HopSpans implements Consumer<Envelope.Builder> {

        private final Spans spans;
        private final Consumer<Envelope.Builder> core;
        private final Map<Long, Span> open = new ConcurrentHashMap<>();

        private HopSpans(Spans spans, Consumer<Envelope.Builder> core) {
            this.spans = spans;
            this.core = core;
        }

        private Envelope started(Envelope message) {
            if (!message.hasStartUpstream()) {
                return message;
            }
            StartUpstream start = message.getStartUpstream();
            String target = start.hasGeneration()
                    ? start.getGeneration().getModel()
                    : start.getExchange().getService();
            Span span = spans.start("sidecar " + target, SpanKind.CLIENT, start.getTraceParent());
            open.put(start.getAttempt(), span);
            String next = Spans.traceParent(span, start.getTraceParent());
            return message.toBuilder()
                    .setStartUpstream(start.toBuilder().setTraceParent(next))
                    .build();
        }

        @Override
        public void accept(Envelope.Builder message) {
            if (message.hasUpstreamEnd()) {
                UpstreamEnd end = message.getUpstreamEnd();
                Span span = open.remove(end.getAttempt());
                if (span != null) {
                    String verdict = Verdict.of(end.getRan(), end.getCause(), 0).label();
                    Spans.end(span, verdict, end.getCause() != Cause.CAUSE_NONE);
                }
            }
            core.accept(message);
        }
    }
}
