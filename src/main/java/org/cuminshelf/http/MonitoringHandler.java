package org.cuminshelf.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP handler of the monitoring endpoints {@code /healthz}, {@code /readyz} and {@code /metrics}. */
public final class MonitoringHandler extends Handler.Abstract.NonBlocking {

    private final BooleanSupplier ready;
    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();

    /**
     * Creates the handler.
     *
     * @param ready    whether the load balancer may send requests to this process
     * @param registry registry of the exposed metrics
     */
    public MonitoringHandler(BooleanSupplier ready, PrometheusRegistry registry) {
        this.ready = ready;
        this.registry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        switch (Request.getPathInContext(request)) {
            case "/healthz" -> writeText(response, callback, 200, "alive\n");
            case "/readyz" -> {
                boolean isReady = ready.getAsBoolean();
                writeText(response, callback, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
            }
            case "/metrics" -> writeMetrics(response, callback);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void writeMetrics(Response response, Callback callback) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        writer.write(bytes, registry.scrape());
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
        response.write(true, ByteBuffer.wrap(bytes.toByteArray()), callback);
    }

    private static void writeText(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)), callback);
    }
}
