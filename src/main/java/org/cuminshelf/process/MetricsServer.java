package org.cuminshelf.process;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.ReentrantLock;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerHandler;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.CallerListener;
import org.cuminshelf.exchange.ReceivedRequest;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Serves the metrics of a process as Prometheus text, on a separate address so that scrapes delay no request. */
public final class MetricsServer implements CallerHandler, AutoCloseable {

    private static final String PATH = "/metrics";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();
    private final CallerListener listener;

    private MetricsServer(Address address, PrometheusRegistry registry) throws IOException {
        this.registry = registry;
        this.listener = CallerListener.start(address, new ReentrantLock(), this, () -> CallerLimits.DEFAULT);
    }

    /**
     * Starts serving the metrics under {@code /metrics}.
     *
     * @param address  the address to listen on
     * @param registry the metrics
     * @return the running server
     * @throws IOException if the server cannot listen on the address
     */
    public static MetricsServer open(Address address, PrometheusRegistry registry) throws IOException {
        return new MetricsServer(address, registry);
    }

    @Override
    public void onRequest(ReceivedRequest request, CallerExchange exchange) {
        if (!request.path().equals(PATH)) {
            answer(exchange, NOT_FOUND, "The metrics are under /metrics.\n".getBytes(StandardCharsets.US_ASCII));
            return;
        }
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            writer.write(bytes, registry.scrape());
            answer(exchange, OK, bytes.toByteArray());
        } catch (IOException e) {
            answer(exchange, INTERNAL_SERVER_ERROR, e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void answer(CallerExchange exchange, int status, byte[] body) {
        HttpFields headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
        exchange.respond(status, headers, ByteBuffer.wrap(body));
    }

    @Override
    public void onDisconnect(CallerExchange exchange) {
        // onRequest has already answered.
    }

    @Override
    public void close() {
        listener.close();
    }
}
