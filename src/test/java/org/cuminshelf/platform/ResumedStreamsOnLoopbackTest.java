package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Guards against streams that are taken up at another entry, over real sockets, and go on at another version. */
class ResumedStreamsOnLoopbackTest {

    private static final String ROUTE = "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"routeKind\":\"stream\","
            + "\"timeoutMs\":6000,\"service\":\"s\",\"maxAttempts\":3,\"resumable\":true}";
    private static final String CONFIG =
            "{\"version\":3,\"routes\":[" + ROUTE + "],\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");
    private static final List<String> VERSIONS = List.of("v1.1", "v1.2", "v1.1", "v1.2");
    private static final int STREAMS = 16;

    private final List<ServerSocket> upstreams = new ArrayList<>();
    private LoopbackPlatform platform;
    private int nextRequest = 1_000;
    private boolean entryStopped;

    @BeforeProperty
    void start() throws Exception {
        platform = new LoopbackPlatform(CONFIG);
        platform.startAnotherEntry();
        for (int number = 0; number < VERSIONS.size(); number++) {
            ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getByName(LoopbackPlatform.HOST));
            upstreams.add(upstream);
            String version = VERSIONS.get(number);
            Thread.ofVirtual().start(() -> accept(upstream, version));
            platform.sendHeartbeat("i-" + number, upstream.getLocalPort(), version);
        }
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
        awaitEntriesOfEachOther();
    }

    @AfterProperty
    void stop() throws IOException {
        for (ServerSocket upstream : upstreams) {
            upstream.close();
        }
        platform.close(entryStopped);
    }

    /** An entry learns of the other with an update of control, twice a second. */
    private static void awaitEntriesOfEachOther() throws InterruptedException {
        Thread.sleep(1_500);
    }

    /** Records leave an entry within some milliseconds of the first event; one that ends before takes them with it. */
    private static void awaitRecordsSent() throws InterruptedException {
        Thread.sleep(300);
    }

    private void accept(ServerSocket upstream, String version) {
        try {
            while (true) {
                Socket socket = upstream.accept();
                Thread.ofVirtual().start(() -> serve(socket, version));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    /** Sends the next event of a stream, and leaves the stream open until it is given up. */
    private static void serve(Socket connection, String version) {
        try (Socket socket = connection) {
            String head = LoopbackPlatform.readHead(socket.getInputStream());
            if (head.isEmpty()) {
                return;
            }
            Matcher last = Pattern.compile("(?i)last-event-id: (\\d+)").matcher(head);
            int next = last.find() ? Integer.parseInt(last.group(1)) + 1 : 1;
            String event = "id: " + next + "\ndata: " + version + "\n\n";
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL
                                    + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().read();
        } catch (IOException gone) {
            // The entry has closed the connection.
        }
    }

    /** What a caller has read of a response when its first event or its end came. */
    private String ask(int port, String id, String headers) throws IOException {
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket(LoopbackPlatform.HOST, port)) {
            socket.setSoTimeout(5_000);
            String request = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + PlatformHeaders.REQUEST_ID + ": "
                    + id + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            int next = socket.getInputStream().read();
            while (next >= 0 && !EVENT.matcher(text).find()) {
                text.append((char) next);
                next = socket.getInputStream().read();
            }
        } catch (SocketException reset) {
            text.append(reset.getMessage());
        }
        return text.toString();
    }

    private static String version(String response) {
        Matcher event = EVENT.matcher(response);
        assertThat(event.find()).as(response).isTrue();
        return event.group(2);
    }

    @Example
    void aStreamGoesOnAtItsVersionAtAnotherEntryAndOnItsThirdTryToo() throws Exception {
        int here = platform.port(LoopbackPlatform.CALLERS);
        int there = platform.otherCallersPort();
        List<String> versions = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            String id = "q" + nextRequest++;
            String version = version(ask(here, id, ""));
            versions.add(version);
            String second = ask(there, "q" + nextRequest++, "Last-Event-Id: 1\r\nResumes: " + id + "\r\n");
            assertThat(version(second)).as("second try of %s", id).isEqualTo(version);
            String third = ask(here, "q" + nextRequest++, "Last-Event-Id: 2\r\nResumes: " + id + "\r\n");
            assertThat(version(third)).as("third try of %s", id).isEqualTo(version);
        }
        assertThat(versions).contains("v1.1", "v1.2");
    }

    /** Guards against the loss of what the entry knew that began a stream. */
    @Example
    void aStreamWhoseEntryHasStoppedGoesOnAtItsVersion() throws Exception {
        List<String> ids = new ArrayList<>();
        List<String> versions = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            ids.add("q" + nextRequest++);
            versions.add(version(ask(platform.port(LoopbackPlatform.CALLERS), ids.getLast(), "")));
        }
        awaitRecordsSent();
        platform.entry.close();
        entryStopped = true;
        for (int number = 0; number < STREAMS; number++) {
            String resumed = ask(
                    platform.otherCallersPort(),
                    "q" + nextRequest++,
                    "Last-Event-Id: 1\r\nResumes: " + ids.get(number) + "\r\n");
            assertThat(version(resumed)).isEqualTo(versions.get(number));
        }
        assertThat(versions).contains("v1.1", "v1.2");
    }

    /** Guards against a guess where nobody has a record. */
    @Example
    void anUnknownStreamIsRefusedWithATimeToComeBack() throws Exception {
        String response = ask(platform.otherCallersPort(), "q1", "Last-Event-Id: 1\r\nResumes: unknown\r\n");
        assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After: 0.5");
    }
}
