package org.cuminshelf.trial;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.backpressure.TestBackpressureHeaders;
import org.cuminshelf.control.ControlCore;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.direct.AttemptPlan;
import org.cuminshelf.direct.CallIntent;
import org.cuminshelf.direct.DirectCore;
import org.cuminshelf.direct.DirectSettings;
import org.cuminshelf.direct.GenerationShape;
import org.cuminshelf.direct.KvCacheHandle;
import org.cuminshelf.direct.PromptSegment;
import org.cuminshelf.direct.ResponseMetadata;
import org.cuminshelf.direct.RetryLimits;
import org.cuminshelf.direct.RouteTableReader;
import org.cuminshelf.direct.UpstreamClient;
import org.cuminshelf.direct.UpstreamProtocol;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.organisations.ApiKeyDigest;
import org.cuminshelf.organisations.RequestApiKeys;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.ReplicaSettings;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.routes.RoutedService;
import org.cuminshelf.routes.WeightedService;
import org.eclipse.jetty.http.HttpFields;

/** Control processes, entries that reach upstreams straight, and engines that may crash, all in virtual time. */
final class DirectFleet {

    static final String SERVICE = "s";
    /** The second service of fleets that have two. */
    static final String OTHER_SERVICE = "t";

    /** A route whose streams may go on elsewhere, one whose may not, and one of idempotent requests. */
    static final String RESUMABLE = "/a/";

    static final String ONCE = "/b/";
    static final String IDEMPOTENT = "/c/";

    private static final String SEGMENTS = "Segments";

    private static final int CONTROL = 3;
    private static final long CONFIG_VERSION = 7;
    /** Time that callers give their requests. */
    static final long PATIENCE_MILLIS = 6_000;

    /** Time from the end of an entry's standstill in which it looks at its timers, before it reads its sockets. */
    private static final long UNREAD_NANOS = 200_000;

    private static final int USUAL_ATTEMPTS = 2;
    private static final RetryLimits GENEROUS = new RetryLimits(0.2, 1_000, 10_000);

    final VirtualTime time = new VirtualTime();
    final VirtualNetwork network;
    final List<VirtualNode> control = new ArrayList<>();
    final List<VirtualNode> entries = new ArrayList<>();
    private static final RequestApiKeys CALLER = new RequestApiKeys(List.of(ApiKeyDigest.of("caller")));

    final List<CrashingEngine> engines = new ArrayList<>();
    final CrashingEngine.Records records = new CrashingEngine.Records();
    final UniformRandomProvider random;
    private final List<Address> controlAddresses = new ArrayList<>();
    private final Map<Address, CrashingEngine> byAddress = new HashMap<>();
    /** Configurations by the text of their document. */
    private final Map<String, RouteTable> configurations = new HashMap<>();
    /** What reached entries that stand still, and waits in their sockets. */
    private final Map<Address, List<Runnable>> unread = new HashMap<>();

    private final List<Standstill> standstills = new ArrayList<>();
    private final Shape shape;
    private long configVersion = CONFIG_VERSION;
    private int nextRequest;
    /** Why resumed streams went on or were refused, at all entries. */
    final ResumptionOutcomes resumptionOutcomes = new ResumptionOutcomes(time::now);

    /**
     * Size and limits of a fleet.
     *
     * @param entries  entries
     * @param engines  engines of all services
     * @param services one or two, to which all routes lead with equal weights at first
     * @param attempts attempts that a repeatable request may take
     * @param retries  limits on the retries of the service
     */
    record Shape(int entries, int engines, int services, int attempts, RetryLimits retries) {}

    DirectFleet(long seed, int entryCount, int engineCount) {
        this(seed, new Shape(entryCount, engineCount, 1, USUAL_ATTEMPTS, GENEROUS));
    }

    DirectFleet(long seed, Shape shape) {
        this.shape = shape;
        configurations.put(
                document(CONFIG_VERSION), routes(CONFIG_VERSION, PATIENCE_MILLIS, 1, 0, CallerLimits.DEFAULT));
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        network = new VirtualNetwork(time, ownRandom());
        for (int number = 1; number <= CONTROL; number++) {
            controlAddresses.add(Address.of("10.0.0." + number + ":7000"));
        }
        controlAddresses.forEach(this::addControl);
        for (int number = 1; number <= shape.entries(); number++) {
            addEntry(Address.of("10.0.1." + number + ":7000"), number);
        }
        for (int number = 1; number <= shape.engines(); number++) {
            Address address = Address.of("10.9.0." + number + ":8000");
            String service = number % shape.services() == 0 ? SERVICE : OTHER_SERVICE;
            CrashingEngine engine =
                    new CrashingEngine(address, service, time, network, ownRandom(), controlAddresses, records);
            engines.add(engine);
            byAddress.put(address, engine);
            time.after(random.nextLong(1_000_000_000L), engine::start);
        }
        for (int second = 1; second <= 4; second++) {
            time.at(second * 1_000_000_000L, this::configure);
        }
    }

    /** A time in which an entry stood still. */
    private record Standstill(Address entry, long from, long until) {}

    /** Whether an entry stood still at some time between two. */
    boolean stoodStill(Address entry, long from, long until) {
        return standstills.stream()
                .anyMatch(still -> still.entry.equals(entry) && still.from <= until && still.until >= from);
    }

    private static String document(long version) {
        return "routes " + version;
    }

    private RouteTable routes(long version, long timeoutMillis, int weight, int more, CallerLimits limits) {
        List<WeightedService> services = services(weight);
        List<Route> routes = new ArrayList<>(List.of(
                route("a", RESUMABLE, RequestKind.STREAM, timeoutMillis, services, shape.attempts(), true),
                route("b", ONCE, RequestKind.STREAM, timeoutMillis, services, 1, false),
                route("c", IDEMPOTENT, RequestKind.IDEMPOTENT, timeoutMillis, services, shape.attempts(), false)));
        for (int number = 0; number < more; number++) {
            String name = "more-" + number;
            routes.add(
                    route(name, "/" + name + "/", RequestKind.STREAM, timeoutMillis, services, shape.attempts(), true));
        }
        Map<String, RoutedService> all = new HashMap<>();
        services.forEach(
                service -> all.put(service.service(), new RoutedService(service.service(), 1_000, Optional.empty())));
        return RouteTable.of(version, routes, all, limits);
    }

    /** The services of all routes; a weight is that of the first where there are two. */
    private List<WeightedService> services(int weight) {
        WeightedService first = new WeightedService(SERVICE, weight);
        return shape.services() == 1 ? List.of(first) : List.of(first, new WeightedService(OTHER_SERVICE, 1));
    }

    /** Applies a configuration with another timeout, weight and limits for callers, and so many routes more. */
    void reconfigure(long timeoutMillis, int weight, int moreRoutes, CallerLimits limits) {
        configVersion++;
        configurations.put(document(configVersion), routes(configVersion, timeoutMillis, weight, moreRoutes, limits));
        configure();
    }

    private static Route route(
            String name,
            String prefix,
            RequestKind kind,
            long timeoutMillis,
            List<WeightedService> services,
            int attempts,
            boolean resumable) {
        return new Route(name, "h", prefix, kind, timeoutMillis, 200, 0, services, attempts, resumable, 200, false);
    }

    private UniformRandomProvider ownRandom() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    }

    private VirtualNode node(Address address, VirtualNode.Boot boot) {
        VirtualNode node = new VirtualNode(address, time, network, boot, 1);
        network.add(node);
        return node;
    }

    private void addControl(Address address) {
        VirtualDisk disk = new VirtualDisk(time, ownRandom());
        ControlSettings settings = new ControlSettings(
                "r",
                List.of(new ReplicaSettings(ControlSettings.GLOBAL_GROUP, address, controlAddresses, true)),
                bytes -> Optional.empty());
        VirtualNode node = node(address, (booted, now) -> {
            Map<String, DurableState> durable =
                    Map.of(ControlSettings.GLOBAL_GROUP, disk.open(ControlSettings.GLOBAL_GROUP));
            return ControlCore.start(
                    settings, address, booted.incarnation(), durable, now, ownRandom(), Invariants.throwing());
        });
        node.port(Address.STORAGE, message -> disk.persist(node, message));
        node.onKill(disk::crash);
        control.add(node);
        node.start();
    }

    private void addEntry(Address address, int number) {
        DirectSettings settings = new DirectSettings("r", "z", "entry-" + number, controlAddresses, shape.retries());
        VirtualNode node = node(
                address,
                (booted, now) -> DirectCore.start(
                        settings,
                        address,
                        new Protocol(),
                        RouteTableReader.synchronous(document ->
                                Optional.ofNullable(configurations.get(new String(document, StandardCharsets.UTF_8)))),
                        new Port(booted),
                        booted::clock,
                        Invariants.throwing(),
                        resumptionOutcomes));
        entries.add(node);
        node.start();
    }

    private void configure() {
        ConfigApply apply = ConfigApply.newBuilder()
                .setDeclaredVersion(configVersion)
                .setConfig(ByteString.copyFromUtf8(document(configVersion)))
                .setHash("hash " + configVersion)
                .build();
        control.getFirst()
                .deliver(Envelope.newBuilder()
                        .setFrom(Address.ADMINISTRATORS.value())
                        .setAdminRequest(
                                AdminRequest.newBuilder().setQuestion(1).setConfigApply(apply))
                        .build());
    }

    Shape shape() {
        return shape;
    }

    /** Lets time pass. */
    void pass(long millis) {
        time.runUntil(time.now() + millis * 1_000_000);
    }

    VirtualNode leader() {
        return control.stream()
                .filter(node -> node.core(ControlCore.class)
                        .flatMap(core -> core.replica(ControlSettings.GLOBAL_GROUP))
                        .filter(replica -> replica.isLeader())
                        .isPresent())
                .findFirst()
                .orElseThrow();
    }

    List<VirtualNode> all() {
        List<VirtualNode> all = new ArrayList<>(control);
        all.addAll(entries);
        return all;
    }

    /** Kills a process and starts it again after a while. */
    void restart(VirtualNode node, long downMillis) {
        node.kill();
        time.after(downMillis * 1_000_000, node::startIfDead);
    }

    /** Ends an entry with its connections, and starts it again after a while. */
    void restartEntry(VirtualNode entry, long downMillis) {
        restart(entry, downMillis);
        engines.forEach(engine -> engine.onEntryGone(entry.address()));
    }

    /** Lets an entry stand still for a while; what reaches it meanwhile is read once it has looked at its timers. */
    void standStill(VirtualNode entry, long millis) {
        if (!entry.isAlive() || entry.isPaused()) {
            return;
        }
        unread.put(entry.address(), new ArrayList<>());
        entry.pause(millis * 1_000_000, false);
        long lengthNanos = millis * 1_000_000 + UNREAD_NANOS;
        standstills.add(new Standstill(entry.address(), time.now(), time.now() + lengthNanos));
        time.after(lengthNanos, () -> unread.remove(entry.address()).forEach(Runnable::run));
    }

    /** Hands something to the present start of an entry once it reads its sockets, and has it look at its timers. */
    private void hand(VirtualNode entry, Runnable input) {
        long incarnation = entry.incarnation();
        Runnable read = () -> {
            if (entry.isAlive() && entry.incarnation() == incarnation && !entry.defer(input)) {
                input.run();
                wake(entry);
            }
        };
        Optional.ofNullable(unread.get(entry.address())).ifPresentOrElse(waiting -> waiting.add(read), read);
    }

    /** Sends a request to an entry; where that can't take it, the caller is told so. */
    Call ask(VirtualNode entry, String path, String body, Consumer<Call> whenOver) {
        return ask(entry, path, body, HttpFields.EMPTY, whenOver);
    }

    /** Sends a request whose prompt has segments in front of its own. */
    Call ask(VirtualNode entry, String path, String body, List<String> segments, Consumer<Call> whenOver) {
        HttpFields headers = HttpFields.build().put(SEGMENTS, String.join(",", segments));
        return ask(entry, path, body, headers, whenOver);
    }

    /** The segments of a prompt in front of the request's own. */
    static List<String> segments(HttpFields headers) {
        String segments = headers.get(SEGMENTS);
        return segments == null ? List.of("shared") : List.of(segments.split(","));
    }

    /** Asks for the rest of a stream: what follows an event, of the stream that a request began. */
    Call resume(VirtualNode entry, String path, String began, long lastEvent, Consumer<Call> whenOver) {
        HttpFields headers =
                HttpFields.build().put("Last", String.valueOf(lastEvent)).put("Resumes", began);
        return ask(entry, path, "", headers, whenOver);
    }

    private Call ask(
            VirtualNode entry, String path, String body, HttpFields additionalHeaders, Consumer<Call> whenOver) {
        Call call = new Call("q" + nextRequest++, path, entry, whenOver);
        Optional<DirectCore> core = entry.core(DirectCore.class);
        if (core.isEmpty() || entry.isPaused() && !unread.containsKey(entry.address())) {
            time.after(1_000_000, call::loseEntry);
            return call;
        }
        HttpFields headers =
                HttpFields.build(additionalHeaders).put("Host", "h").put("Id", call.id);
        ReceivedRequest request =
                new ReceivedRequest("POST", path + "x", headers, body.getBytes(StandardCharsets.UTF_8));
        hand(entry, () -> core.get().onRequest(request, call));
        return call;
    }

    VirtualNode anyEntry() {
        return entries.get(random.nextInt(entries.size()));
    }

    private static void wake(VirtualNode node) {
        node.deliver(Envelope.newBuilder().setFrom(Address.PROCESS.value()).build());
    }

    /** A caller's request and what came of it. */
    final class Call implements CallerExchange {
        final String id;
        final String path;
        final VirtualNode entry;
        final long askedAt = time.now();
        /** When an event or the answer last reached the caller. */
        long heardAt = askedAt;

        /** Whether its entry ended, or was down. */
        boolean entryLost;
        /** Whether its caller went away. */
        boolean left;

        private final Consumer<Call> whenOver;
        int status;
        HttpFields headers = HttpFields.EMPTY;
        final StringBuilder body = new StringBuilder();
        boolean over;
        boolean complete;
        long overAt;

        private Call(String id, String path, VirtualNode entry, Consumer<Call> whenOver) {
            this.id = id;
            this.path = path;
            this.entry = entry;
            this.whenOver = whenOver;
            entry.onKill(this::loseEntry);
        }

        private void loseEntry() {
            entryLost |= !over;
            abort();
        }

        @Override
        public boolean hasCallerLeft() {
            return left;
        }

        /** Has the caller go away once it hears nothing for so long. */
        void leaveAfter(long quietNanos) {
            time.at(heardAt + quietNanos, () -> {
                if (over) {
                    return;
                }
                if (time.now() < heardAt + quietNanos) {
                    leaveAfter(quietNanos);
                    return;
                }
                leave();
            });
        }

        /** Has the caller go away now. */
        void leave() {
            if (!over) {
                left = true;
                end(false);
                entry.core(DirectCore.class).ifPresent(core -> hand(entry, () -> core.onDisconnect(this)));
            }
        }

        private void end(boolean whole) {
            if (!over) {
                over = true;
                complete = whole;
                overAt = time.now();
                whenOver.accept(this);
            }
        }

        /** Whether it was refused as poison, rather than for want of room or time. */
        boolean isRefusedAsPoison() {
            return status == 503 && body.toString().contains("crashed");
        }

        /** Whether it was refused for what upstreams met before, for good. */
        boolean isQuarantined() {
            return isRefusedAsPoison() && body.toString().contains("quarantine");
        }

        boolean isServed() {
            return complete && status == 200;
        }

        @Override
        public void respond(int answered, HttpFields fields, ByteBuffer bytes) {
            if (over) {
                return;
            }
            status = answered;
            headers = fields;
            writePart(bytes);
            end(true);
        }

        @Override
        public void beginResponse(int answered, HttpFields fields) {
            status = answered;
            headers = fields;
        }

        @Override
        public void writePart(ByteBuffer bytes) {
            if (over) {
                return;
            }
            heardAt = time.now();
            body.append(StandardCharsets.UTF_8.decode(bytes));
        }

        @Override
        public void endResponse() {
            end(true);
        }

        @Override
        public void abort() {
            end(false);
        }
    }

    /** The way from one start of an entry to the engines. */
    private final class Port implements UpstreamClient {
        private final VirtualNode node;
        private final long incarnation;

        private Port(VirtualNode node) {
            this.node = node;
            this.incarnation = node.incarnation();
        }

        @Override
        public UpstreamExchange send(
                Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
            return byAddress.get(address).send(node.address(), upstream, request, new Guarded(handler));
        }

        @Override
        public void discardIdleConnections(Address address, String upstream) {
            // There are no kept connections.
        }

        @Override
        public void probe(Address address, String upstream, Consumer<Reachability> whenSeen) {
            byAddress.get(address).probe(seen -> pass(() -> whenSeen.accept(seen)));
        }

        /** Passes something on to the start of the entry that asked for it, and has the entry look at its timers. */
        private void pass(Runnable answer) {
            if (node.isAlive() && node.incarnation() == incarnation) {
                hand(node, answer);
            }
        }

        private final class Guarded implements UpstreamHandler {
            private final UpstreamHandler handler;

            private Guarded(UpstreamHandler handler) {
                this.handler = handler;
            }

            @Override
            public void onHead(int status, HttpFields headers) {
                pass(() -> handler.onHead(status, headers));
            }

            @Override
            public void onBody(ByteBuffer bytes) {
                pass(() -> handler.onBody(bytes));
            }

            @Override
            public void onComplete() {
                pass(handler::onComplete);
            }

            @Override
            public void onFailed(boolean sent, String reason) {
                pass(() -> handler.onFailed(sent, reason));
            }
        }
    }

    /** A protocol with the shortest names. */
    private static final class Protocol implements UpstreamProtocol {
        @Override
        public CallIntent readIntent(ReceivedRequest request) {
            String id = request.headers().get("Id");
            GenerationShape shape = new GenerationShape("m", 600, 100, promptSegments(request.headers(), id));
            Optional<GenerationShape> generation =
                    request.path().startsWith(IDEMPOTENT) ? Optional.empty() : Optional.of(shape);
            return new CallIntent(
                    id,
                    OptionalLong.of(PATIENCE_MILLIS),
                    generation,
                    lastEvent(request),
                    Optional.ofNullable(request.headers().get("Resumes")),
                    CALLER);
        }

        private static List<PromptSegment> promptSegments(HttpFields headers, String id) {
            List<PromptSegment> segments = new ArrayList<>();
            segments(headers).forEach(segment -> segments.add(new PromptSegment(segment, 100)));
            segments.add(new PromptSegment(id, 500));
            return segments;
        }

        private static OptionalLong lastEvent(ReceivedRequest request) {
            String last = request.headers().get("Last");
            return last == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(last));
        }

        @Override
        public UpstreamRequest attemptRequest(ReceivedRequest request, AttemptPlan plan) {
            HttpFields headers = HttpFields.build()
                    .put("Id", request.headers().get("Id"))
                    .put("Last", String.valueOf(plan.resumeAfter().orElse(0)))
                    .put(SEGMENTS, String.join(",", segments(request.headers())));
            return new UpstreamRequest(request.method(), request.target(), headers, request.body());
        }

        @Override
        public UpstreamRequest releaseRequest(KvCacheHandle handle) {
            throw new UnsupportedOperationException("these engines hand nothing over");
        }

        @Override
        public ResponseMetadata readMetadata(int status, HttpFields headers) {
            return new ResponseMetadata(
                    Optional.empty(),
                    headers.contains("Not-Run"),
                    Optional.ofNullable(headers.get("Start")),
                    headers.contains("Seal"),
                    TestBackpressureHeaders.read(headers));
        }

        @Override
        public Optional<String> readCacheHandle(byte[] body) {
            return Optional.empty();
        }
    }
}
