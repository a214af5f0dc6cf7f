package org.cuminshelf.spans;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Starts and ends the spans of a process; the trace context crosses hops in the W3C {@code traceparent} form. */
public final class Spans implements AutoCloseable {

    private static final int PARTS_OF_TRACE_PARENT = 4;
    private static final long CLOSE_SECONDS = 2;

    private final Optional<SdkTracerProvider> provider;
    private final Tracer tracer;

    private Spans(Optional<SdkTracerProvider> provider) {
        this.provider = provider;
        this.tracer = provider.map(made -> made.get("cuminshelf"))
                .orElseGet(
                        () -> io.opentelemetry.api.trace.TracerProvider.noop().get("cuminshelf"));
    }

    /**
     * Spans that go nowhere.
     *
     * @return the spans
     */
    public static Spans none() {
        return new Spans(Optional.empty());
    }

    /**
     * Spans that are exported.
     *
     * @param service  the name of the process in traces
     * @param file     file to which spans are appended, a line of JSON each
     * @param endpoint OTLP endpoint over HTTP, such as {@code http://127.0.0.1:4318/v1/traces}
     * @return the spans
     * @throws IOException if the file can't be written
     */
    public static Spans export(String service, Optional<Path> file, Optional<String> endpoint) throws IOException {
        if (file.isEmpty() && endpoint.isEmpty()) {
            return none();
        }
        Resource resource =
                Resource.getDefault().toBuilder().put("service.name", service).build();
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder().setResource(resource);
        if (file.isPresent()) {
            builder.addSpanProcessor(BatchSpanProcessor.builder(FileSpanExporter.open(service, file.get()))
                    .setScheduleDelay(200, TimeUnit.MILLISECONDS)
                    .build());
        }
        endpoint.ifPresent(url -> builder.addSpanProcessor(BatchSpanProcessor.builder(
                        OtlpHttpSpanExporter.builder().setEndpoint(url).build())
                .build()));
        return new Spans(Optional.of(builder.build()));
    }

    /**
     * Starts a span.
     *
     * @param name        what is done
     * @param kind        the side of the hop
     * @param traceParent the context it belongs to, or empty for a new trace
     * @return the span
     */
    public Span start(String name, SpanKind kind, String traceParent) {
        return tracer.spanBuilder(name)
                .setSpanKind(kind)
                .setParent(parent(traceParent))
                .startSpan();
    }

    /**
     * Ends a span with the word of its verdict.
     *
     * @param span    the span
     * @param verdict the word
     * @param failed  whether the hop failed
     */
    public static void end(Span span, String verdict, boolean failed) {
        span.setAttribute("cuminshelf.verdict", verdict);
        if (failed) {
            span.setStatus(StatusCode.ERROR);
        }
        span.end();
    }

    /**
     * The context of a span as the next hop takes it.
     *
     * @param span     the span
     * @param received the context received, passed on where no spans are recorded
     * @return a {@code traceparent}, or empty
     */
    public static String traceParent(Span span, String received) {
        SpanContext context = span.getSpanContext();
        if (!context.isValid()) {
            return received;
        }
        return "00-" + context.getTraceId() + "-" + context.getSpanId() + "-"
                + context.getTraceFlags().asHex();
    }

    @Override
    public void close() {
        provider.ifPresent(made -> made.shutdown().join(CLOSE_SECONDS, TimeUnit.SECONDS));
    }

    private static Context parent(String traceParent) {
        String[] parts = traceParent.split("-");
        if (parts.length < PARTS_OF_TRACE_PARENT) {
            return Context.root();
        }
        SpanContext context = SpanContext.createFromRemoteParent(
                parts[1], parts[2], TraceFlags.fromHex(parts[3], 0), TraceState.getDefault());
        return context.isValid() ? Context.root().with(Span.wrap(context)) : Context.root();
    }
}
