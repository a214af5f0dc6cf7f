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

/** Keys of organisations against both roles of the users' platform as they run, over real sockets. */
class OrganisationsOnLoopbackTest {

    private static final String KEY = "key-of-acme-31415";
    private static final String OTHER_KEY = "key-of-nobody-27182";
    private static final String DONE =
            "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.SEAL + ": s\r\nContent-Length: 4\r\n\r\ndone";
    private static final long LOG_PATIENCE_MILLIS = 5_000;

    private final PrintStream console = System.out;
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private final Queue<String> received = new ConcurrentLinkedQueue<>();
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
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        platform = new LoopbackPlatform(config(3, KEY));
        upstream = new ServerSocket(0, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread.ofVirtual().start(this::answer);
        platform.announce("i-1", upstream.getLocalPort());
        platform.until(LoopbackPlatform.READINESS, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        System.setOut(console);
        upstream.close();
        platform.close(false);
    }

    private void answer() {
        try {
            while (true) {
                try (Socket socket = upstream.accept()) {
                    received.add(LoopbackPlatform.readHead(socket.getInputStream()));
                    socket.getOutputStream().write(DONE.getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException end) {
            // The test is over.
        }
    }

    private String ask(String key) throws IOException {
        return platform.call(LoopbackPlatform.CALLERS, "GET /a", "", PlatformHeaders.CALLER_KEY + ": " + key + "\r\n");
    }

    private void untilAnswered(String key, String wanted) throws Exception {
        String answer = "";
        for (int attempt = 0; attempt < 400 && !answer.contains(wanted); attempt++) {
            Thread.sleep(25);
            answer = ask(key);
        }
        assertThat(answer).contains(wanted);
    }

    private String log() throws InterruptedException {
        long end = System.nanoTime() + LOG_PATIENCE_MILLIS * 1_000_000;
        while (!printed.toString(StandardCharsets.UTF_8).contains("unknown-key") && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        return printed.toString(StandardCharsets.UTF_8);
    }

    /*
     * Whoever reads logs, metrics or what upstreams get can ask in the name of an organisation. The key must stand
     * nowhere but in the configuration: not where it is served, refused, taken away, nor in a configuration that is
     * refused because it can't be read.
     */
    @Example
    void aKeyStandsInNoLogNoMetricNoAnswerAndReachesNoUpstream() throws Exception {
        untilAnswered(KEY, "done");
        assertThat(ask(OTHER_KEY)).contains("HTTP/1.1 401");
        String broken = config(4, OTHER_KEY).replace("\"" + OTHER_KEY + "\"", OTHER_KEY);
        assertThat(platform.call(LoopbackPlatform.CONTROL, "PUT /cuminshelf/config", broken))
                .contains("HTTP/1.1 400")
                .doesNotContain(OTHER_KEY);
        platform.until(LoopbackPlatform.CONTROL, "PUT /cuminshelf/config", config(5, OTHER_KEY), "200");
        untilAnswered(KEY, "HTTP/1.1 401");
        untilAnswered(OTHER_KEY, "done");
        assertThat(received).allSatisfy(head -> assertThat(head).contains(PlatformHeaders.ORGANISATION + ": acme\r\n"));
        String seen = log() + String.join("", received) + platform.call(LoopbackPlatform.METRICS, "GET /metrics", "");
        assertThat(seen).contains("unknown-key").contains("organisation=\"acme\"");
        assertThat(seen).doesNotContain(KEY).doesNotContain(OTHER_KEY);
    }
}
