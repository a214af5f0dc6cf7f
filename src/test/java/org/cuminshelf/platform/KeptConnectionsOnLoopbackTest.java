package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Callers on loopback that keep their connections, while the configuration changes and an upstream falls silent. */
class KeptConnectionsOnLoopbackTest {

    /** Rounds in CI; more by hand with -Dkept.rounds=50. */
    private static final int ROUNDS = Integer.getInteger("kept.rounds", 2);

    private static final int CALLERS = 600;
    private static final int HIGH_LIMIT_MILLIS = 10_000;
    private static final int LOW_LIMIT_MILLIS = 1_000;
    /** Time after a change in which it comes in force and callers send. */
    private static final int CHANGE_MILLIS = 1_200;
    /** Time that connections are idle before the limit is lowered: more than the low limit. */
    private static final int IDLE_MILLIS = LOW_LIMIT_MILLIS + 300;

    /** Share of the idle limit that callers know up to which they use a connection again. */
    private static final double USED_SHARE = 0.8;

    private static final int FEW_CALLERS = 8;
    private static final int CALLS_EACH = 8;
    private static final int SHORTEST_SILENCE_MILLIS = 300;
    private static final int LONGEST_SILENCE_MILLIS = 900;

    private final AtomicInteger requests = new AtomicInteger();
    private ServerSocket upstream;
    private LoopbackPlatform platform;
    private int configVersion;
    private int heartbeats;
    private volatile boolean fallsSilent;

    @BeforeProperty
    void start() throws Exception {
        upstream = new ServerSocket(0, CALLERS, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread.ofPlatform().daemon().start(this::serveUpstream);
        platform = new LoopbackPlatform(config(HIGH_LIMIT_MILLIS));
        beat();
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /once/", "", "done");
    }

    @AfterProperty
    void stop() throws IOException {
        platform.close(false);
        upstream.close();
    }

    private String config(int idleLimitMillis) {
        configVersion++;
        return "{\"version\":" + configVersion + ",\"routes\":["
                + route("again", "idempotent", 2) + "," + route("once", "non_idempotent", 1) + ","
                + route("version" + configVersion, "idempotent", 2)
                + "],\"services\":[{\"name\":\"s\"}],\"limits\":{\"idleTimeoutMs\":" + idleLimitMillis + "}}";
    }

    private static String route(String name, String kind, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"h\",\"pathPrefix\":\"/" + name + "/\",\"routeKind\":\"" + kind
                + "\",\"timeoutMs\":5000,\"maxAttempts\":" + attempts + ",\"service\":\"s\"}";
    }

    private void beat() throws Exception {
        heartbeats++;
        platform.retryUntil(
                LoopbackPlatform.CONTROL,
                "PUT /cuminshelf/instances/i-1",
                "{\"service\":\"s\",\"address\":\"" + LoopbackPlatform.HOST + ":" + upstream.getLocalPort()
                        + "\",\"zone\":\"z\",\"slots\":1000,\"state\":\"ready\",\"sequence\":" + heartbeats
                        + ",\"born\":1}",
                "200");
    }

    private void limit(int idleLimitMillis) throws Exception {
        platform.retryUntil(LoopbackPlatform.CONTROL, "PUT /cuminshelf/config", config(idleLimitMillis), "200");
    }

    /** Has each caller, which knows an idle limit, wait for its time and send a request, and counts what came of it. */
    private Map<KeptConnection.Outcome, Integer> sendAll(
            List<KeptConnection> callers, int knownLimitMillis, int spreadMillis, Random random) throws Exception {
        List<Callable<KeptConnection.Outcome>> calls = new ArrayList<>();
        for (KeptConnection caller : callers) {
            int wait = random.nextInt(spreadMillis);
            String path = random.nextBoolean() ? "POST /again/" : "POST /once/";
            calls.add(() -> {
                Thread.sleep(wait);
                return caller.send(path, "q" + requests.incrementAndGet(), (long) (USED_SHARE * knownLimitMillis));
            });
        }
        Map<KeptConnection.Outcome, Integer> counts = new EnumMap<>(KeptConnection.Outcome.class);
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (Future<KeptConnection.Outcome> outcome : threads.invokeAll(calls)) {
                counts.merge(outcome.get(), 1, Integer::sum);
            }
        }
        return counts;
    }

    private static void add(
            Map<KeptConnection.Outcome, Integer> sum, Map<KeptConnection.Outcome, Integer> counts, String what) {
        System.out.println(what + ": " + counts);
        counts.forEach((outcome, count) -> sum.merge(outcome, count, Integer::sum));
    }

    /**
     * Guards against connections that are closed by a lowered idle limit while their next request is in the socket. A
     * caller that went idle under the high limit knows only that one.
     */
    @Example
    void everyWholeRequestIsAnsweredWhereTheIdleLimitChanges() throws Exception {
        Map<KeptConnection.Outcome, Integer> sum = new EnumMap<>(KeptConnection.Outcome.class);
        List<KeptConnection> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(new KeptConnection(platform.port(LoopbackPlatform.CALLERS)));
        }
        for (int round = 1; round <= ROUNDS; round++) {
            limit(HIGH_LIMIT_MILLIS);
            beat();
            platform.retryUntil(LoopbackPlatform.CALLERS, "POST /version" + configVersion + "/", "", "done");
            add(
                    sum,
                    sendAll(callers, LOW_LIMIT_MILLIS, 100, new Random(round)),
                    "kept connections, before, seed " + round);
            Thread.sleep(IDLE_MILLIS);
            limit(LOW_LIMIT_MILLIS);
            add(
                    sum,
                    sendAll(callers, HIGH_LIMIT_MILLIS, CHANGE_MILLIS, new Random(-round)),
                    "kept connections, lowered, seed " + round);
        }
        callers.forEach(KeptConnection::close);
        System.out.println("kept connections, " + ROUNDS + " rounds: " + sum);
        assertThat(sum).doesNotContainKeys(KeptConnection.Outcome.LOST, KeptConnection.Outcome.GATEWAY_ERROR);
        assertThat(sum.get(KeptConnection.Outcome.ANSWERED)).isGreaterThan(CALLERS);
    }

    /** Guards against 502 because the only upstream, which is sound, is silent for less than a second. */
    @Example
    void aSoundUpstreamThatFallsSilentIsWaitedFor() throws Exception {
        Map<KeptConnection.Outcome, Integer> sum = new EnumMap<>(KeptConnection.Outcome.class);
        List<KeptConnection> callers = new ArrayList<>();
        for (int caller = 0; caller < FEW_CALLERS; caller++) {
            callers.add(new KeptConnection(platform.port(LoopbackPlatform.CALLERS)));
        }
        for (int call = 1; call <= CALLS_EACH; call++) {
            beat();
            fallsSilent = call % 2 == 0;
            add(
                    sum,
                    sendAll(callers, HIGH_LIMIT_MILLIS, 100, new Random(call)),
                    "silent upstream on loopback, seed " + call);
        }
        callers.forEach(KeptConnection::close);
        assertThat(sum).doesNotContainKeys(KeptConnection.Outcome.LOST, KeptConnection.Outcome.GATEWAY_ERROR);
        assertThat(sum.get(KeptConnection.Outcome.ANSWERED)).isGreaterThan(FEW_CALLERS * CALLS_EACH / 2);
    }

    private void serveUpstream() {
        try {
            while (true) {
                Socket socket = upstream.accept();
                Thread.ofVirtual().start(() -> respond(socket));
            }
        } catch (IOException end) {
            // The test has closed the socket.
        }
    }

    private void respond(Socket socket) {
        try (socket) {
            String head = LoopbackPlatform.readHead(socket.getInputStream());
            if (fallsSilent) {
                int spread = LONGEST_SILENCE_MILLIS - SHORTEST_SILENCE_MILLIS;
                Thread.sleep(SHORTEST_SILENCE_MILLIS + Math.floorMod(head.hashCode(), spread));
            }
            String response = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL
                    + ": s\r\nContent-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
