package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.tools.AdminClient;

/** A poison request against both roles of the users' platform as they run, over real sockets. */
class PoisonOnLoopbackTest {

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final String POISON = "POST /a";
    private static final String OTHER = "POST /b";
    private static final int CRASHES = 3;
    private static final String DONE =
            "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.SEAL + ": s\r\nContent-Length: 4\r\n\r\ndone";
    private static final String OTHER_START = "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\n"
            + PlatformHeaders.NOT_EXECUTED + ": 1\r\n" + PlatformHeaders.ANSWERING_START + ": ";

    private LoopbackPlatform platform;
    private ServerSocket upstream;
    private int starts;
    /** The same for each start; free for the first. */
    private int port;

    private volatile boolean mended;

    @BeforeProperty
    void start() throws Exception {
        platform = new LoopbackPlatform(CONFIG);
        startUpstream();
        platform.until(LoopbackPlatform.READINESS, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        upstream.close();
        platform.close(false);
    }

    private void startUpstream() throws Exception {
        starts++;
        upstream = new ServerSocket(port, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        port = upstream.getLocalPort();
        ServerSocket listening = upstream;
        String identity = "i-" + starts;
        Thread.ofVirtual().start(() -> answer(listening, identity));
        platform.announce(identity, port);
        platform.until(LoopbackPlatform.CALLERS, OTHER, "", "done");
    }

    /** Answers requests, and ends with the connection at one that it can't stand. */
    private void answer(ServerSocket listening, String identity) {
        try {
            while (true) {
                try (Socket socket = listening.accept()) {
                    String head = LoopbackPlatform.readHead(socket.getInputStream());
                    boolean meant = head.contains(PlatformHeaders.EXPECTED_START + ": " + identity + "\r\n");
                    if (meant && head.startsWith(POISON) && !mended) {
                        listening.close();
                        return;
                    }
                    String answer = meant ? DONE : OTHER_START + identity + "\r\nContent-Length: 0\r\n\r\n";
                    if (!head.isEmpty()) {
                        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    }
                }
            }
        } catch (IOException end) {
            // The test is over.
        }
    }

    @Example
    void afterThreeCrashesItIsRefusedAndAnOperatorReleasesIt() throws Exception {
        for (int crash = 1; crash <= CRASHES; crash++) {
            platform.until(LoopbackPlatform.CALLERS, POISON, "", "HTTP/1.1 502");
            startUpstream();
        }
        platform.until(LoopbackPlatform.CALLERS, POISON, "", "Retry-After: 3600");
        platform.until(LoopbackPlatform.CALLERS, OTHER, "", "done");
        String list = platform.call(LoopbackPlatform.CONTROL, "GET /admin/quarantine", "");
        Matcher fingerprint =
                Pattern.compile("\"fingerprint\":\"([0-9a-f]{32})\"").matcher(list);
        assertThat(fingerprint.find()).as(list).isTrue();
        mended = true;
        String admin = "http://" + LoopbackPlatform.HOST + ":" + platform.port(LoopbackPlatform.CONTROL);
        String release = "{\"fingerprint\":\"" + fingerprint.group(1) + "\",\"reason\":\"mended\",\"author\":\"ada\"}";
        try (AdminClient client = AdminClient.open(List.of(admin), "", Optional.empty())) {
            byte[] body = release.getBytes(StandardCharsets.UTF_8);
            assertThat(client.post("quarantine/release", body).status()).isEqualTo(200);
            assertThat(client.post("quarantine/release", body).status())
                    .as("released already")
                    .isEqualTo(404);
            assertThat(client.get("quarantine").body().at("/requests/0/state").asText())
                    .isEqualTo("released");
        }
        platform.until(LoopbackPlatform.CALLERS, POISON, "", "done");
    }
}
