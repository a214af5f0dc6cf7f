package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** API keys of organisations, against running processes of the operators' platform over real sockets. */
class OrganisationsOnLoopbackTest {

    private static final String KEY = "key-of-acme-31415";
    private static final String UNKNOWN_KEY = "key-of-nobody-27182";
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL
            + ": s\r\nContent-Length: 4\r\n\r\ndone";
    private static final long LOG_TIMEOUT_MILLIS = 5_000;

    private final PrintStream console = System.out;
    private final ByteArrayOutputStream consoleOutput = new ByteArrayOutputStream();
    private final Queue<String> receivedHeads = new ConcurrentLinkedQueue<>();
    private LoopbackPlatform platform;
    private ServerSocket upstream;

    private static String config(int version, String key) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                + "\"routeKind\":\"idempotent\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                + "\"services\":[{\"name\":\"s\"}],\"limits\":{},"
                + "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"" + key + "\"],\"priority\":1}]}";
    }

    @BeforeProperty
    void start() throws Exception {
        System.setOut(new PrintStream(consoleOutput, true, StandardCharsets.UTF_8));
        platform = new LoopbackPlatform(config(3, KEY));
        upstream = new ServerSocket(0, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread.ofVirtual().start(this::serveUpstream);
        platform.sendHeartbeat("i-1", upstream.getLocalPort());
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        System.setOut(console);
        upstream.close();
        platform.close(false);
    }

    private void serveUpstream() {
        try {
            while (true) {
                try (Socket socket = upstream.accept()) {
                    receivedHeads.add(LoopbackPlatform.readHead(socket.getInputStream()));
                    socket.getOutputStream().write(OK_RESPONSE.getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException end) {
            // The test has closed the socket.
        }
    }

    private String call(String key) throws IOException {
        return platform.call(LoopbackPlatform.CALLERS, "GET /a", "", PlatformHeaders.API_KEY + ": " + key + "\r\n");
    }

    private void retryUntil(String key, String expected) throws Exception {
        String response = "";
        for (int attempt = 0; attempt < 400 && !response.contains(expected); attempt++) {
            Thread.sleep(25);
            response = call(key);
        }
        assertThat(response).contains(expected);
    }

    private String awaitLog() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + LOG_TIMEOUT_MILLIS * 1_000_000;
        while (!consoleOutput.toString(StandardCharsets.UTF_8).contains("unknown-key")
                && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
        return consoleOutput.toString(StandardCharsets.UTF_8);
    }

    /*
     * Anyone who finds an API key in logs, metrics or upstream requests can send requests as its organisation. A key
     * must appear nowhere outside the configuration: not when it is accepted, refused or removed, and not when a
     * configuration that contains it is rejected as malformed.
     */
    @Example
    void aKeyAppearsInNoLogMetricOrResponseAndReachesNoUpstream() throws Exception {
        retryUntil(KEY, "done");
        assertThat(call(UNKNOWN_KEY)).contains("HTTP/1.1 401");
        String broken = config(4, UNKNOWN_KEY).replace("\"" + UNKNOWN_KEY + "\"", UNKNOWN_KEY);
        assertThat(platform.call(LoopbackPlatform.CONTROL, "PUT /cuminshelf/config", broken))
                .contains("HTTP/1.1 400")
                .doesNotContain(UNKNOWN_KEY);
        platform.retryUntil(LoopbackPlatform.CONTROL, "PUT /cuminshelf/config", config(5, UNKNOWN_KEY), "200");
        retryUntil(KEY, "HTTP/1.1 401");
        retryUntil(UNKNOWN_KEY, "done");
        assertThat(receivedHeads)
                .allSatisfy(head -> assertThat(head).contains(PlatformHeaders.ORGANISATION + ": acme\r\n"));
        String outputs = awaitLog()
                + String.join("", receivedHeads)
                + platform.call(LoopbackPlatform.METRICS, "GET /metrics", "");
        assertThat(outputs).contains("unknown-key").contains("organisation=\"acme\"");
        assertThat(outputs).doesNotContain(KEY).doesNotContain(UNKNOWN_KEY);
    }
}
