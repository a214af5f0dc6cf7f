package org.cuminshelf.spans;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;

/** Appends spans to a file, as one line of JSON each. */
final class FileSpanExporter implements SpanExporter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String service;
    private final Writer writer;

    private FileSpanExporter(String service, Writer writer) {
        this.service = service;
        this.writer = writer;
    }

    static FileSpanExporter open(String service, Path file) throws IOException {
        return new FileSpanExporter(
                service,
                Files.newBufferedWriter(
                        file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    }

    @Override
    public synchronized CompletableResultCode export(Collection<SpanData> spans) {
        try {
            for (SpanData span : spans) {
                writer.write(JSON.writeValueAsString(toJson(span)));
                writer.write('\n');
            }
            writer.flush();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            return CompletableResultCode.ofFailure();
        }
    }

    private ObjectNode toJson(SpanData span) {
        ObjectNode node = JSON.createObjectNode()
                .put("service", service)
                .put("name", span.getName())
                .put("kind", span.getKind().name())
                .put("trace", span.getTraceId())
                .put("span", span.getSpanId())
                .put("parent", span.getParentSpanId())
                .put("start_ns", span.getStartEpochNanos())
                .put("end_ns", span.getEndEpochNanos())
                .put("status", span.getStatus().getStatusCode().name());
        span.getAttributes().forEach((key, value) -> node.put(key.getKey(), String.valueOf(value)));
        return node;
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public synchronized CompletableResultCode shutdown() {
        try {
            writer.close();
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
