package org.cuminshelf.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cuminshelf.message.ApplyOrder;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.message.UpstreamState;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/**
 * A model engine that implements the protocol of docs/UPSTREAMS.md: completions as server-sent events, resumed after
 * the tokens in {@code held_tokens}; {@code GET /state}; {@code POST /orders} with a fencing token.
 */
public final class EngineUpstream implements Upstream {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STREAM_TIMEOUT_MILLIS = 600_000;
    private static final long STATE_POLL_INTERVAL_MILLIS = 1_000;
    private static final long STATE_TIMEOUT_MILLIS = 2_000;
    private static final long ORDER_TIMEOUT_MILLIS = 10_000;
    private static final String DATA_FIELD_PREFIX = "data: ";

    private final HttpClient client;
    private final URI baseUri;
    private final Consumer<Envelope.Builder> messageListener;
    private final Map<Long, Request> requestsByAttempt = new ConcurrentHashMap<>();

    private EngineUpstream(HttpClient client, URI baseUri, Consumer<Envelope.Builder> messageListener) {
        this.client = client;
        this.baseUri = baseUri;
        this.messageListener = messageListener;
    }

    /**
     * Creates a client for an engine and starts to poll the engine's state.
     *
     * @param baseUri         base URI of the engine, such as {@code http://127.0.0.1:8081}
     * @param slots           maximum number of concurrent streams; up to 4 further connections serve state and orders
     * @param messageListener receives the parts and ends of attempts, the state and the results of orders
     * @return the upstream
     * @throws IOException if the HTTP client can't be started
     */
    public static EngineUpstream start(URI baseUri, int slots, Consumer<Envelope.Builder> messageListener)
            throws IOException {
        EngineUpstream upstream = new EngineUpstream(UpstreamHttpClient.start(slots + 4), baseUri, messageListener);
        upstream.pollState();
        return upstream;
    }

    @Override
    public void handle(Envelope message) {
        switch (message.getBodyCase()) {
            case START_UPSTREAM -> startAttempt(message.getStartUpstream());
            case CANCEL_UPSTREAM -> cancel(message.getCancelUpstream().getAttempt());
            case READ_UPSTREAM -> readState(message.getReadUpstream().getToken(), () -> {});
            case APPLY_ORDER -> sendOrder(message.getApplyOrder());
            default -> {
                // Other messages do not apply to an engine.
            }
        }
    }

    @Override
    public void close() {
        UpstreamHttpClient.stop(client);
    }

    private void startAttempt(StartUpstream start) {
        long attempt = start.getAttempt();
        Request request =
                UpstreamHttpClient.withTimeout(client.POST(baseUri.resolve("/v1/completions")), STREAM_TIMEOUT_MILLIS);
        request.body(new BytesRequestContent("application/json", completionRequestBody(start)));
        if (!start.getTraceParent().isEmpty()) {
            request.headers(headers -> headers.put("traceparent", start.getTraceParent()));
        }
        AtomicBoolean requestBegun = UpstreamHttpClient.trackRequestBegin(request);
        EventStreamParser events = new EventStreamParser();
        requestsByAttempt.put(attempt, request);
        request.onResponseContent((response, content) -> {
            List<String> tokens = events.parse(content);
            if (!tokens.isEmpty()) {
                UpstreamPart.Builder part =
                        UpstreamPart.newBuilder().setAttempt(attempt).addAllTokens(tokens);
                messageListener.accept(Envelope.newBuilder().setUpstreamPart(part));
            }
        });
        request.send(result -> {
            requestsByAttempt.remove(attempt);
            messageListener.accept(
                    Envelope.newBuilder().setUpstreamEnd(endOfAttempt(attempt, result, events, requestBegun.get())));
        });
    }

    private static UpstreamEnd endOfAttempt(
            long attempt, Result result, EventStreamParser events, boolean requestBegun) {
        if (result.isFailed()) {
            return UpstreamHttpClient.failedAttempt(attempt, result, requestBegun);
        }
        int status = result.getResponse().getStatus();
        UpstreamEnd.Builder end = UpstreamEnd.newBuilder().setAttempt(attempt);
        if (status == 200 && events.finishReason.equals("moved")) {
            return end.setRan(Ran.RAN).setCause(Cause.MOVED).build();
        }
        if (status == 200 && !events.finishReason.isEmpty()) {
            return end.setRan(Ran.RAN).setFinishReason(events.finishReason).build();
        }
        boolean refused = status == 429 || status == 503;
        return end.setRan(refused ? Ran.NOT_RUN : Ran.MAY_HAVE_RUN)
                .setCause(refused ? Cause.OVERLOADED : status == 400 ? Cause.BAD_REQUEST : Cause.CONNECTION_BROKEN)
                .build();
    }

    private static byte[] completionRequestBody(StartUpstream start) {
        Generation generation = start.getGeneration();
        ObjectNode node = JSON.createObjectNode()
                .put("model", generation.getModel())
                .put("prompt", generation.getPrompt())
                .put("prompt_tokens", generation.getPromptTokens())
                .put("max_tokens", generation.getMaxTokens())
                .put("priority", start.getPriority())
                .put("stream", true);
        if (!generation.getAdapter().isEmpty()) {
            node.put("adapter", generation.getAdapter());
        }
        if (generation.getPrefillOnly()) {
            node.put("prefill_only", true);
        }
        if (!generation.getKvFrom().isEmpty()) {
            node.put("kv_from", generation.getKvFrom());
        }
        ArrayNode held = node.putArray("held_tokens");
        generation.getHeldList().forEach(held::add);
        ArrayNode prefix = node.putArray("prefix_blocks");
        generation.getPrefixList().forEach(prefix::add);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void cancel(long attempt) {
        Request request = requestsByAttempt.remove(attempt);
        if (request != null) {
            request.abort(new IOException("cancelled"));
        }
    }

    /**
     * Sends an order to the engine. The deadline is checked again immediately before the request is written: an order
     * that was queued in this process, or whose process was paused, must not start after its deadline, because a new
     * leader may by then assume that it never starts.
     */
    private void sendOrder(ApplyOrder apply) {
        Order order = apply.getOrder();
        if (System.nanoTime() - apply.getNotAfterNanos() > 0) {
            reportOrderResult(order, false, Cause.ORDER_EXPIRED);
            return;
        }
        ObjectNode node = JSON.createObjectNode().put("term", order.getTerm()).put("number", order.getNumber());
        switch (order.getBody().getKindCase()) {
            case CHANGE_ROLE -> node.put("change_role", roleName(order.getBody().getChangeRole()));
            case LOAD_MODEL -> node.put("load_model", order.getBody().getLoadModel());
            case LOAD_ADAPTER -> node.put("load_adapter", order.getBody().getLoadAdapter());
            case UNLOAD_ADAPTER -> node.put("unload_adapter", order.getBody().getUnloadAdapter());
            case DRAIN, KIND_NOT_SET -> {
                reportOrderResult(order, true, Cause.CAUSE_NONE);
                return;
            }
        }
        Request request = UpstreamHttpClient.withTimeout(client.POST(baseUri.resolve("/orders")), ORDER_TIMEOUT_MILLIS);
        request.body(new BytesRequestContent("application/json", node.toString().getBytes(StandardCharsets.UTF_8)));
        AtomicBoolean deadlinePassed = new AtomicBoolean();
        request.onRequestBegin(startedRequest -> {
            if (System.nanoTime() - apply.getNotAfterNanos() > 0) {
                deadlinePassed.set(true);
                startedRequest.abort(new IOException("the deadline of the order has passed"));
            }
        });
        request.send(result -> onOrderResponse(order, result, deadlinePassed.get()));
    }

    private void onOrderResponse(Order order, Result result, boolean deadlinePassed) {
        if (deadlinePassed) {
            reportOrderResult(order, false, Cause.ORDER_EXPIRED);
        } else if (result.isFailed()) {
            reportOrderResult(order, false, Cause.CONNECTION_BROKEN);
        } else {
            int status = result.getResponse().getStatus();
            Cause refusalCause = status == 412 ? Cause.STALE_ORDER : Cause.ORDER_PENDING;
            reportOrderResult(order, status == 202, status == 202 ? Cause.CAUSE_NONE : refusalCause);
        }
    }

    private void reportOrderResult(Order order, boolean accepted, Cause cause) {
        messageListener.accept(Envelope.newBuilder()
                .setOrderApplied(OrderApplied.newBuilder()
                        .setNumber(order.getNumber())
                        .setAccepted(accepted)
                        .setCause(cause)));
    }

    private void pollState() {
        readState(0, () -> {
            if (client.isRunning()) {
                client.getScheduler().schedule(this::pollState, STATE_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void readState(long token, Runnable onComplete) {
        org.eclipse.jetty.client.CompletableResponseListener listener =
                new org.eclipse.jetty.client.CompletableResponseListener(UpstreamHttpClient.withTimeout(
                        client.newRequest(baseUri.resolve("/state")), STATE_TIMEOUT_MILLIS));
        listener.send().whenComplete((response, failure) -> {
            UpstreamState state = failure != null || response.getStatus() != 200
                    ? UpstreamState.getDefaultInstance()
                    : parseState(response);
            messageListener.accept(
                    Envelope.newBuilder().setUpstreamState(state.toBuilder().setToken(token)));
            onComplete.run();
        });
    }

    private static UpstreamState parseState(ContentResponse response) {
        try {
            JsonNode node = JSON.readTree(response.getContent());
            LoadReport.Builder load = LoadReport.newBuilder()
                    .setQueued(node.path("queued").asInt())
                    .setQueuedPromptTokens(node.path("queued_prompt_tokens").asLong())
                    .setRole(parseRole(node.path("role").asText()));
            node.path("models").forEach(model -> load.addModels(model.asText()));
            node.path("adapters").forEach(adapter -> load.addAdapters(adapter.asText()));
            node.path("cached_blocks").forEach(block -> load.addCached(block.asLong()));
            return UpstreamState.newBuilder()
                    .setReachable(true)
                    .setLoad(load)
                    .setFence(node.path("fence").asLong())
                    .setChanging(node.path("changing").asBoolean())
                    .build();
        } catch (IOException e) {
            return UpstreamState.getDefaultInstance();
        }
    }

    /**
     * Returns the name of a role in the engine protocol.
     *
     * @param role the role
     * @return the name in lower case, such as {@code prefill}
     */
    public static String roleName(Role role) {
        return role.name().substring("ROLE_".length()).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the role that a name in the engine protocol stands for.
     *
     * @param name the name in lower case
     * @return the role; {@link Role#ROLE_MIXED} for an unknown name
     */
    public static Role parseRole(String name) {
        return switch (name) {
            case "prefill" -> Role.ROLE_PREFILL;
            case "decode" -> Role.ROLE_DECODE;
            default -> Role.ROLE_MIXED;
        };
    }

    /** Parses a stream of server-sent events incrementally and extracts the tokens and the finish reason. */
    private static final class EventStreamParser {

        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private String finishReason = "";

        private List<String> parse(ByteBuffer content) {
            List<String> tokens = new ArrayList<>();
            while (content.hasRemaining()) {
                byte nextByte = content.get();
                if (nextByte != '\n') {
                    line.write(nextByte);
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                if (text.startsWith(DATA_FIELD_PREFIX + "{")) {
                    parseEvent(text.substring(DATA_FIELD_PREFIX.length()), tokens);
                }
            }
            return tokens;
        }

        private void parseEvent(String json, List<String> tokens) {
            try {
                JsonNode choice = JSON.readTree(json).path("choices").path(0);
                String token = choice.path("text").asText("");
                if (!token.isEmpty()) {
                    tokens.add(token);
                }
                if (choice.path("finish_reason").isTextual()) {
                    finishReason = choice.get("finish_reason").textValue();
                }
            } catch (JsonProcessingException e) {
                // Without a finish reason, the malformed stream is reported as a broken connection.
                finishReason = "";
            }
        }
    }
}
