package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;

/** Guards against aborted responses that callers take for complete ones, whatever version of HTTP they speak. */
class AbortedResponseTest {

    private static final String PART = "id: 1\ndata: a\n\n";
    private static final String OLD = "GET /a HTTP/1.0\r\nHost: h\r\n\r\n";
    private static final String CLOSING = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    private final BlockingQueue<CallerExchange> exchanges = new ArrayBlockingQueue<>(10);
    private final ReentrantLock lock = new ReentrantLock();
    private CallerListener listener;

    @BeforeProperty
    void listen() throws IOException {
        CallerHandler handler = new CallerHandler() {
            @Override
            public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                exchange.beginResponse(200, HttpFields.EMPTY);
                exchange.writePart(ByteBuffer.wrap(PART.getBytes(StandardCharsets.UTF_8)));
                exchanges.add(exchange);
            }

            @Override
            public void onDisconnect(CallerExchange exchange) {
                // Each test ends its responses itself.
            }
        };
        listener = CallerListener.start(
                Address.of("127.0.0.1:0"), lock, handler, () -> new CallerLimits(1_000, 100, 500, 10_000));
    }

    @AfterProperty
    void close() {
        listener.close();
    }

    /** Sends a request and reads until the first part of the response has come. */
    private Socket receiveFirstPart(String request) throws IOException {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder text = new StringBuilder();
        while (!text.toString().contains(PART)) {
            text.append((char) socket.getInputStream().read());
        }
        if (request.equals(OLD)) {
            assertThat(text.toString()).doesNotContain("chunked").endsWith("\r\n\r\n" + PART);
        }
        return socket;
    }

    private void withExchange(Consumer<CallerExchange> step) throws InterruptedException {
        CallerExchange exchange = exchanges.poll(5, TimeUnit.SECONDS);
        lock.lock();
        try {
            step.accept(exchange);
        } finally {
            lock.unlock();
        }
    }

    /** Guards against chunks sent to a caller that does not know them, and thus takes their sizes for content. */
    @Example
    void anHttp10CallerReceivesAStreamWithoutChunksThatEndsWithItsConnection() throws Exception {
        try (Socket socket = receiveFirstPart(OLD)) {
            withExchange(exchange -> {
                exchange.writePart(ByteBuffer.wrap(PART.getBytes(StandardCharsets.UTF_8)));
                exchange.endResponse();
            });
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .isEqualTo(PART);
        }
    }

    /** Guards against an aborted stream whose connection is closed in order, which is the end of a whole one. */
    @Example
    void anHttp10CallerSeesAnAbortedStreamAsAReset() throws Exception {
        try (Socket socket = receiveFirstPart(OLD)) {
            withExchange(CallerExchange::abort);
            assertThatThrownBy(() -> socket.getInputStream().readAllBytes()).isInstanceOf(SocketException.class);
        }
    }

    /** Guards against the same where the process stops while a stream is under way. */
    @Example
    void anHttp10CallerSeesAStreamThatTheEndOfTheProcessCutsAsAReset() throws Exception {
        try (Socket socket = receiveFirstPart(OLD)) {
            listener.close();
            assertThatThrownBy(() -> socket.getInputStream().readAllBytes()).isInstanceOf(SocketException.class);
        }
    }

    @Example
    void aCallerThatAsksForACloseSeesAnAbortedStreamByItsMissingLastChunk() throws Exception {
        try (Socket socket = receiveFirstPart(CLOSING)) {
            withExchange(CallerExchange::abort);
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
                    .doesNotContain("0\r\n\r\n");
        }
    }
}
