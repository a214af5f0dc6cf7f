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

/** The calls of upstreams and operators to a control process. */
final class PlatformControlInterface implements ControlEndpoint, CallerHandler {

    private static final String CONFIG = "/cuminshelf/config";
    private static final String INSTANCES = "/cuminshelf/instances/";
    private static final String AUTHOR = "operator";
    /** Calls of our own, under the path of the product's administration interface, so that its commands work. */
    private static final String ADMIN = "/admin/";

    private static final String QUARANTINE = ADMIN + QuarantineJson.LIST_PATH;
    private static final String QUARANTINE_RELEASE = ADMIN + QuarantineJson.RELEASE_PATH;

    private final ReentrantLock lock = new ReentrantLock();
    private final Consumer<Envelope.Builder> core;
    private final Map<Long, CallerExchange> waiting = new HashMap<>();
    private final CallerListener listener;
    private final UpstreamConnections upstreams;
    private final String vm;
    private final MetricsServer metrics;
    private final RejectedHeartbeats refused;
    private final Optional<UsageReportClient> duties;
    private long nextQuestion = 1;

    private PlatformControlInterface(
            Consumer<Envelope.Builder> core,
            BootSettings boot,
            Address address,
            MetricsServer metrics,
            RejectedHeartbeats refused)
            throws IOException {
        this.core = core;
        this.vm = boot.vm();
        this.metrics = metrics;
        this.refused = refused;
        this.upstreams = UpstreamConnections.start(lock);
        this.duties =
                boot.duties().platform().map(platform -> new UsageReportClient(upstreams, platform, boot.vm(), core));
        this.listener = CallerListener.start(address, lock, this, () -> CallerLimits.DEFAULT);
    }

    /** Opens the interface of a VM at an address, as a control process asks for it. */
    static ControlEndpoint.Opener at(Address address, BootSettings boot) {
        return (core, config, ready, registry) -> new PlatformControlInterface(
                core,
                boot,
                address,
                MetricsServer.open(boot.metrics(), registry),
                RejectedHeartbeats.register(registry, System::nanoTime));
    }

    @Override
    public void onRequest(ReceivedRequest request, CallerExchange exchange) {
        String path = request.path();
        String method = request.method();
        if (path.equals(CONFIG) && method.equals("PUT")) {
            onConfig(request, exchange);
        } else if (path.equals(CONFIG) && method.equals("GET")) {
            ask(
                    exchange,
                    AdminRequest.newBuilder()
                            .setConfigRead(ConfigRead.newBuilder().setConfirmed(true)));
        } else if (path.startsWith(INSTANCES) && method.equals("PUT")) {
            onBeat(path.substring(INSTANCES.length()), request, exchange);
        } else if (path.startsWith(INSTANCES) && method.equals("DELETE")) {
            String id = path.substring(INSTANCES.length());
            Logger.info("control: event=upstream-gone id={}", id);
            tell(UpstreamBeat.newBuilder().setName(id).setDeleted(true).build());
            answer(exchange, 200, "{}");
        } else if (path.equals(QUARANTINE) && method.equals("GET")) {
            ask(exchange, QuarantineJson.listRequest());
        } else if (path.equals(QUARANTINE_RELEASE) && method.equals("POST")) {
            QuarantineJson.releaseRequest(request.body(), Optional.empty())
                    .peek(release -> ask(exchange, release))
                    .peekLeft(wrong -> answer(exchange, 400, problem(wrong)));
        } else {
            answer(exchange, 404, problem("there is no such call"));
        }
    }

    private void onConfig(ReceivedRequest request, CallerExchange exchange) {
        RouteConfigParser.read(request.body())
                .peek(table -> ask(exchange, apply(request, table)))
                .peekLeft(wrong -> {
                    Logger.info("control: event=config-refused bytes={} reason=\"{}\"", request.body().length, wrong);
                    answer(exchange, 400, problem(wrong));
                });
    }

    private static AdminRequest.Builder apply(ReceivedRequest request, RouteTable table) {
        return AdminRequest.newBuilder()
                .setConfigApply(ConfigApply.newBuilder()
                        .setDeclaredVersion(table.version())
                        .setConfig(ByteString.copyFrom(request.body()))
                        .setHash(MergedConfig.hash(request.body()))
                        .setAuthor(AUTHOR));
    }

    private void onBeat(String id, ReceivedRequest request, CallerExchange exchange) {
        HeartbeatParser.read(id, request.body())
                .peek(beat -> {
                    tell(beat);
                    answer(exchange, 200, "{}");
                })
                .peekLeft(wrong -> {
                    refused.note(id, wrong);
                    answer(exchange, 400, problem(wrong));
                });
    }

    private void tell(UpstreamBeat beat) {
        core.accept(Envelope.newBuilder().setUpstreamBeat(beat));
    }

    private void ask(CallerExchange exchange, AdminRequest.Builder request) {
        long question = nextQuestion++;
        waiting.put(question, exchange);
        core.accept(Envelope.newBuilder().setAdminRequest(request.setQuestion(question)));
    }

    @Override
    public void deliver(Envelope message) {
        lock.lock();
        try {
            if (message.hasSendDirectOrder()) {
                order(message.getSendDirectOrder());
                return;
            }
            if (message.hasSendUsageReport()) {
                duties.ifPresent(calls -> calls.report(message.getSendUsageReport()));
                return;
            }
            if (message.hasGiveUpUsageReport()) {
                duties.ifPresent(UsageReportClient::giveUp);
                return;
            }
            AdminAnswer answer = message.getAdminAnswer();
            CallerExchange exchange = waiting.remove(answer.getQuestion());
            if (exchange != null) {
                answer(exchange, answer);
            }
        } finally {
            lock.unlock();
        }
    }

    private void order(DirectOrder order) {
        upstreams.send(
                Address.of(order.getAddress()),
                order.getUpstream(),
                RoleChangeRequest.write(order, vm),
                new RoleChangeRequest.Answer(order.getNumber(), core));
    }

    private static void answer(CallerExchange exchange, AdminAnswer answer) {
        switch (answer.getResult()) {
            case ADMIN_DONE -> {
                if (answer.getListsQuarantine()) {
                    answer(exchange, 200, QuarantineJson.of(answer).toString());
                    return;
                }
                boolean read = !answer.getConfig().isEmpty();
                boolean none = answer.getVersion() == 0;
                if (read) {
                    exchange.respond(200, json(), answer.getConfig().asReadOnlyByteBuffer());
                } else {
                    answer(exchange, none ? 503 : 200, none ? problem("no configuration was accepted yet") : "{}");
                }
            }
            case ADMIN_UNKNOWN -> answer(exchange, 404, problem(answer.getDetail()));
            case ADMIN_BAD -> answer(exchange, 400, problem(answer.getDetail()));
            default -> answer(exchange, 503, problem(answer.getDetail()));
        }
    }

    private static void answer(CallerExchange exchange, int status, String body) {
        exchange.respond(status, json(), ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpFields json() {
        return HttpFields.build().put(HttpHeader.CONTENT_TYPE, "application/json");
    }

    private static String problem(String text) {
        return "{\"error\":\"" + text.replace('"', '\'').replace('\\', '/') + "\"}";
    }

    @Override
    public void onDisconnect(CallerExchange exchange) {
        waiting.values().remove(exchange);
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
