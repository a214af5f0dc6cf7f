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

/** A plain HTTP service. Exchanges are passed on as they are, and never cut short from this side. */
public final class ServiceUpstream implements Upstream {

    private static final long EXCHANGE_MILLIS = 120_000;
    private static final long HEALTH_EVERY_MILLIS = 1_000;
    private static final long HEALTH_PATIENCE_MILLIS = 2_000;
    private static final Set<String> HOP_HEADERS =
            Set.of("connection", "transfer-encoding", "keep-alive", "content-length", "date", "server");

    private final HttpClient client;
    private final URI base;
    private final String healthPath;
    private final Consumer<Envelope.Builder> core;

    private ServiceUpstream(HttpClient client, URI base, String healthPath, Consumer<Envelope.Builder> core) {
        this.client = client;
        this.base = base;
        this.healthPath = healthPath;
        this.core = core;
    }

    /**
     * Starts to watch a service.
     *
     * @param base       where it listens, such as {@code http://127.0.0.1:8081}
     * @param healthPath path that answers below 500 while it is well
     * @param slots      exchanges at once
     * @param core       takes what the service does
     * @return the upstream
     * @throws IOException if the client can't be started
     */
    public static ServiceUpstream start(URI base, String healthPath, int slots, Consumer<Envelope.Builder> core)
            throws IOException {
        ServiceUpstream upstream = new ServiceUpstream(UpstreamHttpClient.start(slots + 4), base, healthPath, core);
        upstream.readHealth();
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
                client.newRequest(base.resolve(exchange.getPath())).method(exchange.getMethod()), EXCHANGE_MILLIS);
        request.headers(headers -> {
            exchange.getHeadersList().forEach(header -> headers.add(header.getName(), header.getValue()));
            if (!start.getTraceParent().isEmpty()) {
                headers.put("traceparent", start.getTraceParent());
            }
        });
        if (!exchange.getBody().isEmpty()) {
            request.body(new BytesRequestContent(exchange.getBody().toByteArray()));
        }
        AtomicBoolean begun = UpstreamHttpClient.watchBegin(request);
        request.onResponseHeaders(response -> onHead(attempt, response));
        request.onResponseContent((response, content) -> onContent(attempt, content));
        request.send(result -> onEnd(attempt, result, begun.get()));
    }

    private void onHead(long attempt, Response response) {
        ExchangeHead.Builder head = ExchangeHead.newBuilder().setStatus(response.getStatus());
        for (HttpField field : response.getHeaders()) {
            if (!HOP_HEADERS.contains(field.getLowerCaseName())) {
                head.addHeaders(Header.newBuilder().setName(field.getName()).setValue(field.getValue()));
            }
        }
        core.accept(Envelope.newBuilder()
                .setUpstreamHead(UpstreamHead.newBuilder().setAttempt(attempt).setHead(head)));
    }

    private void onContent(long attempt, ByteBuffer content) {
        UpstreamPart part = UpstreamPart.newBuilder()
                .setAttempt(attempt)
                .setBody(ByteString.copyFrom(content))
                .build();
        core.accept(Envelope.newBuilder().setUpstreamPart(part));
    }

    private void onEnd(long attempt, Result result, boolean begun) {
        UpstreamEnd end = result.isSucceeded()
                ? UpstreamEnd.newBuilder().setAttempt(attempt).setRan(Ran.RAN).build()
                : UpstreamHttpClient.failed(attempt, result, begun);
        core.accept(Envelope.newBuilder().setUpstreamEnd(end));
    }

    private void readHealth() {
        UpstreamHttpClient.withTimeout(client.newRequest(base.resolve(healthPath)), HEALTH_PATIENCE_MILLIS)
                .send(result -> {
                    boolean well = result.isSucceeded() && result.getResponse().getStatus() < 500;
                    UpstreamState state = UpstreamState.newBuilder()
                            .setReachable(well)
                            .setLoad(LoadReport.getDefaultInstance())
                            .build();
                    core.accept(Envelope.newBuilder().setUpstreamState(state));
                    if (client.isRunning()) {
                        client.getScheduler().schedule(this::readHealth, HEALTH_EVERY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }
}
