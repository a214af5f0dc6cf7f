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

/** Connections of callers, over real sockets. */
class CallerConnectionTest {

    private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
    private final List<CallerExchange> exchanges = new CopyOnWriteArrayList<>();
    private final CountDownLatch gone = new CountDownLatch(1);
    private volatile boolean answersAtOnce = true;
    private CallerListener listener;

    @BeforeProperty
    void listen() throws IOException {
        CallerHandler handler = new CallerHandler() {
            @Override
            public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                requests.add(request);
                exchanges.add(exchange);
                if (answersAtOnce) {
                    exchange.respond(
                            200,
                            HttpFields.EMPTY,
                            ByteBuffer.wrap(request.target().getBytes()));
                }
            }

            @Override
            public void onDisconnect(CallerExchange exchange) {
                gone.countDown();
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
    void requestsOnOneConnectionAreAnsweredInOrderAlsoWhenSentTogether() throws IOException {
        try (Socket socket = connect()) {
            send(socket, GET + GET.replace("/a", "/b"));
            assertThat(readUntil(socket, "/b")).contains("/a").endsWith("/b");
        }
    }

    @Example
    void aRequestThatCameEarlyIsAnsweredAfterASlowOne() throws Exception {
        answersAtOnce = false;
        try (Socket socket = connect()) {
            send(socket, GET + GET.replace("/a", "/b"));
            await(1);
            answersAtOnce = true;
            exchanges.getFirst().respond(200, HttpFields.EMPTY, ByteBuffer.wrap("first".getBytes()));
            assertThat(readUntil(socket, "/b")).contains("first").endsWith("/b");
        }
    }

    private void await(int count) throws InterruptedException {
        for (int look = 0; look < 500 && requests.size() < count; look++) {
            Thread.sleep(10);
        }
    }

    /*
     * A caller's request carries a second one inside its body, past the checks meant for it. Two readers of the same
     * bytes took different framings for valid.
     */
    @Example
    void framingThatCanBeReadInTwoWaysIsRefusedAndTheConnectionEnds() throws IOException {
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
    void aCallerThatLeavesBeforeItsAnswerIsNoticed() throws Exception {
        answersAtOnce = false;
        try (Socket socket = connect()) {
            send(socket, GET);
            await(1);
        }
        assertThat(gone.await(3, TimeUnit.SECONDS)).isTrue();
    }

    @Example
    void aBodyInChunksIsReadWhole() throws IOException {
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
    void aBodyThatIsTooLargeIsRefused() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 413");
        }
    }

    @Example
    void headersThatDoNotComeInTimeEndTheConnection() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "GET /c HTTP/1.1\r\nHo");
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 408");
        }
    }

    @Example
    void anAnswerThatIsBrokenOffDoesNotLookComplete() throws Exception {
        answersAtOnce = false;
        try (Socket socket = connect()) {
            send(socket, GET);
            await(1);
            exchanges.getFirst().beginResponse(200, HttpFields.EMPTY);
            exchanges.getFirst().writePart(ByteBuffer.wrap("ab".getBytes()));
            exchanges.getFirst().abort();
            assertThat(readUntil(socket, "")).contains("chunked").doesNotContain("0\r\n\r\n");
        }
    }

    @Example
    void aProcessThatLeavesAsksCallersToConnectAnew() throws IOException {
        listener.startDraining();
        try (Socket socket = connect()) {
            send(socket, GET);
            assertThat(readUntil(socket, "")).contains("Connection: close").endsWith("/a");
        }
    }
}
