package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":5000,\"service\":\"s\"}],"
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
            Thread.sleep(head.indexOf("/long") > 0 ? LONG_RESPONSE_DELAY_MILLIS : RESPONSE_DELAY_MILLIS);
            String response = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL
                    + ": s\r\nContent-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
