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
 * The callers' interface: {@code /v1/chat/completions}, {@code /v1/completions}, {@code /v1/models}, and plain services
 * under {@code /services/NAME/}.
 */
public final class CallerApiHandler extends Handler.Abstract.NonBlocking {

    /** Header that names the caller's organisation. */
    public static final String ORGANISATION_HEADER = "Cuminshelf-Organisation";

    /** Header with the priority, 0 to 9. */
    public static final String PRIORITY_HEADER = "Cuminshelf-Priority";

    /** Header with the milliseconds in which the answer is needed. */
    public static final String DEADLINE_HEADER = "Cuminshelf-Deadline-Ms";

    /** Header with the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final String SERVICES = "/services/";
    private static final int LARGEST_BODY = 4 << 20;
    private static final int LONGEST_KEY = 255;
    private static final int LONGEST_DEADLINE = 3_600_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> HOP_HEADERS = Set.of(
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
    private final Map<Long, OpenCall> open = new ConcurrentHashMap<>();
    private final AtomicLong nextCall = new AtomicLong(1);

    /**
     * Makes the interface.
     *
     * @param core    takes calls
     * @param config  the configuration in force
     * @param spans   records the entry's hop
     * @param metrics counts calls
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
        if (path.startsWith(SERVICES)) {
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
     * Takes what the core sends to callers; called on the core's thread.
     *
     * @param message an answer's head, part or end
     */
    public void deliver(Envelope message) {
        switch (message.getBodyCase()) {
            case ANSWER_HEAD ->
                find(message.getAnswerHead().getCall()).ifPresent(call -> call.head(message.getAnswerHead()));
            case ANSWER_PART ->
                find(message.getAnswerPart().getCall()).ifPresent(call -> call.part(message.getAnswerPart()));
            case ANSWER_END -> onEnd(message.getAnswerEnd());
            default -> {
                // Not for callers.
            }
        }
    }

    private Optional<OpenCall> find(long id) {
        return Optional.ofNullable(open.get(id));
    }

    private void onEnd(AnswerEnd end) {
        OpenCall call = open.remove(end.getCall());
        if (call != null) {
            call.end(end);
            String verdict = OpenCall.verdict(end).label();
            metrics.ended(verdict, end);
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
                        .peekLeft(wrong -> Problem.badRequest(400, wrong).write(response, callback)));
    }

    private void startGeneration(
            Request request, Response response, Callback callback, CompletionRequest parsed, boolean chat) {
        CallArrived.Builder call = CallArrived.newBuilder().setGeneration(parsed.generation());
        if (!takeHeaders(request, response, callback, call)) {
            return;
        }
        long id = nextCall.getAndIncrement();
        Span span = startSpan(request, parsed.generation().getModel(), call);
        CompletionJson json = new CompletionJson(
                "cmpl-" + id, parsed.generation().getModel(), System.currentTimeMillis() / 1000, chat);
        Runnable onDisconnect = () -> gone(id);
        OpenCall openCall = parsed.stream()
                ? new OpenCall.StreamedCompletion(span, response, callback, onDisconnect, json)
                : new OpenCall.BufferedCompletion(span, response, callback, json);
        start(request, id, openCall, call);
    }

    private void onService(Request request, Response response, Callback callback, String path) {
        int end = path.indexOf('/', SERVICES.length());
        String name = end < 0 ? path.substring(SERVICES.length()) : path.substring(SERVICES.length(), end);
        String rest = end < 0 ? "/" : path.substring(end);
        String query = request.getHttpURI().getQuery();
        String target = query == null ? rest : rest + "?" + query;
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
            if (!HOP_HEADERS.contains(field.getLowerCaseName())) {
                exchange.addHeaders(Header.newBuilder().setName(field.getName()).setValue(field.getValue()));
            }
        }
        CallArrived.Builder call = CallArrived.newBuilder().setExchange(exchange);
        if (!takeHeaders(request, response, callback, call)) {
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
        long id = nextCall.getAndIncrement();
        Span span = startSpan(request, name, call);
        start(request, id, new OpenCall.ServiceCall(span, response, callback, () -> gone(id)), call);
    }

    private void start(Request request, long id, OpenCall openCall, CallArrived.Builder call) {
        open.put(id, openCall);
        metrics.started();
        request.addFailureListener(failure -> gone(id));
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

    private void gone(long id) {
        core.accept(Envelope.newBuilder().setCallGone(CallGone.newBuilder().setCall(id)));
    }

    private void readBody(Request request, Response response, Callback callback, Consumer<byte[]> onBody) {
        RequestBodyReader.read(
                request,
                response,
                LARGEST_BODY,
                onBody,
                () -> Problem.badRequest(413, "The body is larger than 4 MiB.").write(response, callback),
                failure -> Problem.badRequest(408, "The body did not come whole and in time.")
                        .write(response, callback));
    }

    /** Takes the headers that every call may have; answers the caller and returns false where one is wrong. */
    private static boolean takeHeaders(
            Request request, Response response, Callback callback, CallArrived.Builder call) {
        Optional<Integer> priority = number(request, PRIORITY_HEADER, 0, 9);
        Optional<Integer> deadline = number(request, DEADLINE_HEADER, 1, LONGEST_DEADLINE);
        String key = header(request, IDEMPOTENCY_KEY_HEADER);
        String wrong = "";
        if (!header(request, PRIORITY_HEADER).isEmpty() && priority.isEmpty()) {
            wrong = PRIORITY_HEADER + " must be a whole number from 0 to 9.";
        } else if (!header(request, DEADLINE_HEADER).isEmpty() && deadline.isEmpty()) {
            wrong = DEADLINE_HEADER + " must be a whole number from 1 to " + LONGEST_DEADLINE + ".";
        } else if (key.length() > LONGEST_KEY) {
            wrong = IDEMPOTENCY_KEY_HEADER + " must have at most " + LONGEST_KEY + " characters.";
        }
        if (!wrong.isEmpty()) {
            Problem.badRequest(400, wrong).write(response, callback);
            return false;
        }
        call.setOrganisation(header(request, ORGANISATION_HEADER));
        call.setPriority(priority.orElse(0));
        call.setDeadlineMs(deadline.orElse(0));
        call.setIdempotencyKey(key);
        return true;
    }

    private static String header(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().get(name)).orElse("");
    }

    private static Optional<Integer> number(Request request, String name, int least, int most) {
        try {
            int value = Integer.parseInt(header(request, name));
            return value >= least && value <= most ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
