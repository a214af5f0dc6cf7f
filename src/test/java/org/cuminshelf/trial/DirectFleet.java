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
import org.cuminshelf.direct.DecisionLog;
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
    /** A route whose streams may go on elsewhere, and one whose may not. */
    static final String RESUMABLE = "/a/";

    static final String ONCE = "/b/";

    private static final int CONTROL = 3;
    private static final long CONFIG_VERSION = 7;
    private static final long PATIENCE_MILLIS = 6_000;

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
    private final RouteTable routes = RouteTable.of(
            CONFIG_VERSION,
            List.of(route("a", RESUMABLE, 2, true), route("b", ONCE, 1, false)),
            Map.of(SERVICE, new RoutedService(SERVICE, 1_000, Optional.empty())),
            CallerLimits.DEFAULT);
    private int nextRequest;

    DirectFleet(long seed, int entryCount, int engineCount) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        network = new VirtualNetwork(time, ownRandom());
        for (int number = 1; number <= CONTROL; number++) {
            controlAddresses.add(Address.of("10.0.0." + number + ":7000"));
        }
        controlAddresses.forEach(this::addControl);
        for (int number = 1; number <= entryCount; number++) {
            addEntry(Address.of("10.0.1." + number + ":7000"), number);
        }
        for (int number = 1; number <= engineCount; number++) {
            Address address = Address.of("10.9.0." + number + ":8000");
            CrashingEngine engine = new CrashingEngine(address, time, network, ownRandom(), controlAddresses, records);
            engines.add(engine);
            byAddress.put(address, engine);
            time.after(random.nextLong(1_000_000_000L), engine::start);
        }
        for (int second = 1; second <= 4; second++) {
            time.at(second * 1_000_000_000L, this::configure);
        }
    }

    private static Route route(String name, String prefix, int attempts, boolean resumable) {
        return new Route(
                name,
                "h",
                prefix,
                RequestKind.STREAM,
                PATIENCE_MILLIS,
                200,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                attempts,
                resumable,
                200,
                false);
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
        DirectSettings settings =
                new DirectSettings("r", "z", "entry-" + number, controlAddresses, new RetryLimits(0.2, 1_000, 10_000));
        VirtualNode node = node(
                address,
                (booted, now) -> DirectCore.start(
                        settings,
                        address,
                        new Protocol(),
                        RouteTableReader.synchronous(document -> Optional.of(routes)),
                        new Port(booted),
                        booted::clock,
                        Invariants.throwing(),
                        DecisionLog.none()));
        entries.add(node);
        node.start();
    }

    private void configure() {
        ConfigApply apply = ConfigApply.newBuilder()
                .setDeclaredVersion(CONFIG_VERSION)
                .setConfig(ByteString.copyFromUtf8("routes"))
                .setHash("hash")
                .build();
        control.getFirst()
                .deliver(Envelope.newBuilder()
                        .setFrom(Address.ADMINISTRATORS.value())
                        .setAdminRequest(
                                AdminRequest.newBuilder().setQuestion(1).setConfigApply(apply))
                        .build());
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

    /** Sends a request to an entry; where that can't take it, the caller is told so. */
    Call ask(VirtualNode entry, String path, String body, Consumer<Call> whenOver) {
        Call call = new Call("q" + nextRequest++, entry, whenOver);
        Optional<DirectCore> core = entry.core(DirectCore.class);
        if (core.isEmpty() || entry.isPaused()) {
            time.after(1_000_000, call::abort);
            return call;
        }
        HttpFields headers = HttpFields.build().put("Host", "h").put("Id", call.id);
        core.get()
                .onRequest(
                        new ReceivedRequest("POST", path + "x", headers, body.getBytes(StandardCharsets.UTF_8)), call);
        wake(entry);
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
        final VirtualNode entry;
        final long askedAt = time.now();
        private final Consumer<Call> whenOver;
        int status;
        HttpFields headers = HttpFields.EMPTY;
        final StringBuilder body = new StringBuilder();
        boolean over;
        boolean complete;
        long overAt;

        private Call(String id, VirtualNode entry, Consumer<Call> whenOver) {
            this.id = id;
            this.entry = entry;
            this.whenOver = whenOver;
            entry.onKill(this::abort);
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

        boolean isServed() {
            return complete && status == 200;
        }

        @Override
        public void respond(int answered, HttpFields fields, ByteBuffer bytes) {
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
                answer.run();
                wake(node);
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
            GenerationShape shape = new GenerationShape(
                    "m", 600, 100, List.of(new PromptSegment("shared", 100), new PromptSegment(id, 500)));
            return new CallIntent(
                    id, OptionalLong.of(PATIENCE_MILLIS), Optional.of(shape), OptionalLong.empty(), CALLER);
        }

        @Override
        public UpstreamRequest attemptRequest(ReceivedRequest request, AttemptPlan plan) {
            HttpFields headers = HttpFields.build()
                    .put("Id", request.headers().get("Id"))
                    .put("Last", String.valueOf(plan.resumeAfter().orElse(0)));
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
