package org.cuminshelf.platform;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.cuminshelf.config.MergedConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerHandler;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.CallerListener;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamConnections;
import org.cuminshelf.http.QuarantineJson;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.ConfigRead;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.process.ControlEndpoint;
import org.cuminshelf.process.MetricsServer;
import org.cuminshelf.routes.RouteTable;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.tinylog.Logger;

/**
 * HTTP interface of a control process for upstreams and operators. It forwards heartbeats and administration requests
 * to the core, and sends role changes and usage reports on the core's behalf.
 */
final class PlatformControlInterface implements ControlEndpoint, CallerHandler {

    private static final String CONFIG_PATH = "/cuminshelf/config";
    private static final String INSTANCES_PREFIX = "/cuminshelf/instances/";
    private static final String AUTHOR = "operator";
    /** Path prefix of the administration interface, so that the project's own commands work here too. */
    private static final String ADMIN_PREFIX = "/admin/";

    private static final String QUARANTINE_PATH = ADMIN_PREFIX + QuarantineJson.LIST_PATH;
    private static final String QUARANTINE_RELEASE_PATH = ADMIN_PREFIX + QuarantineJson.RELEASE_PATH;

    private final ReentrantLock lock = new ReentrantLock();
    private final Consumer<Envelope.Builder> core;
    private final Map<Long, CallerExchange> exchangesByRequest = new HashMap<>();
    private final CallerListener listener;
    private final UpstreamConnections upstreams;
    private final String vm;
    private final MetricsServer metrics;
    private final RejectedHeartbeats rejectedHeartbeats;
    private final Optional<UsageReportClient> usageReports;
    private long nextRequestId = 1;

    private PlatformControlInterface(
            Consumer<Envelope.Builder> core,
            BootSettings boot,
            Address address,
            MetricsServer metrics,
            RejectedHeartbeats rejectedHeartbeats)
            throws IOException {
        this.core = core;
        this.vm = boot.vm();
        this.metrics = metrics;
        this.rejectedHeartbeats = rejectedHeartbeats;
        this.upstreams = UpstreamConnections.start(lock);
        this.usageReports = boot.duties()
                .platformAddress()
                .map(platform -> new UsageReportClient(upstreams, platform, boot.vm(), core));
        this.listener = CallerListener.start(address, lock, this, () -> CallerLimits.DEFAULT);
    }

    /** Returns an opener that starts this interface at an address. */
    static ControlEndpoint.Opener opener(Address address, BootSettings boot) {
        return (core, config, ready, registry) -> new PlatformControlInterface(
                core,
                boot,
                address,
                MetricsServer.open(boot.metricsAddress(), registry),
                RejectedHeartbeats.register(registry, System::nanoTime));
    }

    @Override
    public void onRequest(ReceivedRequest request, CallerExchange exchange) {
        String path = request.path();
        String method = request.method();
        if (path.equals(CONFIG_PATH) && method.equals("PUT")) {
            onConfig(request, exchange);
        } else if (path.equals(CONFIG_PATH) && method.equals("GET")) {
            submit(
                    exchange,
                    AdminRequest.newBuilder()
                            .setConfigRead(ConfigRead.newBuilder().setConfirmed(true)));
        } else if (path.startsWith(INSTANCES_PREFIX) && method.equals("PUT")) {
            onHeartbeat(path.substring(INSTANCES_PREFIX.length()), request, exchange);
        } else if (path.startsWith(INSTANCES_PREFIX) && method.equals("DELETE")) {
            String id = path.substring(INSTANCES_PREFIX.length());
            Logger.info("control: event=upstream-gone id={}", id);
            forward(UpstreamBeat.newBuilder().setName(id).setDeleted(true).build());
            respond(exchange, 200, "{}");
        } else if (path.equals(QUARANTINE_PATH) && method.equals("GET")) {
            submit(exchange, QuarantineJson.listRequest());
        } else if (path.equals(QUARANTINE_RELEASE_PATH) && method.equals("POST")) {
            QuarantineJson.releaseRequest(request.body(), Optional.empty())
                    .peek(release -> submit(exchange, release))
                    .peekLeft(reason -> respond(exchange, 400, errorBody(reason)));
        } else {
            respond(exchange, 404, errorBody("there is no such call"));
        }
    }

    private void onConfig(ReceivedRequest request, CallerExchange exchange) {
        RouteConfigParser.parse(request.body())
                .peek(table -> submit(exchange, applyRequest(request, table)))
                .peekLeft(reason -> {
                    Logger.info("control: event=config-refused bytes={} reason=\"{}\"", request.body().length, reason);
                    respond(exchange, 400, errorBody(reason));
                });
    }

    private static AdminRequest.Builder applyRequest(ReceivedRequest request, RouteTable table) {
        return AdminRequest.newBuilder()
                .setConfigApply(ConfigApply.newBuilder()
                        .setDeclaredVersion(table.version())
                        .setConfig(ByteString.copyFrom(request.body()))
                        .setHash(MergedConfig.hash(request.body()))
                        .setAuthor(AUTHOR));
    }

    private void onHeartbeat(String id, ReceivedRequest request, CallerExchange exchange) {
        HeartbeatParser.parse(id, request.body())
                .peek(beat -> {
                    forward(beat);
                    respond(exchange, 200, "{}");
                })
                .peekLeft(reason -> {
                    rejectedHeartbeats.countAndLog(id, reason);
                    respond(exchange, 400, errorBody(reason));
                });
    }

    private void forward(UpstreamBeat beat) {
        core.accept(Envelope.newBuilder().setUpstreamBeat(beat));
    }

    private void submit(CallerExchange exchange, AdminRequest.Builder request) {
        long requestId = nextRequestId++;
        exchangesByRequest.put(requestId, exchange);
        core.accept(Envelope.newBuilder().setAdminRequest(request.setQuestion(requestId)));
    }

    @Override
    public void deliver(Envelope message) {
        lock.lock();
        try {
            if (message.hasSendDirectOrder()) {
                sendOrder(message.getSendDirectOrder());
                return;
            }
            if (message.hasSendUsageReport()) {
                usageReports.ifPresent(client -> client.send(message.getSendUsageReport()));
                return;
            }
            if (message.hasGiveUpUsageReport()) {
                usageReports.ifPresent(UsageReportClient::abandon);
                return;
            }
            AdminAnswer answer = message.getAdminAnswer();
            CallerExchange exchange = exchangesByRequest.remove(answer.getQuestion());
            if (exchange != null) {
                respond(exchange, answer);
            }
        } finally {
            lock.unlock();
        }
    }

    private void sendOrder(DirectOrder order) {
        upstreams.send(
                Address.of(order.getAddress()),
                order.getUpstream(),
                RoleChangeRequest.create(order, vm),
                new RoleChangeRequest.ResponseHandler(order.getNumber(), core));
    }

    private static void respond(CallerExchange exchange, AdminAnswer answer) {
        switch (answer.getResult()) {
            case ADMIN_DONE -> {
                if (answer.getListsQuarantine()) {
                    respond(exchange, 200, QuarantineJson.of(answer).toString());
                    return;
                }
                boolean hasConfig = !answer.getConfig().isEmpty();
                boolean noneAccepted = answer.getVersion() == 0;
                if (hasConfig) {
                    exchange.respond(200, jsonHeaders(), answer.getConfig().asReadOnlyByteBuffer());
                } else {
                    respond(
                            exchange,
                            noneAccepted ? 503 : 200,
                            noneAccepted ? errorBody("no configuration was accepted yet") : "{}");
                }
            }
            case ADMIN_UNKNOWN -> respond(exchange, 404, errorBody(answer.getDetail()));
            case ADMIN_BAD -> respond(exchange, 400, errorBody(answer.getDetail()));
            default -> respond(exchange, 503, errorBody(answer.getDetail()));
        }
    }

    private static void respond(CallerExchange exchange, int status, String body) {
        exchange.respond(status, jsonHeaders(), ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpFields jsonHeaders() {
        return HttpFields.build().put(HttpHeader.CONTENT_TYPE, "application/json");
    }

    private static String errorBody(String message) {
        return "{\"error\":\"" + message.replace('"', '\'').replace('\\', '/') + "\"}";
    }

    @Override
    public void onDisconnect(CallerExchange exchange) {
        exchangesByRequest.values().remove(exchange);
    }

    @Override
    public int port() {
        return listener.port();
    }

    @Override
    public void close() {
        listener.close();
        upstreams.close();
        metrics.close();
    }
}
