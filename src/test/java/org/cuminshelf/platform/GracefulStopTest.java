package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Graceful stop of a running entry on loopback, with a slow upstream. */
class GracefulStopTest {

    private static final long RESPONSE_DELAY_MILLIS = 1_200;
    private static final long LONG_RESPONSE_DELAY_MILLIS = 4_500;
    private static final long NEVER_MILLIS = 20_000;
    private static final int LARGE_BODY_BYTES = 7 << 20;
    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":7000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";

    private ServerSocket upstream;
    private LoopbackPlatform platform;
    /** Set once the entry has closed itself by a graceful stop. */
    private volatile boolean entryStopped;

    @BeforeProperty
    void start() throws Exception {
        upstream = new ServerSocket(0, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread upstreamThread = new Thread(this::serveUpstream);
        upstreamThread.setDaemon(true);
        upstreamThread.start();
        platform = new LoopbackPlatform(CONFIG);
        platform.sendHeartbeat("i-1", upstream.getLocalPort());
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        platform.close(entryStopped);
        upstream.close();
    }

    /*
     * A planned restart aborted a request on which an upstream was still working. A stopping entry must fail its
     * readiness check, still accept requests until the load balancer has noticed, and exit only after all of them are
     * answered.
     */
    @Example
    void aPlannedStopAbortsNoRequestAndAcceptsNewOnesUntilTheLoadBalancerHasNoticed() throws Exception {
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        CompletableFuture<String> sentBefore = callAsync();
        Thread.sleep(300);
        CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
        Thread.sleep(300);
        assertThat(platform.call(LoopbackPlatform.READINESS, "GET /", "")).startsWith("HTTP/1.1 503");
        CompletableFuture<String> sentDuring = callAsync();
        assertThat(sentBefore.get(10, TimeUnit.SECONDS))
                .startsWith("HTTP/1.1 200")
                .endsWith("done");
        assertThat(sentDuring.get(10, TimeUnit.SECONDS))
                .startsWith("HTTP/1.1 200")
                .contains("Connection: close");
        assertThat(stop.get(15, TimeUnit.SECONDS)).isTrue();
    }

    /*
     * A planned restart aborted a request that was sent seconds after the stop was requested: the entry accepted
     * connections as long as any request was open, and each new request kept it accepting until its grace period was
     * over. After the time allowed for the load balancer to notice, the entry must refuse new requests and use the rest
     * of the grace period to finish the open ones.
     */
    @Example
    void newRequestsAreRefusedAndOpenOnesFinishedAfterTheLoadBalancersNoticePeriod() throws Exception {
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        CompletableFuture<String> open = CompletableFuture.supplyAsync(() -> call("POST /long"));
        Thread.sleep(300);
        CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
        Thread.sleep(3_200);
        // Refused, reset or closed unread: each shows the caller that its request was not accepted.
        assertThat(call("POST /late")).doesNotContain("HTTP/1.1");
        assertThat(open.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200").endsWith("done");
        assertThat(stop.get(10, TimeUnit.SECONDS)).isTrue();
    }

    /* Guards against a request that a stopping entry has half read and then cuts although its grace is not over. */
    @Example
    void aRequestThatIsHalfReadIsAnsweredWithinTheGracePeriod() throws Exception {
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        try (Socket socket = new Socket(LoopbackPlatform.HOST, platform.port(LoopbackPlatform.CALLERS))) {
            sendHalfRequest(socket);
            Thread.sleep(200);
            CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
            Thread.sleep(3_400);
            socket.getOutputStream().write("56789".getBytes(StandardCharsets.US_ASCII));
            assertThat(readAll(socket)).startsWith("HTTP/1.1 200").endsWith("done");
            assertThat(stop.get(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    /* Guards against a request that ends without an answer because its entry's grace period is over. */
    @Example
    void aRequestThatIsStillHalfReadAtTheEndOfTheGracePeriodIsRefused() throws Exception {
        try (Socket socket = new Socket(LoopbackPlatform.HOST, platform.port(LoopbackPlatform.CALLERS))) {
            sendHalfRequest(socket);
            Thread.sleep(200);
            CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
            assertThat(readAll(socket)).startsWith("HTTP/1.1 503").contains("Retry-After");
            assertThat(stop.get(10, TimeUnit.SECONDS)).isFalse();
        }
    }

    /* Guards against a call that ends without an answer because its entry's grace period is over. */
    @Example
    void aCallThatIsStillOpenAtTheEndOfTheGracePeriodIsToldThatItMayHaveRun() throws Exception {
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
        Thread.sleep(2_300);
        CompletableFuture<String> open = CompletableFuture.supplyAsync(() -> call("POST /never"));
        assertThat(open.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 50").doesNotStartWith("HTTP/1.1 503");
        stop.get(10, TimeUnit.SECONDS);
    }

    /* Guards against a response that a stopping entry cuts because its caller reads slowly. */
    @Example
    void aResponseThatIsReadSlowlyIsSentToItsEndWithinTheGracePeriod() throws Exception {
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(new InetSocketAddress(LoopbackPlatform.HOST, platform.port(LoopbackPlatform.CALLERS)));
            socket.getOutputStream()
                    .write("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(RESPONSE_DELAY_MILLIS + 500);
            CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
            Thread.sleep(3_400);
            assertThat(readAll(socket).length()).isGreaterThan(LARGE_BODY_BYTES);
            assertThat(stop.get(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void sendHalfRequest(Socket socket) throws IOException {
        socket.getOutputStream()
                .write("POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01234"
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads to the end of the stream; what was read before a reset counts too. */
    private static String readAll(Socket socket) throws IOException {
        socket.setSoTimeout(15_000);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(read);
        } catch (SocketException reset) {
            read.writeBytes(" reset".getBytes(StandardCharsets.US_ASCII));
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    private boolean stopEntry() {
        entryStopped = true;
        try {
            return platform.entry.stopGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private CompletableFuture<String> callAsync() {
        return CompletableFuture.supplyAsync(() -> call("POST /a"));
    }

    private String call(String requestLine) {
        try {
            return platform.call(LoopbackPlatform.CALLERS, requestLine, "");
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
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

    private static void respond(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            Thread.sleep(responseDelayMillis(head));
            String body = head.indexOf("/large") > 0 ? "x".repeat(LARGE_BODY_BYTES) : "done";
            String response = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL
                    + ": s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long responseDelayMillis(StringBuilder head) {
        if (head.indexOf("/never") > 0) {
            return NEVER_MILLIS;
        }
        return head.indexOf("/long") > 0 ? LONG_RESPONSE_DELAY_MILLIS : RESPONSE_DELAY_MILLIS;
    }
}
