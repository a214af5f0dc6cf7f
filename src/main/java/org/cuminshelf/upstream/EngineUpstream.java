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
 * A model engine that speaks the protocol of docs/UPSTREAMS.md: completions as server-sent events, with
 * {@code held_tokens} to resume after; {@code GET /state}; {@code POST /orders} with a fencing number.
 */
public final class EngineUpstream implements Upstream {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STREAM_MILLIS = 600_000;
    private static final long STATE_EVERY_MILLIS = 1_000;
    private static final long STATE_PATIENCE_MILLIS = 2_000;
    private static final long ORDER_PATIENCE_MILLIS = 10_000;
    private static final String DATA = "data: ";

    private final HttpClient client;
    private final URI base;
    private final Consumer<Envelope.Builder> core;
    private final Map<Long, Request> running = new ConcurrentHashMap<>();

    private EngineUpstream(HttpClient client, URI base, Consumer<Envelope.Builder> core) {
        this.client = client;
        this.base = base;
        this.core = core;
    }

    /**
     * Starts to watch an engine.
     *
     * @param base  where it listens, such as {@code http://127.0.0.1:8081}
     * @param slots streams at once
     * @param core  takes what the engine does
     * @return the upstream
     * @throws IOException if the client can't be started
     */
    public static EngineUpstream start(URI base, int slots, Consumer<Envelope.Builder> core) throws IOException {
        EngineUpstream upstream = new EngineUpstream(UpstreamHttpClient.start(slots + 4), base, core);
        upstream.pollState();
        return upstream;
    }

    @Override
    public void handle(Envelope message) {
        switch (message.getBodyCase()) {
            case START_UPSTREAM -> startAttempt(message.getStartUpstream());
            case CANCEL_UPSTREAM -> cancel(message.getCancelUpstream().getAttempt());
            case READ_UPSTREAM -> readState(message.getReadUpstream().getToken(), () -> {});
            case APPLY_ORDER -> apply(message.getApplyOrder());
            default -> {
                // Not for an engine.
            }
        }
    }

    @Override
    public void close() {
        UpstreamHttpClient.stop(client);
    }

    private void startAttempt(StartUpstream start) {
        long attempt = start.getAttempt();
        Request request = UpstreamHttpClient.withTimeout(client.POST(base.resolve("/v1/completions")), STREAM_MILLIS);
        request.body(new BytesRequestContent("application/json", body(start)));
        if (!start.getTraceParent().isEmpty()) {
            request.headers(headers -> headers.put("traceparent", start.getTraceParent()));
        }
        AtomicBoolean begun = UpstreamHttpClient.watchBegin(request);
        EventLines lines = new EventLines();
        running.put(attempt, request);
        request.onResponseContent((response, content) -> {
            List<String> tokens = lines.take(content);
            if (!tokens.isEmpty()) {
                UpstreamPart.Builder part =
                        UpstreamPart.newBuilder().setAttempt(attempt).addAllTokens(tokens);
                core.accept(Envelope.newBuilder().setUpstreamPart(part));
            }
        });
        request.send(result -> {
            running.remove(attempt);
            core.accept(Envelope.newBuilder().setUpstreamEnd(end(attempt, result, lines, begun.get())));
        });
    }

    private static UpstreamEnd end(long attempt, Result result, EventLines lines, boolean begun) {
        if (result.isFailed()) {
            return UpstreamHttpClient.failed(attempt, result, begun);
        }
        int status = result.getResponse().getStatus();
        UpstreamEnd.Builder end = UpstreamEnd.newBuilder().setAttempt(attempt);
        if (status == 200 && lines.finishReason.equals("moved")) {
            return end.setRan(Ran.RAN).setCause(Cause.MOVED).build();
        }
        if (status == 200 && !lines.finishReason.isEmpty()) {
            return end.setRan(Ran.RAN).setFinishReason(lines.finishReason).build();
        }
        boolean refused = status == 429 || status == 503;
        return end.setRan(refused ? Ran.NOT_RUN : Ran.MAY_HAVE_RUN)
                .setCause(refused ? Cause.OVERLOADED : status == 400 ? Cause.BAD_REQUEST : Cause.CONNECTION_BROKEN)
                .build();
    }

    private static byte[] body(StartUpstream start) {
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
        Request request = running.remove(attempt);
        if (request != null) {
            request.abort(new IOException("cancelled"));
        }
    }

    /**
     * Writes an order. The deadline is looked at right before the write: an order that waited in this process, or whose
     * process was paused, must not start after its time, when a successor may already believe it never will.
     */
    private void apply(ApplyOrder apply) {
        Order order = apply.getOrder();
        if (System.nanoTime() - apply.getNotAfterNanos() > 0) {
            applied(order, false, Cause.ORDER_EXPIRED);
            return;
        }
        ObjectNode node = JSON.createObjectNode().put("term", order.getTerm()).put("number", order.getNumber());
        switch (order.getBody().getKindCase()) {
            case CHANGE_ROLE -> node.put("change_role", roleName(order.getBody().getChangeRole()));
            case LOAD_MODEL -> node.put("load_model", order.getBody().getLoadModel());
            case LOAD_ADAPTER -> node.put("load_adapter", order.getBody().getLoadAdapter());
            case UNLOAD_ADAPTER -> node.put("unload_adapter", order.getBody().getUnloadAdapter());
            case DRAIN, KIND_NOT_SET -> {
                applied(order, true, Cause.CAUSE_NONE);
                return;
            }
        }
        Request request = UpstreamHttpClient.withTimeout(client.POST(base.resolve("/orders")), ORDER_PATIENCE_MILLIS);
        request.body(new BytesRequestContent("application/json", node.toString().getBytes(StandardCharsets.UTF_8)));
        AtomicBoolean late = new AtomicBoolean();
        request.onRequestBegin(begun -> {
            if (System.nanoTime() - apply.getNotAfterNanos() > 0) {
                late.set(true);
                begun.abort(new IOException("the order's time is over"));
            }
        });
        request.send(result -> onOrderAnswer(order, result, late.get()));
    }

    private void onOrderAnswer(Order order, Result result, boolean late) {
        if (late) {
            applied(order, false, Cause.ORDER_EXPIRED);
        } else if (result.isFailed()) {
            applied(order, false, Cause.CONNECTION_BROKEN);
        } else {
            int status = result.getResponse().getStatus();
            Cause refusal = status == 412 ? Cause.STALE_ORDER : Cause.ORDER_PENDING;
            applied(order, status == 202, status == 202 ? Cause.CAUSE_NONE : refusal);
        }
    }

    private void applied(Order order, boolean accepted, Cause cause) {
        core.accept(Envelope.newBuilder()
                .setOrderApplied(OrderApplied.newBuilder()
                        .setNumber(order.getNumber())
                        .setAccepted(accepted)
                        .setCause(cause)));
    }

    private void pollState() {
        readState(0, () -> {
            if (client.isRunning()) {
                client.getScheduler().schedule(this::pollState, STATE_EVERY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void readState(long token, Runnable then) {
        org.eclipse.jetty.client.CompletableResponseListener listener =
                new org.eclipse.jetty.client.CompletableResponseListener(UpstreamHttpClient.withTimeout(
                        client.newRequest(base.resolve("/state")), STATE_PATIENCE_MILLIS));
        listener.send().whenComplete((response, failure) -> {
            UpstreamState state = failure != null || response.getStatus() != 200
                    ? UpstreamState.getDefaultInstance()
                    : state(response);
            core.accept(Envelope.newBuilder().setUpstreamState(state.toBuilder().setToken(token)));
            then.run();
        });
    }

    private static UpstreamState state(ContentResponse response) {
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
     * The name of a role in the protocol.
     *
     * @param role the role
     * @return its name
     */
    public static String roleName(Role role) {
        return role.name().substring("ROLE_".length()).toLowerCase(Locale.ROOT);
    }

    /**
     * The role of a name in the protocol.
     *
     * @param name the name
     * @return the role; unknown names count as mixed
     */
    public static Role parseRole(String name) {
        return switch (name) {
            case "prefill" -> Role.ROLE_PREFILL;
            case "decode" -> Role.ROLE_DECODE;
            default -> Role.ROLE_MIXED;
        };
    }

    /** Gathers the lines of an event stream and the tokens in them. */
    private static final class EventLines {

        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private String finishReason = "";

        private List<String> take(ByteBuffer content) {
            List<String> tokens = new ArrayList<>();
            while (content.hasRemaining()) {
                byte next = content.get();
                if (next != '\n') {
                    line.write(next);
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                if (text.startsWith(DATA + "{")) {
                    onEvent(text.substring(DATA.length()), tokens);
                }
            }
            return tokens;
        }

        private void onEvent(String json, List<String> tokens) {
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
                // A broken event leaves the stream without its end, which is told as a broken connection.
                finishReason = "";
            }
        }
    }
}
