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

/** Starts and ends the spans of a process; the trace context is propagated as a W3C {@code traceparent}. */
public final class Spans implements AutoCloseable {

    private static final int TRACE_PARENT_FIELDS = 4;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final Optional<SdkTracerProvider> provider;
    private final Tracer tracer;

    private Spans(Optional<SdkTracerProvider> provider) {
        this.provider = provider;
        this.tracer = provider.map(tracerProvider -> tracerProvider.get("cuminshelf"))
                .orElseGet(
                        () -> io.opentelemetry.api.trace.TracerProvider.noop().get("cuminshelf"));
    }

    /**
     * Returns spans that are not recorded.
     *
     * @return the spans
     */
    public static Spans none() {
        return new Spans(Optional.empty());
    }

    /**
     * Returns spans that are exported to a file, an OTLP endpoint or both; without either they are not recorded.
     *
     * @param service  service name of the process in traces
     * @param file     file to which spans are appended, as one line of JSON each
     * @param endpoint OTLP endpoint over HTTP, such as {@code http://127.0.0.1:4318/v1/traces}
     * @return the spans
     * @throws IOException if the file can't be opened
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
     * @param name        name of the operation
     * @param kind        kind of the span, such as server or client
     * @param traceParent {@code traceparent} of the parent span, or empty for a new trace
     * @return the span
     */
    public Span start(String name, SpanKind kind, String traceParent) {
        return tracer.spanBuilder(name)
                .setSpanKind(kind)
                .setParent(parentContext(traceParent))
                .startSpan();
    }

    /**
     * Ends a span and records its verdict.
     *
     * @param span    the span
     * @param verdict verdict as text
     * @param failed  whether the operation failed
     */
    public static void end(Span span, String verdict, boolean failed) {
        span.setAttribute("cuminshelf.verdict", verdict);
        if (failed) {
            span.setStatus(StatusCode.ERROR);
        }
        span.end();
    }

    /**
     * Returns the trace context of a span to send to the next process.
     *
     * @param span     the span
     * @param received {@code traceparent} that was received, returned if no spans are recorded
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
        provider.ifPresent(
                tracerProvider -> tracerProvider.shutdown().join(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private static Context parentContext(String traceParent) {
        String[] fields = traceParent.split("-");
        if (fields.length < TRACE_PARENT_FIELDS) {
            return Context.root();
        }
        SpanContext context = SpanContext.createFromRemoteParent(
                fields[1], fields[2], TraceFlags.fromHex(fields[3], 0), TraceState.getDefault());
        return context.isValid() ? Context.root().with(Span.wrap(context)) : Context.root();
    }
}
