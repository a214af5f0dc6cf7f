package org.cuminshelf.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminshelf.config.FleetConfig;
import org.cuminshelf.config.ServiceConfig;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.CallGone;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.Header;
import org.cuminshelf.spans.Spans;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP handler of the API for callers: {@code /v1/chat/completions}, {@code /v1/completions}, {@code /v1/models}, and
 * plain services under {@code /services/NAME/}.
 */
public final class CallerApiHandler extends Handler.Abstract.NonBlocking {

    /** Header with the caller's organisation. */
    public static final String ORGANISATION_HEADER = "Cuminshelf-Organisation";

    /** Header with the priority, from 0 to 9. */
    public static final String PRIORITY_HEADER = "Cuminshelf-Priority";

    /** Header with the time in milliseconds within which the response is needed. */
    public static final String DEADLINE_HEADER = "Cuminshelf-Deadline-Ms";

    /** Header with the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final String SERVICES_PREFIX = "/services/";
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final int MAX_DEADLINE_MILLIS = 3_600_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
            "connection",
            "host",
            "content-length",
            "transfer-encoding",
            "keep-alive",
            "te",
            "trailer",
            "upgrade",
            "expect",
            "proxy-connection",
            "traceparent");

    private final Consumer<Envelope.Builder> core;
    private final Supplier<FleetConfig> config;
    private final Spans spans;
    private final CallMetrics metrics;
    private final Map<Long, OpenCall> openCalls = new ConcurrentHashMap<>();
    private final AtomicLong nextCallId = new AtomicLong(1);

    /**
     * Creates the handler.
     *
     * @param core    receives the calls
     * @param config  supplies the configuration in force
     * @param spans   records the entry's spans
     * @param metrics metrics of the calls
     */
    public CallerApiHandler(
            Consumer<Envelope.Builder> core, Supplier<FleetConfig> config, Spans spans, CallMetrics metrics) {
        this.core = core;
        this.config = config;
        this.spans = spans;
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.startsWith(SERVICES_PREFIX)) {
            onService(request, response, callback, path);
        } else if (path.equals("/v1/models")) {
            onModels(response, callback);
        } else if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
            onCompletion(request, response, callback, path.contains("chat"));
        } else {
            return false;
        }
        return true;
    }

    /**
     * Forwards an answer of the core to its caller; called on the core's thread.
     *
     * @param message head, part or end of an answer
     */
    public void deliver(Envelope message) {
        switch (message.getBodyCase()) {
            case ANSWER_HEAD ->
                findCall(message.getAnswerHead().getCall()).ifPresent(call -> call.onHead(message.getAnswerHead()));
            case ANSWER_PART ->
                findCall(message.getAnswerPart().getCall()).ifPresent(call -> call.onPart(message.getAnswerPart()));
            case ANSWER_END -> onAnswerEnd(message.getAnswerEnd());
            default -> {
                // Other messages are not for callers.
            }
        }
    }

    private Optional<OpenCall> findCall(long id) {
        return Optional.ofNullable(openCalls.get(id));
    }

    private void onAnswerEnd(AnswerEnd end) {
        OpenCall call = openCalls.remove(end.getCall());
        if (call != null) {
            call.onEnd(end);
            String verdict = OpenCall.verdict(end).label();
            metrics.onEnded(verdict, end);
            Spans.end(call.span(), verdict, !end.getWhole());
        }
    }

    private void onModels(Response response, Callback callback) {
        ObjectNode body = JSON.createObjectNode().put("object", "list");
        ArrayNode data = body.putArray("data");
        for (String model : config.get().models().keySet()) {
            data.addObject().put("id", model).put("object", "model").put("owned_by", "cuminshelf");
        }
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(
                true, ByteBuffer.wrap(body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8)), callback);
    }

    private void onCompletion(Request request, Response response, Callback callback, boolean chat) {
        if (!request.getMethod().equals("POST")) {
            Problem.badRequest(405, "Use POST here.").write(response, callback);
            return;
        }
        readBody(
                request,
                response,
                callback,
                body -> CompletionRequest.parse(body, chat)
                        .peek(parsed -> startGeneration(request, response, callback, parsed, chat))
                        .peekLeft(error -> Problem.badRequest(400, error).write(response, callback)));
    }

    private void startGeneration(
            Request request, Response response, Callback callback, CompletionRequest parsed, boolean chat) {
        CallArrived.Builder call = CallArrived.newBuilder().setGeneration(parsed.generation());
        if (!copyCallHeaders(request, response, callback, call)) {
            return;
        }
        long id = nextCallId.getAndIncrement();
        Span span = startSpan(request, parsed.generation().getModel(), call);
        CompletionJson json = new CompletionJson(
                "cmpl-" + id, parsed.generation().getModel(), System.currentTimeMillis() / 1000, chat);
        Runnable onDisconnect = () -> cancelCall(id);
        OpenCall openCall = parsed.stream()
                ? new OpenCall.StreamedCompletion(span, response, callback, onDisconnect, json)
                : new OpenCall.BufferedCompletion(span, response, callback, json);
        start(request, id, openCall, call);
    }

    private void onService(Request request, Response response, Callback callback, String path) {
        int end = path.indexOf('/', SERVICES_PREFIX.length());
        String name =
                end < 0 ? path.substring(SERVICES_PREFIX.length()) : path.substring(SERVICES_PREFIX.length(), end);
        String subPath = end < 0 ? "/" : path.substring(end);
        String query = request.getHttpURI().getQuery();
        String target = query == null ? subPath : subPath + "?" + query;
        readBody(request, response, callback, body -> startExchange(request, response, callback, name, target, body));
    }

    private void startExchange(
            Request request, Response response, Callback callback, String name, String target, byte[] body) {
        Optional<ServiceConfig> service =
                Optional.ofNullable(config.get().services().get(name));
        boolean idempotent =
                service.map(found -> found.isIdempotent(request.getMethod())).orElse(false);
        Exchange.Builder exchange = Exchange.newBuilder()
                .setService(name)
                .setMethod(request.getMethod())
                .setPath(target)
                .setIdempotent(idempotent)
                .setBody(ByteString.copyFrom(body));
        for (HttpField field : request.getHeaders()) {
            if (!UNFORWARDED_HEADERS.contains(field.getLowerCaseName())) {
                exchange.addHeaders(Header.newBuilder().setName(field.getName()).setValue(field.getValue()));
            }
        }
        CallArrived.Builder call = CallArrived.newBuilder().setExchange(exchange);
        if (!copyCallHeaders(request, response, callback, call)) {
            return;
        }
        boolean keyMissing = service.flatMap(ServiceConfig::requireKey).orElse(false)
                && !idempotent
                && call.getIdempotencyKey().isEmpty();
        if (keyMissing) {
            Problem.badRequest(
                            428,
                            "This service wants an " + IDEMPOTENCY_KEY_HEADER
                                    + " header on requests that change something.")
                    .write(response, callback);
            return;
        }
        long id = nextCallId.getAndIncrement();
        Span span = startSpan(request, name, call);
        start(request, id, new OpenCall.ServiceCall(span, response, callback, () -> cancelCall(id)), call);
    }

    private void start(Request request, long id, OpenCall openCall, CallArrived.Builder call) {
        openCalls.put(id, openCall);
        metrics.onStarted();
        request.addFailureListener(failure -> cancelCall(id));
        core.accept(Envelope.newBuilder().setCallArrived(call.setCall(id)));
    }

    private Span startSpan(Request request, String target, CallArrived.Builder call) {
        String received =
                Optional.ofNullable(request.getHeaders().get("traceparent")).orElse("");
        Span span = spans.start("entry " + target, SpanKind.SERVER, received);
        span.setAttribute("cuminshelf.organisation", call.getOrganisation());
        call.setTraceParent(Spans.traceParent(span, received));
        return span;
    }

    private void cancelCall(long id) {
        core.accept(Envelope.newBuilder().setCallGone(CallGone.newBuilder().setCall(id)));
    }

    private void readBody(Request request, Response response, Callback callback, Consumer<byte[]> onBody) {
        RequestBodyReader.read(
                request,
                response,
                MAX_BODY_BYTES,
                onBody,
                () -> Problem.badRequest(413, "The body is larger than 4 MiB.").write(response, callback),
                failure -> Problem.badRequest(408, "The body did not come whole and in time.")
                        .write(response, callback));
    }

    /** Copies the headers common to all calls; if one is invalid, responds with an error and returns false. */
    private static boolean copyCallHeaders(
            Request request, Response response, Callback callback, CallArrived.Builder call) {
        Optional<Integer> priority = parseHeaderNumber(request, PRIORITY_HEADER, 0, 9);
        Optional<Integer> deadlineMillis = parseHeaderNumber(request, DEADLINE_HEADER, 1, MAX_DEADLINE_MILLIS);
        String key = header(request, IDEMPOTENCY_KEY_HEADER);
        String error = "";
        if (!header(request, PRIORITY_HEADER).isEmpty() && priority.isEmpty()) {
            error = PRIORITY_HEADER + " must be a whole number from 0 to 9.";
        } else if (!header(request, DEADLINE_HEADER).isEmpty() && deadlineMillis.isEmpty()) {
            error = DEADLINE_HEADER + " must be a whole number from 1 to " + MAX_DEADLINE_MILLIS + ".";
        } else if (key.length() > MAX_KEY_CHARACTERS) {
            error = IDEMPOTENCY_KEY_HEADER + " must have at most " + MAX_KEY_CHARACTERS + " characters.";
        }
        if (!error.isEmpty()) {
            Problem.badRequest(400, error).write(response, callback);
            return false;
        }
        call.setOrganisation(header(request, ORGANISATION_HEADER));
        call.setPriority(priority.orElse(0));
        call.setDeadlineMs(deadlineMillis.orElse(0));
        call.setIdempotencyKey(key);
        return true;
    }

    private static String header(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().get(name)).orElse("");
    }

    private static Optional<Integer> parseHeaderNumber(Request request, String name, int min, int max) {
        try {
            int value = Integer.parseInt(header(request, name));
            return value >= min && value <= max ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
