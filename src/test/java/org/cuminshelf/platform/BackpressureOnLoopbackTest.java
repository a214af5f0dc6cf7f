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

/** What an upstream in need asks for, against both roles of the users' platform as they run, over real sockets. */
class BackpressureOnLoopbackTest {

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final String ASK = "POST /a";
    private static final String DONE = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.SEAL + ": s\r\n";
    private static final String REFUSED =
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" + PlatformHeaders.NOT_EXECUTED + ": 1\r\n";
    private static final String END = "Content-Length: 4\r\n\r\ndone";
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;

    /** When requests arrived, in nanoseconds. */
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();

    private LoopbackPlatform platform;
    private ServerSocket upstream;
    private volatile String head = DONE;

    @BeforeProperty
    void start() throws Exception {
        platform = new LoopbackPlatform(CONFIG);
        upstream = new ServerSocket(0, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread.ofVirtual().start(this::answer);
        platform.announce("i-1", upstream.getLocalPort());
        platform.until(LoopbackPlatform.READINESS, "GET /", "", "200");
        platform.until(LoopbackPlatform.CALLERS, ASK, "", "done");
    }

    @AfterProperty
    void stop() throws IOException {
        upstream.close();
        platform.close(false);
    }

    private void answer() {
        try {
            while (true) {
                try (Socket socket = upstream.accept()) {
                    LoopbackPlatform.readHead(socket.getInputStream());
                    arrivals.add(System.nanoTime());
                    socket.getOutputStream().write((head + END).getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException end) {
            // The test is over.
        }
    }

    private String ask() throws IOException {
        return platform.call(LoopbackPlatform.CALLERS, ASK, "");
    }

    @Example
    void aLimitIsKeptAndItsEndIsHeard() throws Exception {
        double perSecond = 5;
        head = DONE + PlatformHeaders.RATE_LIMIT + ": " + perSecond + "\r\n";
        assertThat(ask()).contains("done");
        long told = System.nanoTime();
        int before = arrivals.size();
        while (System.nanoTime() < told + 2 * SECOND) {
            ask();
            Thread.sleep(10);
        }
        double seconds = (System.nanoTime() - told) / (double) SECOND;
        assertThat(arrivals.size() - before).isBetween(1, (int) (perSecond * seconds) + 1);
        head = DONE;
        platform.until(LoopbackPlatform.CALLERS, ASK, "", "done");
        assertThat(ask()).contains("done");
        assertThat(ask()).contains("done");
    }

    @Example
    void aRestIsKept() throws Exception {
        head = REFUSED + "Retry-After: 1.2\r\n";
        assertThat(ask()).contains("Retry-After: 1.").contains("503");
        long asked = arrivals.getLast();
        head = DONE;
        platform.until(LoopbackPlatform.CALLERS, ASK, "", "done");
        assertThat(arrivals.getLast() - asked).isGreaterThanOrEqualTo(1_200 * MILLI);
    }

    @Example
    void anUpstreamThatSaysThatItLeavesGetsNothingMore() throws Exception {
        head = DONE + PlatformHeaders.LEAVING + ": 1\r\n";
        assertThat(ask()).contains("done");
        int before = arrivals.size();
        for (int call = 0; call < 5; call++) {
            assertThat(ask()).contains("503").contains("Retry-After");
        }
        assertThat(arrivals).hasSize(before);
    }
}
