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

/** The metrics of a process as text, on an address of their own so that no caller's request waits for them. */
public final class MetricsServer implements CallerHandler, AutoCloseable {

    private static final String PATH = "/metrics";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int FAILED = 500;

    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();
    private final CallerListener listener;

    private MetricsServer(Address address, PrometheusRegistry registry) throws IOException {
        this.registry = registry;
        this.listener = CallerListener.start(address, new ReentrantLock(), this, () -> CallerLimits.DEFAULT);
    }

    /**
     * Serves the metrics under {@code /metrics}.
     *
     * @param address  where
     * @param registry the metrics
     * @return the page
     * @throws IOException if the address can't be used
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
            answer(exchange, FAILED, e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void answer(CallerExchange exchange, int status, byte[] body) {
        HttpFields headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
        exchange.respond(status, headers, ByteBuffer.wrap(body));
    }

    @Override
    public void onDisconnect(CallerExchange exchange) {
        // The answer was given within the question's own call.
    }

    @Override
    public void close() {
        listener.close();
    }
}
