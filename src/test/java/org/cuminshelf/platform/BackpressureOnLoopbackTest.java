package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Backpressure signals of an upstream, against running processes of the operators' platform over real sockets. */
class BackpressureOnLoopbackTest {

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final String REQUEST_LINE = "POST /a";
    private static final String OK_HEAD =
            "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n";
    private static final String REFUSED_HEAD =
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + PlatformHeaders.NOT_EXECUTED + ": 1\r\n";
    private static final String OK_BODY = "Content-Length: 4\r\n\r\ndone";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    /** Arrival times of requests at the upstream, in monotonic nanoseconds. */
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();

    private LoopbackPlatform platform;
    private ServerSocket upstream;
    private volatile String responseHead = OK_HEAD;

    @BeforeProperty
    void start() throws Exception {
        platform = new LoopbackPlatform(CONFIG);
        upstream = new ServerSocket(0, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread.ofVirtual().start(this::serveUpstream);
        platform.sendHeartbeat("i-1", upstream.getLocalPort());
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
        platform.retryUntil(LoopbackPlatform.CALLERS, REQUEST_LINE, "", "done");
    }

    @AfterProperty
    void stop() throws IOException {
        upstream.close();
        platform.close(false);
    }

    private void serveUpstream() {
        try {
            while (true) {
                try (Socket socket = upstream.accept()) {
                    LoopbackPlatform.readHead(socket.getInputStream());
                    arrivals.add(System.nanoTime());
                    socket.getOutputStream().write((responseHead + OK_BODY).getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException end) {
            // The test has closed the socket.
        }
    }

    private String call() throws IOException {
        return platform.call(LoopbackPlatform.CALLERS, REQUEST_LINE, "");
    }

    @Example
    void aRateLimitIsObservedUntilItIsLifted() throws Exception {
        double perSecond = 5;
        responseHead = OK_HEAD + PlatformHeaders.RATE_LIMIT + ": " + perSecond + "\r\n";
        assertThat(call()).contains("done");
        long limited = System.nanoTime();
        int before = arrivals.size();
        while (System.nanoTime() < limited + 2 * NANOS_PER_SECOND) {
            call();
            Thread.sleep(10);
        }
        double seconds = (System.nanoTime() - limited) / (double) NANOS_PER_SECOND;
        assertThat(arrivals.size() - before).isBetween(1, (int) (perSecond * seconds) + 1);
        responseHead = OK_HEAD;
        platform.retryUntil(LoopbackPlatform.CALLERS, REQUEST_LINE, "", "done");
        assertThat(call()).contains("done");
        assertThat(call()).contains("done");
    }

    @Example
    void aBackoffIsObserved() throws Exception {
        responseHead = REFUSED_HEAD + "Retry-After: 1.2\r\n";
        assertThat(call()).contains("Retry-After: 1.").contains("503");
        long backoffStart = arrivals.getLast();
        responseHead = OK_HEAD;
        platform.retryUntil(LoopbackPlatform.CALLERS, REQUEST_LINE, "", "done");
        assertThat(arrivals.getLast() - backoffStart).isGreaterThanOrEqualTo(1_200 * NANOS_PER_MILLI);
    }

    @Example
    void anUpstreamThatIsShuttingDownGetsNoMoreRequests() throws Exception {
        responseHead = OK_HEAD + PlatformHeaders.LEAVING + ": 1\r\n";
        assertThat(call()).contains("done");
        int before = arrivals.size();
        for (int call = 0; call < 5; call++) {
            assertThat(call()).contains("503").contains("Retry-After");
        }
        assertThat(arrivals).hasSize(before);
    }
}
