package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;

/** Tests connections of callers over real sockets. */
class CallerConnectionTest {

    private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
    private final List<CallerExchange> exchanges = new CopyOnWriteArrayList<>();
    private final CountDownLatch disconnected = new CountDownLatch(1);
    private volatile boolean respondsImmediately = true;
    private CallerListener listener;

    @BeforeProperty
    void listen() throws IOException {
        CallerHandler handler = new CallerHandler() {
            @Override
            public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                requests.add(request);
                exchanges.add(exchange);
                if (respondsImmediately) {
                    exchange.respond(
                            200,
                            HttpFields.EMPTY,
                            ByteBuffer.wrap(request.target().getBytes()));
                }
            }

            @Override
            public void onDisconnect(CallerExchange exchange) {
                disconnected.countDown();
            }
        };
        listener = CallerListener.start(
                Address.of("127.0.0.1:0"),
                new ReentrantLock(),
                handler,
                () -> new CallerLimits(1_000, 100, 500, 10_000));
    }

    @AfterProperty
    void close() {
        listener.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0) {
            read.append((char) next);
            if (!end.isEmpty() && read.toString().endsWith(end)) {
                return read.toString();
            }
            next = socket.getInputStream().read();
        }
        return read.toString();
    }

    @Example
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        try (Socket socket = connect()) {
            send(socket, GET + GET.replace("/a", "/b"));
            assertThat(readUntil(socket, "/b")).contains("/a").endsWith("/b");
        }
    }

    @Example
    void aPipelinedRequestIsAnsweredAfterASlowOne() throws Exception {
        respondsImmediately = false;
        try (Socket socket = connect()) {
            send(socket, GET + GET.replace("/a", "/b"));
            awaitRequests(1);
            respondsImmediately = true;
            exchanges.getFirst().respond(200, HttpFields.EMPTY, ByteBuffer.wrap("first".getBytes()));
            assertThat(readUntil(socket, "/b")).contains("first").endsWith("/b");
        }
    }

    private void awaitRequests(int count) throws InterruptedException {
        for (int poll = 0; poll < 500 && requests.size() < count; poll++) {
            Thread.sleep(10);
        }
    }

    /*
     * Request smuggling: a body contains a second request that bypasses the checks, if two parsers of the same bytes
     * accept different framings.
     */
    @Example
    void ambiguousFramingIsRejectedAndTheConnectionIsClosed() throws IOException {
        for (String framing : List.of(
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "Content-Length : 4\r\n",
                "Content-Length: +4\r\n",
                "X: a\r\n folded: b\r\n",
                "Transfer-Encoding: xchunked\r\n")) {
            try (Socket socket = connect()) {
                send(
                        socket,
                        "POST /a HTTP/1.1\r\nHost: h\r\n" + framing
                                + "\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n");
                assertThat(readUntil(socket, "")).as(framing).startsWith("HTTP/1.1 4");
            }
        }
        assertThat(requests).noneMatch(request -> request.target().contains("evil"));
    }

    @Example
    void aDisconnectBeforeTheResponseIsDetected() throws Exception {
        respondsImmediately = false;
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitRequests(1);
        }
        assertThat(disconnected.await(3, TimeUnit.SECONDS)).isTrue();
    }

    @Example
    void aChunkedBodyIsReadCompletely() throws IOException {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
            readUntil(socket, "/c");
            assertThat(new String(requests.getFirst().body(), StandardCharsets.UTF_8))
                    .isEqualTo("abc");
        }
    }

    @Example
    void aBodyThatIsTooLargeIsRejected() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 413");
        }
    }

    @Example
    void headersThatAreTooSlowCloseTheConnection() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /c HTTP/1.1\r\nHo");
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 408");
        }
    }

    @Example
    void anAbortedResponseDoesNotLookComplete() throws Exception {
        respondsImmediately = false;
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitRequests(1);
            exchanges.getFirst().beginResponse(200, HttpFields.EMPTY);
            exchanges.getFirst().writePart(ByteBuffer.wrap("ab".getBytes()));
            exchanges.getFirst().abort();
            assertThat(readUntil(socket, "")).contains("chunked").doesNotContain("0\r\n\r\n");
        }
    }

    @Example
    void aDrainingListenerMakesCallersReconnect() throws IOException {
        listener.startDraining();
        try (Socket socket = connect()) {
            send(socket, GET);
            assertThat(readUntil(socket, "")).contains("Connection: close").endsWith("/a");
        }
    }
}
