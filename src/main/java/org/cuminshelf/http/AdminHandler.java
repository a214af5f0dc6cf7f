package org.cuminshelf.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.config.MergedConfig;
import org.cuminshelf.config.TeamConfig;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.ConfigRead;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderPlace;
import org.cuminshelf.message.StatusQuery;
import org.cuminshelf.upstream.EngineUpstream;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP handler of the administration interface under {@code /admin/}: status, configuration, orders and quarantine. A
 * key in the {@code Authorization} header identifies the team; docs/OPERATIONS.md lists the endpoints.
 */
public final class AdminHandler extends Handler.Abstract.NonBlocking {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PREFIX = "/admin/";
    private static final String BEARER = "Bearer ";
    private static final int MAX_BODY_BYTES = 8 << 20;

    /** An authenticated caller of the interface. */
    private record Operator(String team, TeamConfig.Role role) {}

    private record PendingResponse(Response response, Callback callback) {}

    private final Consumer<Envelope.Builder> core;
    private final Supplier<byte[]> config;
    private final Set<String> adminKeys;
    private final boolean allowsRequestsWithoutKey;
    private final Map<Long, PendingResponse> pendingResponses = new ConcurrentHashMap<>();
    private final AtomicLong nextQuestionId = new AtomicLong(1);

    /**
     * Creates the handler.
     *
     * @param core                     receives the requests
     * @param config                   supplies the accepted configuration in canonical form
     * @param adminKeys                SHA-256 hashes of keys that may operate in addition to those of the teams
     * @param allowsRequestsWithoutKey whether requests without a key may operate
     */
    public AdminHandler(
            Consumer<Envelope.Builder> core,
            Supplier<byte[]> config,
            Set<String> adminKeys,
            boolean allowsRequestsWithoutKey) {
        this.core = core;
        this.config = config;
        this.adminKeys = adminKeys;
        this.allowsRequestsWithoutKey = allowsRequestsWithoutKey;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        Optional<Operator> operator = authenticate(request);
        if (operator.isEmpty()) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
            Problem.badRequest(401, "Send a team's key as 'Authorization: Bearer KEY'.")
                    .write(response, callback);
            return true;
        }
        boolean isRead = request.getMethod().equals("GET");
        if (!isRead && operator.get().role() != TeamConfig.Role.OPERATE) {
            Problem.badRequest(403, "The team " + operator.get().team() + " may read only.")
                    .write(response, callback);
            return true;
        }
        route(request, response, callback, path.substring(PREFIX.length()), operator.get());
        return true;
    }

    /**
     * Sends an answer of the core as the HTTP response; called on the core's thread.
     *
     * @param message message with an answer
     */
    public void deliver(Envelope message) {
        AdminAnswer answer = message.getAdminAnswer();
        PendingResponse pending = pendingResponses.remove(answer.getQuestion());
        if (pending != null) {
            write(pending.response(), pending.callback(), status(answer), json(answer));
        }
    }

    private void route(Request request, Response response, Callback callback, String action, Operator operator) {
        String endpoint = request.getMethod() + " " + action;
        switch (endpoint) {
            case "GET status" ->
                sendToCore(response, callback, AdminRequest.newBuilder().setStatus(StatusQuery.getDefaultInstance()));
            case "GET config" ->
                sendToCore(
                        response, callback, AdminRequest.newBuilder().setConfigRead(ConfigRead.getDefaultInstance()));
            case "POST config" -> withBody(request, response, callback, body -> configApply(request, body, operator));
            case "POST orders" -> withBody(request, response, callback, body -> orderPlace(body, operator));
            case "GET " + QuarantineJson.LIST_PATH -> sendToCore(response, callback, QuarantineJson.listRequest());
            case "POST " + QuarantineJson.RELEASE_PATH ->
                withBody(
                        request,
                        response,
                        callback,
                        body -> QuarantineJson.releaseRequest(body, Optional.of(operator.team())));
            default ->
                Problem.badRequest(
                                404,
                                "No such call; there are GET status, GET config, POST config, POST orders,"
                                        + " GET quarantine and POST quarantine/release.")
                        .write(response, callback);
        }
    }

    private void withBody(
            Request request,
            Response response,
            Callback callback,
            java.util.function.Function<byte[], Either<String, AdminRequest.Builder>> parse) {
        RequestBodyReader.read(
                request,
                response,
                MAX_BODY_BYTES,
                body -> parse.apply(body)
                        .peek(adminRequest -> sendToCore(response, callback, adminRequest))
                        .peekLeft(error -> Problem.badRequest(400, error).write(response, callback)),
                () -> Problem.badRequest(413, "The body is larger than 8 MiB.").write(response, callback),
                failure -> Problem.badRequest(408, "The body did not come whole and in time.")
                        .write(response, callback));
    }

    private Either<String, AdminRequest.Builder> configApply(Request request, byte[] body, Operator operator) {
        String baseVersion = Request.extractQueryParameters(request).getValue("base");
        if (baseVersion == null || !baseVersion.matches("\\d{1,18}")) {
            return Either.left("Name the version this change is made on, as in POST /admin/config?base=4.");
        }
        return Either.right(AdminRequest.newBuilder()
                .setConfigApply(ConfigApply.newBuilder()
                        .setBaseVersion(Long.parseLong(baseVersion))
                        .setConfig(ByteString.copyFrom(body))
                        .setHash(MergedConfig.hash(body))
                        .setAuthor(operator.team())));
    }

    private Either<String, AdminRequest.Builder> orderPlace(byte[] body, Operator operator) {
        JsonNode node;
        try {
            node = JSON.readTree(body);
        } catch (IOException e) {
            return Either.left("The body is not JSON: " + e.getMessage());
        }
        if (node == null || !node.path("engine").isTextual()) {
            return Either.left("'engine' must name a VM or the address of its sidecar.");
        }
        return parseOrderBody(node)
                .map(adminRequest -> AdminRequest.newBuilder()
                        .setOrderPlace(OrderPlace.newBuilder()
                                .setEngine(node.get("engine").textValue())
                                .setAuthor(operator.team())
                                .setBody(adminRequest)));
    }

    private static Either<String, OrderBody.Builder> parseOrderBody(JsonNode node) {
        OrderBody.Builder body = OrderBody.newBuilder();
        if (node.path("change_role").isTextual()) {
            String role = node.get("change_role").textValue();
            if (!Set.of("mixed", "prefill", "decode").contains(role)) {
                return Either.left("'change_role' must be mixed, prefill or decode.");
            }
            return Either.right(body.setChangeRole(EngineUpstream.parseRole(role)));
        }
        if (node.path("load_model").isTextual()) {
            return Either.right(body.setLoadModel(node.get("load_model").textValue()));
        }
        if (node.path("load_adapter").isTextual()) {
            return Either.right(body.setLoadAdapter(node.get("load_adapter").textValue()));
        }
        if (node.path("unload_adapter").isTextual()) {
            return Either.right(body.setUnloadAdapter(node.get("unload_adapter").textValue()));
        }
        if (node.path("drain").isBoolean()) {
            return Either.right(body.setDrain(node.get("drain").booleanValue()));
        }
        return Either.left("Give one of change_role, load_model, load_adapter, unload_adapter, drain.");
    }

    private void sendToCore(Response response, Callback callback, AdminRequest.Builder adminRequest) {
        long questionId = nextQuestionId.getAndIncrement();
        pendingResponses.put(questionId, new PendingResponse(response, callback));
        core.accept(Envelope.newBuilder().setAdminRequest(adminRequest.setQuestion(questionId)));
    }

    private Optional<Operator> authenticate(Request request) {
        String header = Optional.ofNullable(request.getHeaders().get(HttpHeader.AUTHORIZATION))
                .orElse("");
        if (!header.startsWith(BEARER)) {
            return allowsRequestsWithoutKey
                    ? Optional.of(new Operator("open", TeamConfig.Role.OPERATE))
                    : Optional.empty();
        }
        String hash = MergedConfig.hash(header.substring(BEARER.length()).trim().getBytes(StandardCharsets.UTF_8));
        if (adminKeys.contains(hash)) {
            return Optional.of(new Operator("administrator", TeamConfig.Role.OPERATE));
        }
        return FleetConfig.parse(config.get())
                .map(FleetConfig::teams)
                .getOrElse(java.util.Collections.emptySortedMap())
                .entrySet()
                .stream()
                .filter(team -> team.getValue().keySha256().equals(hash))
                .map(team -> new Operator(team.getKey(), team.getValue().role()))
                .findFirst();
    }

    private static int status(AdminAnswer answer) {
        return switch (answer.getResult()) {
            case ADMIN_DONE -> 200;
            case ADMIN_CONFLICT -> 409;
            case ADMIN_BAD -> 400;
            case ADMIN_UNKNOWN -> 404;
            case ADMIN_NOT_LEADER, ADMIN_UNAVAILABLE, UNRECOGNIZED -> 503;
        };
    }

    private static ObjectNode json(AdminAnswer answer) {
        if (answer.getListsQuarantine()) {
            return QuarantineJson.of(answer);
        }
        if (answer.hasStatus()) {
            return StatusJson.of(answer.getStatus());
        }
        ObjectNode node = JSON.createObjectNode().put("version", answer.getVersion());
        if (!answer.getDetail().isEmpty()) {
            node.put("detail", answer.getDetail());
        }
        if (!answer.getConfig().isEmpty()) {
            try {
                node.set("config", JSON.readTree(answer.getConfig().toByteArray()));
            } catch (IOException e) {
                node.put("detail", "the accepted configuration can't be read: " + e.getMessage());
            }
        }
        return node;
    }

    private static void write(Response response, Callback callback, int status, ObjectNode node) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(node.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }
}
