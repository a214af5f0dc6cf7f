package org.cuminshelf.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import org.cuminshelf.core.Address;
import org.cuminshelf.http.HttpListener;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.UpstreamState;
import org.cuminshelf.upstream.EngineUpstream;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP server that runs an {@link EngineModel} in real time and implements the engine protocol. */
public final class StandInEngine extends Handler.Abstract implements EngineEvents, AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MAX_PARK_NANOS = 5_000_000;

    private final EngineModel model;
    private final Map<Long, EventStream> streams = new HashMap<>();
    private final Thread thread = new Thread(this::run, "stand-in-engine");
    private HttpListener listener;
    private long nextStreamId = 1;
    private volatile boolean running = true;

    private StandInEngine(EngineModel model) {
        this.model = model;
    }

    /**
     * Starts an engine server.
     *
     * @param address     the listen address; port 0 selects a free port
     * @param speed       the performance parameters
     * @param checksFence whether an order is refused if its number is not above that of the last accepted order
     * @param models      the loaded models
     * @return the running engine
     * @throws IOException if the address cannot be bound
     */
    public static StandInEngine start(Address address, EngineSpeed speed, boolean checksFence, List<String> models)
            throws IOException {
        StandInEngine engine = new StandInEngine(EngineModel.idle(speed, checksFence, models));
        engine.listener = HttpListener.start(address, 32, engine, java.util.Optional.empty());
        engine.thread.setDaemon(true);
        engine.thread.start();
        return engine;
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port
     */
    public int port() {
        return listener.port();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        switch (Request.getPathInContext(request)) {
            case "/v1/completions" -> handleCompletion(request, response, callback);
            case "/state" -> handleState(response, callback);
            case "/orders" -> handleOrder(request, response, callback);
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        running = false;
        thread.interrupt();
        listener.close();
    }

    @Override
    public void tokens(long stream, List<String> tokens) {
        EventStream eventStream = streams.get(stream);
        if (eventStream != null) {
            tokens.forEach(eventStream::sendToken);
        }
    }

    @Override
    public void finished(long stream, String finishReason) {
        EventStream eventStream = streams.remove(stream);
        if (eventStream != null) {
            eventStream.finish(finishReason);
        }
    }

    private void run() {
        while (running) {
            long nextDue;
            synchronized (this) {
                model.advance(System.nanoTime(), this);
                nextDue = model.nextDue();
            }
            LockSupport.parkNanos(Math.clamp(nextDue - System.nanoTime(), 1, MAX_PARK_NANOS));
        }
    }

    private void handleCompletion(Request request, Response response, Callback callback) throws IOException {
        JsonNode node = JSON.readTree(Content.Source.asString(request, StandardCharsets.UTF_8));
        Generation.Builder generation = Generation.newBuilder()
                .setModel(node.path("model").asText())
                .setPrompt(node.path("prompt").asText())
                .setMaxTokens(node.path("max_tokens").asInt(16));
        generation.setPromptTokens(node.path("prompt_tokens")
                .asInt(Math.max(1, generation.getPrompt().length() / 4)));
        generation.setPrefillOnly(node.path("prefill_only").asBoolean());
        generation.setKvFrom(node.path("kv_from").asText(""));
        node.path("held_tokens").forEach(token -> generation.addHeld(token.asText()));
        node.path("prefix_blocks").forEach(block -> generation.addPrefix(block.asLong()));
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        synchronized (this) {
            long id = nextStreamId++;
            EventStream stream = new EventStream(response, callback);
            streams.put(id, stream);
            request.addFailureListener(failure -> cancel(id));
            stream.onConnectionLost(() -> cancel(id));
            model.start(
                    System.nanoTime(),
                    id,
                    generation.build(),
                    node.path("priority").asInt(4));
        }
        LockSupport.unpark(thread);
    }

    private synchronized void cancel(long id) {
        if (streams.remove(id) != null) {
            model.cancel(id);
        }
    }

    private void handleState(Response response, Callback callback) {
        UpstreamState state;
        synchronized (this) {
            state = model.state(System.nanoTime());
        }
        LoadReport load = state.getLoad();
        ObjectNode node = JSON.createObjectNode()
                .put("running", load.getRunning())
                .put("queued", load.getQueued())
                .put("queued_prompt_tokens", load.getQueuedPromptTokens())
                .put("role", EngineUpstream.roleName(load.getRole()))
                .put("fence", state.getFence())
                .put("changing", state.getChanging());
        ArrayNode models = node.putArray("models");
        load.getModelsList().forEach(models::add);
        ArrayNode adapters = node.putArray("adapters");
        load.getAdaptersList().forEach(adapters::add);
        ArrayNode cached = node.putArray("cached_blocks");
        load.getCachedList().forEach(cached::add);
        writeJson(response, callback, 200, node);
    }

    private void handleOrder(Request request, Response response, Callback callback) throws IOException {
        JsonNode node = JSON.readTree(Content.Source.asString(request, StandardCharsets.UTF_8));
        OrderBody.Builder body = OrderBody.newBuilder();
        if (node.has("change_role")) {
            body.setChangeRole(EngineUpstream.parseRole(node.get("change_role").asText()));
        } else if (node.has("load_model")) {
            body.setLoadModel(node.get("load_model").asText());
        } else if (node.has("load_adapter")) {
            body.setLoadAdapter(node.get("load_adapter").asText());
        } else if (node.has("unload_adapter")) {
            body.setUnloadAdapter(node.get("unload_adapter").asText());
        }
        Order order = Order.newBuilder()
                .setTerm(node.path("term").asLong())
                .setNumber(node.path("number").asLong())
                .setBody(body)
                .build();
        Cause refusal;
        synchronized (this) {
            refusal = model.order(System.nanoTime(), order);
        }
        LockSupport.unpark(thread);
        int status = switch (refusal) {
            case CAUSE_NONE -> 202;
            case STALE_ORDER -> 412;
            default -> 409;
        };
        writeJson(response, callback, status, JSON.createObjectNode().put("refusal", refusal.name()));
    }

    private static void writeJson(Response response, Callback callback, int status, ObjectNode node) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(node.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }
}
