package org.cuminshelf.upstream;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.ExchangeHead;
import org.cuminshelf.message.Header;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamHead;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.message.UpstreamState;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;

/** A plain HTTP service. Exchanges are forwarded unchanged, and a cancellation does not abort a running one. */
public final class ServiceUpstream implements Upstream {

    private static final long EXCHANGE_TIMEOUT_MILLIS = 120_000;
    private static final long HEALTH_CHECK_INTERVAL_MILLIS = 1_000;
    private static final long HEALTH_CHECK_TIMEOUT_MILLIS = 2_000;
    private static final Set<String> EXCLUDED_RESPONSE_HEADERS =
            Set.of("connection", "transfer-encoding", "keep-alive", "content-length", "date", "server");

    private final HttpClient client;
    private final URI baseUri;
    private final String healthPath;
    private final Consumer<Envelope.Builder> messageListener;

    private ServiceUpstream(
            HttpClient client, URI baseUri, String healthPath, Consumer<Envelope.Builder> messageListener) {
        this.client = client;
        this.baseUri = baseUri;
        this.healthPath = healthPath;
        this.messageListener = messageListener;
    }

    /**
     * Creates a client for a service and starts to check the service's health.
     *
     * @param baseUri         base URI of the service, such as {@code http://127.0.0.1:8081}
     * @param healthPath      path that returns a status below 500 while the service is healthy
     * @param slots           maximum number of concurrent exchanges; health checks may use up to 4 further connections
     * @param messageListener receives the responses of attempts and the state of the service
     * @return the upstream
     * @throws IOException if the HTTP client can't be started
     */
    public static ServiceUpstream start(
            URI baseUri, String healthPath, int slots, Consumer<Envelope.Builder> messageListener) throws IOException {
        ServiceUpstream upstream =
                new ServiceUpstream(UpstreamHttpClient.start(slots + 4), baseUri, healthPath, messageListener);
        upstream.checkHealth();
        return upstream;
    }

    @Override
    public void handle(Envelope message) {
        if (message.hasStartUpstream()) {
            startAttempt(message.getStartUpstream());
        }
    }

    @Override
    public void close() {
        UpstreamHttpClient.stop(client);
    }

    private void startAttempt(StartUpstream start) {
        Exchange exchange = start.getExchange();
        long attempt = start.getAttempt();
        Request request = UpstreamHttpClient.withTimeout(
                client.newRequest(baseUri.resolve(exchange.getPath())).method(exchange.getMethod()),
                EXCHANGE_TIMEOUT_MILLIS);
        request.headers(headers -> {
            exchange.getHeadersList().forEach(header -> headers.add(header.getName(), header.getValue()));
            if (!start.getTraceParent().isEmpty()) {
                headers.put("traceparent", start.getTraceParent());
            }
        });
        if (!exchange.getBody().isEmpty()) {
            request.body(new BytesRequestContent(exchange.getBody().toByteArray()));
        }
        AtomicBoolean requestBegun = UpstreamHttpClient.trackRequestBegin(request);
        request.onResponseHeaders(response -> onResponseHead(attempt, response));
        request.onResponseContent((response, content) -> onResponseContentPart(attempt, content));
        request.send(result -> onExchangeEnd(attempt, result, requestBegun.get()));
    }

    private void onResponseHead(long attempt, Response response) {
        ExchangeHead.Builder head = ExchangeHead.newBuilder().setStatus(response.getStatus());
        for (HttpField field : response.getHeaders()) {
            if (!EXCLUDED_RESPONSE_HEADERS.contains(field.getLowerCaseName())) {
                head.addHeaders(Header.newBuilder().setName(field.getName()).setValue(field.getValue()));
            }
        }
        messageListener.accept(Envelope.newBuilder()
                .setUpstreamHead(UpstreamHead.newBuilder().setAttempt(attempt).setHead(head)));
    }

    private void onResponseContentPart(long attempt, ByteBuffer content) {
        UpstreamPart part = UpstreamPart.newBuilder()
                .setAttempt(attempt)
                .setBody(ByteString.copyFrom(content))
                .build();
        messageListener.accept(Envelope.newBuilder().setUpstreamPart(part));
    }

    private void onExchangeEnd(long attempt, Result result, boolean requestBegun) {
        UpstreamEnd end = result.isSucceeded()
                ? UpstreamEnd.newBuilder().setAttempt(attempt).setRan(Ran.RAN).build()
                : UpstreamHttpClient.failedAttempt(attempt, result, requestBegun);
        messageListener.accept(Envelope.newBuilder().setUpstreamEnd(end));
    }

    private void checkHealth() {
        UpstreamHttpClient.withTimeout(client.newRequest(baseUri.resolve(healthPath)), HEALTH_CHECK_TIMEOUT_MILLIS)
                .send(result -> {
                    boolean healthy =
                            result.isSucceeded() && result.getResponse().getStatus() < 500;
                    UpstreamState state = UpstreamState.newBuilder()
                            .setReachable(healthy)
                            .setLoad(LoadReport.getDefaultInstance())
                            .build();
                    messageListener.accept(Envelope.newBuilder().setUpstreamState(state));
                    if (client.isRunning()) {
                        client.getScheduler()
                                .schedule(this::checkHealth, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }
}
