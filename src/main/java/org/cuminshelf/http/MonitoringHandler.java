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

/** The pages for the platform: {@code /healthz}, {@code /readyz} and {@code /metrics}. */
public final class MonitoringHandler extends Handler.Abstract.NonBlocking {

    private final BooleanSupplier ready;
    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();

    /**
     * Makes the pages.
     *
     * @param ready    whether the balancer may send requests here
     * @param registry the metrics
     */
    public MonitoringHandler(BooleanSupplier ready, PrometheusRegistry registry) {
        this.ready = ready;
        this.registry = registry;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        switch (Request.getPathInContext(request)) {
            case "/healthz" -> text(response, callback, 200, "alive\n");
            case "/readyz" -> {
                boolean isReady = ready.getAsBoolean();
                text(response, callback, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
            }
            case "/metrics" -> metrics(response, callback);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void metrics(Response response, Callback callback) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        writer.write(bytes, registry.scrape());
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
        response.write(true, ByteBuffer.wrap(bytes.toByteArray()), callback);
    }

    private static void text(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)), callback);
    }
}
