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

/** A poison request, against running processes of the operators' platform over real sockets. */
class PoisonOnLoopbackTest {

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final String POISON_REQUEST_LINE = "POST /a";
    private static final String HARMLESS_REQUEST_LINE = "POST /b";
    private static final int CRASHES = 3;
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL
            + ": s\r\nContent-Length: 4\r\n\r\ndone";
    private static final String OTHER_INSTANCE_RESPONSE = "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\n"
            + PlatformHeaders.NOT_EXECUTED + ": 1\r\n" + PlatformHeaders.RESPONDING_INSTANCE + ": ";

    private LoopbackPlatform platform;
    private ServerSocket upstream;
    private int starts;
    /** Port of every start of the upstream; 0, for any free port, before the first. */
    private int upstreamPort;

    private volatile boolean poisonFixed;

    @BeforeProperty
    void start() throws Exception {
        platform = new LoopbackPlatform(CONFIG);
        startUpstream();
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        upstream.close();
        platform.close(false);
    }

    private void startUpstream() throws Exception {
        starts++;
        upstream = new ServerSocket(upstreamPort, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        upstreamPort = upstream.getLocalPort();
        ServerSocket listening = upstream;
        String instanceId = "i-" + starts;
        Thread.ofVirtual().start(() -> serveUpstream(listening, instanceId));
        platform.sendHeartbeat(instanceId, upstreamPort);
        platform.retryUntil(LoopbackPlatform.CALLERS, HARMLESS_REQUEST_LINE, "", "done");
    }

    /** Answers requests; the poison request closes the connection and the listening socket, as a crash would. */
    private void serveUpstream(ServerSocket listening, String instanceId) {
        try {
            while (true) {
                try (Socket socket = listening.accept()) {
                    String head = LoopbackPlatform.readHead(socket.getInputStream());
                    boolean addressed = head.contains(PlatformHeaders.EXPECTED_INSTANCE + ": " + instanceId + "\r\n");
                    if (addressed && head.startsWith(POISON_REQUEST_LINE) && !poisonFixed) {
                        listening.close();
                        return;
                    }
                    String response = addressed
                            ? OK_RESPONSE
                            : OTHER_INSTANCE_RESPONSE + instanceId + "\r\nContent-Length: 0\r\n\r\n";
                    if (!head.isEmpty()) {
                        socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                    }
                }
            }
        } catch (IOException end) {
            // The socket is closed.
        }
    }

    @Example
    void aRequestIsQuarantinedAfterThreeCrashesUntilAnOperatorReleasesIt() throws Exception {
        for (int crash = 1; crash <= CRASHES; crash++) {
            platform.retryUntil(LoopbackPlatform.CALLERS, POISON_REQUEST_LINE, "", "HTTP/1.1 502");
            startUpstream();
        }
        platform.retryUntil(LoopbackPlatform.CALLERS, POISON_REQUEST_LINE, "", "Retry-After: 3600");
        platform.retryUntil(LoopbackPlatform.CALLERS, HARMLESS_REQUEST_LINE, "", "done");
        String quarantine = platform.call(LoopbackPlatform.CONTROL, "GET /admin/quarantine", "");
        Matcher fingerprint =
                Pattern.compile("\"fingerprint\":\"([0-9a-f]{32})\"").matcher(quarantine);
        assertThat(fingerprint.find()).as(quarantine).isTrue();
        poisonFixed = true;
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
        platform.retryUntil(LoopbackPlatform.CALLERS, POISON_REQUEST_LINE, "", "done");
    }
}
