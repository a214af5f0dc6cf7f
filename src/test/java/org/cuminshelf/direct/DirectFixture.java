package org.cuminshelf.direct;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.cuminshelf.backpressure.TestBackpressureHeaders;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.DocumentCompression;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.ConfigBody;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.TakenPrompt;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.organisations.RequestApiKeys;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.routes.RoutedService;
import org.cuminshelf.routes.WeightedService;
import org.eclipse.jetty.http.HttpFields;

/** Runs a {@link DirectCore} against a scripted control process, other entries, callers, upstreams and clock. */
final class DirectFixture {

    static final Address CONTROL = Address.of("10.0.0.1:7000");
    /** Time for which the control process has listened to upstreams. */
    private static final long CONTROL_WATCHED_MILLIS = 60_000;

    static final Address SELF = Address.of("10.0.1.1:7000");
    private static final HttpFields SEALED = HttpFields.build().put("Seal", "s").put("Transfer-Encoding", "chunked");

    private static final long USUAL_START_NANOS = -Durations.nanos(1_000);
    /** Time from the start of an entry until it knows all retries of the window. */
    private static final long RETRY_WINDOW_KNOWN_NANOS = Durations.nanos(11_000);

    long now;
    final RecordingOutbox out = new RecordingOutbox();
    final List<SentRequest> sentRequests = new ArrayList<>();
    final DirectCore core;
    private RouteTable routeTable;
    private int directoryVersion;
    /** Result of every probe of an upstream. */
    Reachability reachability = Reachability.LISTENING;
    /** Number of probes so far. */
    int probeCount;
    /** Lines of the decision log, as {@code kind id name=value ...}. */
    final List<String> logLines = new ArrayList<>();

    DirectFixture(Route... routes) {
        this(Organisations.unrestricted(), routes);
    }

    DirectFixture(RetryLimits retryLimits, Route... routes) {
        this(USUAL_START_NANOS, retryLimits, Organisations.unrestricted(), routes);
        now += RETRY_WINDOW_KNOWN_NANOS;
    }

    DirectFixture(Organisations organisations, Route... routes) {
        this(USUAL_START_NANOS, new RetryLimits(0.2, 100, 10_000), organisations, routes);
        now += RETRY_WINDOW_KNOWN_NANOS;
    }

    /** Starts an entry at a time in nanoseconds. */
    DirectFixture(long startNanos, RetryLimits retryLimits, Organisations organisations, Route... routes) {
        this.now = startNanos;
        this.routeTable = routeTable(7, organisations, routes);
        this.core = DirectCore.start(
                new DirectSettings("r", "z", "vm", List.of(CONTROL), retryLimits, OptionalLong.of(5_000)),
                SELF,
                new TestProtocol(),
                RouteTableReader.synchronous(document -> Optional.of(routeTable)),
                new RecordingClient(),
                () -> now,
                Invariants.throwing(),
                new RecordingLog());
    }

    static RouteTable routeTable(long version, Organisations organisations, Route... routes) {
        Map<String, RoutedService> services = Map.of("s", new RoutedService("s", 100, Optional.empty()));
        return RouteTable.of(version, List.of(routes), services, organisations, CallerLimits.DEFAULT);
    }

    /** Longest gap between two events that counts as on time for the route's callers, in milliseconds. */
    static final long PAUSE_MILLIS = 200;

    static Route route(RequestKind kind, int attempts, boolean resumable) {
        return route(kind, attempts, resumable, 1_000);
    }

    /** A route on which requests may be repeated and wait for 8 s; they must state that as their deadline. */
    static Route patientRoute(RequestKind kind, int attempts) {
        return route(kind, attempts, kind == RequestKind.STREAM, 8_000);
    }

    static Route route(RequestKind kind, int attempts, boolean resumable, long timeoutMillis) {
        return new Route(
                "r",
                "h",
                "/a/",
                kind,
                timeoutMillis,
                200,
                0,
                List.of(new WeightedService("s", 1)),
                attempts,
                resumable,
                PAUSE_MILLIS,
                false);
    }

    DirectFixture becomeReady() {
        sendUpdate(Update.newBuilder()
                .setVoter(true)
                .setConfigVersion(7)
                .setConfirmed(true)
                .setWatchedMs(CONTROL_WATCHED_MILLIS));
        return applyConfig(routeTable);
    }

    /** Delivers the body of a configuration. */
    DirectFixture applyConfig(RouteTable routes) {
        routeTable = routes;
        core.accept(
                now,
                Envelope.newBuilder()
                        .setFrom(CONTROL.value())
                        .setConfigBody(ConfigBody.newBuilder()
                                .setVersion(routes.version())
                                .setDeflated(DocumentCompression.deflate(ByteString.copyFromUtf8("x"))))
                        .build(),
                out);
        return this;
    }

    DirectFixture addUpstream(String id, Role role) {
        sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(heartbeat(id, role)));
        return this;
    }

    /** Delivers the answer of control to the last question about a stream that its caller takes up again. */
    void answerStreamQuery(String... versions) {
        StreamQuery query = out.take(Envelope::hasStreamQuery).getLast().getStreamQuery();
        StreamAnswer answer = StreamAnswer.newBuilder()
                .setNumber(query.getNumber())
                .addAllVersions(List.of(versions))
                .setComplete(true)
                .build();
        core.accept(
                now,
                Envelope.newBuilder()
                        .setFrom(CONTROL.value())
                        .setStreamAnswer(answer)
                        .build(),
                out);
    }

    /** Delivers the list of entries from control. */
    void setEntries(String... addresses) {
        sendUpdate(Update.newBuilder().addAllEntryAddresses(List.of(addresses)));
    }

    static UpstreamBeat heartbeat(String id, Role role) {
        return UpstreamBeat.newBuilder()
                .setId(id)
                .setName(id)
                .setService("s")
                .setAddress(address(id).value())
                .setZone("z")
                .setSequence(1)
                .setSlots(6)
                .setRole(role)
                .build();
    }

    static Address address(String id) {
        return Address.of("10.9.0.1:" + (80 + id.hashCode() % 10_000));
    }

    void sendUpdate(Update.Builder update) {
        core.accept(
                now,
                Envelope.newBuilder().setFrom(CONTROL.value()).setUpdate(update).build(),
                out);
    }

    /**
     * Sends a caller's request; the header {@code Tokens} makes it a generation with so many prompt tokens, and
     * {@code Segment} gives its prompt one more segment.
     */
    CallerResponse sendRequest(String id, String... headers) {
        return sendRequestTo("/a/b", id, headers);
    }

    CallerResponse sendRequestTo(String path, String id, String... headers) {
        HttpFields.Mutable fields = HttpFields.build().put("Host", "h").put("Id", id);
        for (int index = 0; index < headers.length; index += 2) {
            fields.put(headers[index], headers[index + 1]);
        }
        CallerResponse answer = new CallerResponse();
        core.onRequest(new ReceivedRequest("POST", path, fields.asImmutable(), new byte[0]), answer);
        return answer;
    }

    /**
     * Delivers another entry's observations of prefill times: a constant latency plus a time per thousand tokens. An
     * entry's estimates of engines are based on such observations.
     */
    DirectFixture reportPrefillTimes(String engine, Role role, double latencyMillis, double millisPerThousand) {
        for (int index = 0; index < 60; index++) {
            int tokens = 100 + 70 * index;
            reportLoad(EntryLoad.newBuilder()
                    .addTaken(TakenPrompt.newBuilder()
                            .setUpstream(engine)
                            .setBesideStreams(role != Role.ROLE_PREFILL)
                            .setUncached(tokens)
                            .setTookUs((int) (1_000 * (latencyMillis + millisPerThousand * tokens / 1_000)))));
        }
        return this;
    }

    /** Delivers a load report of another entry. */
    void reportLoad(EntryLoad.Builder load) {
        reportLoadFrom("10.0.1.2:7000", load);
    }

    /** Delivers a load report of the entry at an address. */
    void reportLoadFrom(String address, EntryLoad.Builder load) {
        core.accept(
                now, Envelope.newBuilder().setFrom(address).setEntryLoad(load).build(), out);
    }

    void advance(long millis) {
        long end = now + Durations.nanos(millis);
        while (core.nextDue() < end) {
            now = Math.max(now, core.nextDue());
            core.tick(now, out);
        }
        now = end;
        core.tick(now, out);
    }

    /** Lets time pass in which this process neither ticks nor reads what has arrived; then it ticks once. */
    void standStill(long millis) {
        now += Durations.nanos(millis);
        core.tick(now, out);
    }

    SentRequest lastSent() {
        return sentRequests.getLast();
    }

    /** Records the response to a caller. */
    static class CallerResponse implements CallerExchange {
        int status;
        HttpFields headers = HttpFields.EMPTY;
        final StringBuilder body = new StringBuilder();
        boolean complete;
        boolean aborted;
        boolean callerLeft;

        @Override
        public boolean hasCallerLeft() {
            return callerLeft;
        }

        @Override
        public void respond(int answered, HttpFields fields, ByteBuffer bytes) {
            status = answered;
            headers = fields;
            writePart(bytes);
            complete = true;
        }

        @Override
        public void beginResponse(int answered, HttpFields fields) {
            status = answered;
            headers = fields;
        }

        @Override
        public void writePart(ByteBuffer bytes) {
            body.append(StandardCharsets.UTF_8.decode(bytes));
        }

        @Override
        public void endResponse() {
            complete = true;
        }

        @Override
        public void abort() {
            aborted = true;
        }
    }

    /** A request that was sent to an upstream, with methods to respond to it. */
    static final class SentRequest implements UpstreamExchange {
        final String upstream;
        final UpstreamRequest request;
        final UpstreamHandler handler;
        boolean cancelled;
        /** Whether it has been written to a connection. */
        boolean written = true;

        SentRequest(String upstream, UpstreamRequest request, UpstreamHandler handler) {
            this.upstream = upstream;
            this.request = request;
            this.handler = handler;
        }

        void respondHead(int status, String... headers) {
            HttpFields.Mutable fields = HttpFields.build();
            for (int index = 0; index < headers.length; index += 2) {
                fields.put(headers[index], headers[index + 1]);
            }
            handler.onHead(status, fields);
        }

        void respondSealedHead(int status) {
            handler.onHead(status, SEALED);
        }

        void respondBody(String text) {
            handler.onBody(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }

        void respond(int status, String text) {
            respondSealedHead(status);
            respondBody(text);
            handler.onComplete();
        }

        @Override
        public boolean isSent() {
            return written;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    /** Returns a client for tests that must not send anything. */
    static UpstreamClient noClient() {
        return new UpstreamClient() {
            @Override
            public UpstreamExchange send(
                    Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
                throw new UnsupportedOperationException("unexpected request to an upstream");
            }

            @Override
            public void discardIdleConnections(Address address, String upstream) {
                throw new UnsupportedOperationException("unexpected discard of connections");
            }

            @Override
            public void probe(Address address, String upstream, Consumer<Reachability> whenSeen) {
                throw new UnsupportedOperationException("unexpected probe of an upstream");
            }
        };
    }

    private final class RecordingClient implements UpstreamClient {
        @Override
        public UpstreamExchange send(
                Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
            SentRequest sentRequest = new SentRequest(upstream, request, handler);
            sentRequests.add(sentRequest);
            return sentRequest;
        }

        @Override
        public void discardIdleConnections(Address address, String upstream) {
            // The fixture keeps no connections.
        }

        @Override
        public void probe(Address address, String upstream, Consumer<Reachability> whenSeen) {
            probeCount++;
            whenSeen.accept(reachability);
        }
    }

    /** Returns the lines of the log that contain all the texts. */
    List<String> linesWith(String... texts) {
        return logLines.stream()
                .filter(line -> Arrays.stream(texts).allMatch(line::contains))
                .toList();
    }

    private final class RecordingLog implements DecisionLog {
        @Override
        public void note(String kind, String id, Object... fields) {
            StringBuilder line = new StringBuilder(kind + " " + id);
            for (int index = 0; index + 1 < fields.length; index += 2) {
                line.append(' ').append(fields[index]).append('=').append(fields[index + 1]);
            }
            logLines.add(line.toString());
        }

        @Override
        public void noteCompletion(String id, Object... fields) {
            note("request", id, fields);
        }
    }

    /** A minimal protocol that uses short header names. */
    private static final class TestProtocol implements UpstreamProtocol {
        @Override
        public CallIntent readIntent(ReceivedRequest request) {
            HttpFields headers = request.headers();
            Optional<GenerationShape> shape = Optional.ofNullable(headers.get("Tokens"))
                    .map(tokens -> new GenerationShape("m", Integer.parseInt(tokens), 100, segments(headers)));
            return new CallIntent(
                    headers.get("Id"),
                    deadline(headers),
                    shape,
                    number(headers.get("Last")),
                    Optional.ofNullable(headers.get("Resumes")),
                    keys(headers));
        }

        private static List<PromptSegment> segments(HttpFields headers) {
            List<PromptSegment> segments = new ArrayList<>();
            segments.add(new PromptSegment("shared", sharedTokens(headers)));
            headers.getValuesList("Segment").forEach(name -> segments.add(new PromptSegment(name, 10)));
            segments.add(new PromptSegment(headers.get("Id"), 10));
            return segments;
        }

        private static OptionalLong deadline(HttpFields headers) {
            return headers.contains("Deadline") ? number(headers.get("Deadline")) : OptionalLong.of(800);
        }

        private static int sharedTokens(HttpFields headers) {
            return Optional.ofNullable(headers.get("Shared"))
                    .map(Integer::parseInt)
                    .orElse(100);
        }

        private static RequestApiKeys keys(HttpFields headers) {
            return new RequestApiKeys(
                    headers.getValuesList("Key").stream().map(ApiKeyDigest::of).toList());
        }

        private static OptionalLong number(String value) {
            return value == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(value));
        }

        @Override
        public UpstreamRequest attemptRequest(ReceivedRequest request, AttemptPlan plan) {
            HttpFields.Mutable fields = HttpFields.build()
                    .put("Expect", plan.upstream())
                    .put("Request", request.headers().get("Id"))
                    .put("Left", String.valueOf(plan.remainingMillis()))
                    .put("Prefill", String.valueOf(plan.prefillOnly()));
            plan.organisation().ifPresent(name -> fields.put("Organisation", name));
            plan.cache().ifPresent(cache -> fields.put("Cache", cache.handle()));
            plan.prefixSource().ifPresent(engine -> fields.put("Parts-From", engine.value()));
            plan.resumeAfter().ifPresent(event -> fields.put("Last", String.valueOf(event)));
            return new UpstreamRequest("POST", request.target(), fields, request.body());
        }

        @Override
        public UpstreamRequest releaseRequest(KvCacheHandle handle) {
            return new UpstreamRequest("DELETE", "/" + handle.handle(), HttpFields.EMPTY, new byte[0]);
        }

        @Override
        public ResponseMetadata readMetadata(int status, HttpFields headers) {
            return new ResponseMetadata(
                    Optional.ofNullable(headers.get("Id")),
                    headers.contains("Not-Run"),
                    Optional.ofNullable(headers.get("Start")),
                    headers.contains("Seal"),
                    TestBackpressureHeaders.read(headers));
        }

        @Override
        public Optional<String> readCacheHandle(byte[] body) {
            return Optional.of(new String(body, StandardCharsets.UTF_8)).filter(text -> !text.isEmpty());
        }
    }
}
