package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;

/** Tests over real sockets that no request which was read, or waits in the socket, is lost with its connection. */
class CallerConnectionLossTest {

    private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String GET_NEXT = GET.replace("/a", "/b");
    private static final int LARGE_BODY_BYTES = (8 << 20) - (64 << 10);
    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;
    private static final int READ_STEP_BYTES = 64 << 10;
    private static final int SLOW_READ_STEPS = 28;
    /** More parts of a stream than all queues hold. */
    private static final int UNREAD_PARTS = 400;

    private static final long HEADER_TIMEOUT_MILLIS = 1_500;
    private static final CallerLimits USUAL_LIMITS = new CallerLimits(1_000, 100, HEADER_TIMEOUT_MILLIS, 10_000);

    private final List<CallerExchange> exchanges = new CopyOnWriteArrayList<>();
    private final List<String> breaches = new CopyOnWriteArrayList<>();
    private final ReentrantLock lock = new ReentrantLock();
    private volatile CallerLimits limits = USUAL_LIMITS;
    private volatile CallerHandler handler = new EchoHandler();
    private CallerListener listener;

    /** Responds with the target of the request. */
    private class EchoHandler implements CallerHandler {
        @Override
        public void onRequest(ReceivedRequest request, CallerExchange exchange) {
            exchanges.add(exchange);
            exchange.respond(
                    200, HttpFields.EMPTY, ByteBuffer.wrap(request.target().getBytes()));
        }

        @Override
        public void onDisconnect(CallerExchange exchange) {
            // Each request is answered at once.
        }
    }

    /** Collects the exchanges, which the test answers. */
    private class SilentHandler extends EchoHandler {
        @Override
        public void onRequest(ReceivedRequest request, CallerExchange exchange) {
            exchanges.add(exchange);
        }
    }

    /** Responds with a body that is larger than the buffers of the sockets. */
    private final class LargeBodyHandler extends EchoHandler {
        private final int bodyBytes;

        private LargeBodyHandler(int bodyBytes) {
            this.bodyBytes = bodyBytes;
        }

        @Override
        public void onRequest(ReceivedRequest request, CallerExchange exchange) {
            exchanges.add(exchange);
            exchange.respond(200, HttpFields.EMPTY, ByteBuffer.wrap(new byte[bodyBytes]));
        }
    }

    @BeforeProperty
    void listen() throws IOException {
        CallerHandler current = new CallerHandler() {
            @Override
            public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                handler.onRequest(request, exchange);
            }

            @Override
            public void onDisconnect(CallerExchange exchange) {
                handler.onDisconnect(exchange);
            }
        };
        CallerConnectionLog log = CallerConnectionLog.register(new PrometheusRegistry(), (holds, name, detail) -> {
            if (!holds) {
                breaches.add(name + ": " + detail.get());
            }
        });
        listener = CallerListener.start(
                Address.of("127.0.0.1:0"), lock, current, () -> Objects.requireNonNull(limits), log);
    }

    @AfterProperty
    void close() {
        listener.close();
        assertThat(breaches).isEmpty();
    }

    private static CallerLimits withIdleTimeout(long idleTimeoutMillis) {
        return new CallerLimits(1_000, 100, HEADER_TIMEOUT_MILLIS, idleTimeoutMillis);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress("127.0.0.1", listener.port()));
        socket.setSoTimeout(5_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads until the text ends with an end, or the connection ends. */
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

    private void awaitExchanges(int count) throws InterruptedException {
        for (int poll = 0; poll < 500 && exchanges.size() < count; poll++) {
            Thread.sleep(10);
        }
        assertThat(exchanges).hasSize(count);
    }

    /** Runs an action while the lock is held and the check of timeouts waits for it. */
    private void whileCheckWaits(long heldMillis, ThrowingAction action) throws Exception {
        lock.lock();
        try {
            for (int poll = 0; poll < 500 && !lock.hasQueuedThreads(); poll++) {
                Thread.sleep(10);
            }
            assertThat(lock.hasQueuedThreads()).isTrue();
            Thread.sleep(heldMillis);
            action.run();
            Thread.sleep(50);
        } finally {
            lock.unlock();
        }
    }

    private interface ThrowingAction {
        void run() throws Exception;
    }

    /** Reads to the end, with pauses between the first steps. */
    private static long readSlowly(Socket socket, long pauseMillis) throws Exception {
        InputStream input = socket.getInputStream();
        long total = 0;
        try {
            byte[] bytes = input.readNBytes(READ_STEP_BYTES);
            for (int step = 0; bytes.length > 0; step++) {
                total += bytes.length;
                if (step < SLOW_READ_STEPS) {
                    Thread.sleep(pauseMillis);
                }
                bytes = input.readNBytes(READ_STEP_BYTES);
            }
        } catch (IOException closed) {
            return total;
        }
        return total;
    }

    // ---- the port

    /* Guards against a stopping process that accepts thousands of connections a second only to close them unread. */
    @Example
    void aListenerThatStopsAcceptingRefusesConnectionsAndKeepsOpenOnes() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            int port = listener.port();
            listener.stopAccepting();
            // The connection that makes the kernel's event loop notice the close may still be reset.
            assertThat(isRefused(port) || isRefused(port)).isTrue();
            assertThat(isRefused(port)).isTrue();
            send(socket, GET_NEXT);
            assertThat(readUntil(socket, "/b")).endsWith("/b");
        }
    }

    private static boolean isRefused(int port) throws Exception {
        try (Socket _ = new Socket("127.0.0.1", port)) {
            Thread.sleep(100);
            return false;
        } catch (ConnectException refused) {
            return true;
        }
    }

    // ---- idle timeouts

    /* A change of the configuration that lowers the limit closed connections whose next request had arrived. */
    @Example
    void aRequestThatArrivesWhileTheLimitIsLoweredIsAnswered() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            Thread.sleep(1_200);
            whileCheckWaits(0, () -> {
                limits = withIdleTimeout(1_000);
                send(socket, GET_NEXT);
            });
            assertThat(readUntil(socket, "/b")).endsWith("/b");
        }
    }

    /* A process that stood still closed connections as idle though a request had arrived within the limit. */
    @Example
    void aRequestThatArrivesWithinTheLimitIsAnsweredAfterAPause() throws Exception {
        limits = withIdleTimeout(1_000);
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            whileCheckWaits(0, () -> {
                send(socket, GET_NEXT);
                Thread.sleep(1_300);
            });
            assertThat(readUntil(socket, "/b")).endsWith("/b");
        }
    }

    /* A caller that knew the old limit reused its connection and met the close by the lowered one. */
    @Example
    void aLoweredLimitHoldsFromTheNextIdleTimeOn() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            limits = withIdleTimeout(300);
            Thread.sleep(900);
            send(socket, GET_NEXT);
            assertThat(readUntil(socket, "/b")).endsWith("/b");
            assertThat(readUntil(socket, "")).isEmpty();
        }
    }

    /* The caller of a stream learned the limit with its head, before the limit was lowered. */
    @Example
    void aLimitToldWithTheHeadOfAStreamHoldsAfterItsEnd() throws Exception {
        handler = new SilentHandler();
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            lastExchange().beginResponse(200, HttpFields.EMPTY);
            limits = withIdleTimeout(300);
            lastExchange().endResponse();
            readUntil(socket, "0\r\n\r\n");
            handler = new EchoHandler();
            Thread.sleep(900);
            send(socket, GET_NEXT);
            assertThat(readUntil(socket, "/b")).endsWith("/b");
        }
    }

    @Example
    void aRaisedLimitHoldsAtOnce() throws Exception {
        limits = withIdleTimeout(800);
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            limits = withIdleTimeout(10_000);
            Thread.sleep(1_500);
            send(socket, GET_NEXT);
            assertThat(readUntil(socket, "/b")).endsWith("/b");
        }
    }

    @Example
    void aSilentConnectionIsClosedAtItsLimit() throws Exception {
        limits = withIdleTimeout(500);
        try (Socket socket = connect();
                Socket unused = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            long startNanos = System.nanoTime();
            assertThat(readUntil(socket, "")).isEmpty();
            assertThat(readUntil(unused, "")).isEmpty();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isBetween(400L, 4_000L);
        }
    }

    /* A stopping process closed connections as unused although their next request had arrived. */
    @Example
    void aRequestThatArrivesBeforeTheDrainLooksIsAnswered() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            listener.startDraining();
            Thread drain = new Thread(listener::closeIdleConnections);
            lock.lock();
            try {
                drain.start();
                while (!lock.hasQueuedThread(drain)) {
                    Thread.sleep(5);
                }
                send(socket, GET_NEXT);
                Thread.sleep(50);
            } finally {
                lock.unlock();
            }
            assertThat(readUntil(socket, "/b")).contains("Connection: close").endsWith("/b");
            drain.join();
        }
    }

    /* Guards against a stopping process that closes a connection while its caller's next request is on the way. */
    @Example
    void aCallerThatSendsItsNextRequestRightAfterAStreamIsAnsweredByADrainingProcess() throws Exception {
        handler = new SilentHandler();
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            lastExchange().beginResponse(200, HttpFields.EMPTY);
            listener.startDraining();
            lastExchange().endResponse();
            handler = new EchoHandler();
            readUntil(socket, "0\r\n\r\n");
            listener.closeIdleConnections();
            send(socket, GET_NEXT);
            assertThat(readUntil(socket, "/b")).contains("Connection: close").endsWith("/b");
        }
    }

    /* Callers that don't know the limit reuse a connection in the moment in which it is closed. */
    @Example
    void responsesTellCallersALimitBelowTheOneInForce() throws Exception {
        limits = withIdleTimeout(15_000);
        try (Socket socket = connect()) {
            send(socket, GET);
            assertThat(readUntil(socket, "/a")).contains("Keep-Alive: timeout=12\r\n");
            limits = withIdleTimeout(1_000);
            send(socket, GET);
            assertThat(readUntil(socket, "/a")).doesNotContain("Keep-Alive");
            limits = withIdleTimeout(15_000);
            listener.startDraining();
            send(socket, GET);
            assertThat(readUntil(socket, "/a")).contains("Connection: close").doesNotContain("Keep-Alive");
        }
    }

    // ---- slow requests

    /* A process that stood still rejected requests as too slow whose remainder had arrived. */
    @Example
    void headersThatArriveDuringAPauseAreNotTooSlow() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /c HTTP/1.1\r\nHo");
            Thread.sleep(100);
            whileCheckWaits(HEADER_TIMEOUT_MILLIS, () -> send(socket, "st: h\r\n\r\n"));
            assertThat(readUntil(socket, "/c")).startsWith("HTTP/1.1 200");
        }
    }

    @Example
    void aBodyThatArrivesDuringAPauseIsNotTooSlow() throws Exception {
        limits = withIdleTimeout(300);
        try (Socket socket = connect()) {
            send(socket, "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
            Thread.sleep(100);
            whileCheckWaits(HEADER_TIMEOUT_MILLIS + 400, () -> send(socket, "y"));
            assertThat(readUntil(socket, "/c")).startsWith("HTTP/1.1 200");
        }
    }

    /* A body whose remainder did not fit into the socket was rejected while its caller was sending it. */
    @Example
    void aBodyThatGoesOnAfterAPauseIsNotTooSlow() throws Exception {
        limits = withIdleTimeout(300);
        try (Socket socket = connect()) {
            send(socket, "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx");
            Thread.sleep(100);
            whileCheckWaits(HEADER_TIMEOUT_MILLIS + 400, () -> send(socket, "y"));
            Thread.sleep(50);
            send(socket, "z");
            assertThat(readUntil(socket, "/c")).startsWith("HTTP/1.1 200");
        }
    }

    /* The slow start of a next request passed for a body, which has a longer limit. */
    @Example
    void headersOfANextRequestThatAreTooSlowAreRejected() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            send(socket, "GET /c HT");
            assertThat(readUntil(socket, "time.\n")).startsWith("HTTP/1.1 408");
        }
    }

    @Example
    void headersThatTrickleAreRejectedInTheEnd() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /c HTTP/1.1\r\nX: ");
            long startNanos = System.nanoTime();
            while (socket.getInputStream().available() == 0) {
                send(socket, "y");
                Thread.sleep(20);
                assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos))
                        .isLessThan(4);
            }
            assertThat(readUntil(socket, "time.\n")).startsWith("HTTP/1.1 408");
        }
    }

    // ---- pipelined requests

    /* A stopping process said Connection: close with a response and dropped the request that it had read meanwhile. */
    @Example
    void aPipelinedRequestIsAnsweredBeforeTheDrainClosesItsConnection() throws Exception {
        handler = new SilentHandler();
        try (Socket socket = connect()) {
            send(socket, GET + GET_NEXT);
            awaitExchanges(1);
            listener.startDraining();
            handler = new EchoHandler();
            lastExchange().respond(200, HttpFields.EMPTY, ByteBuffer.wrap("first".getBytes()));
            assertThat(readUntil(socket, "first")).doesNotContain("Connection: close");
            assertThat(readUntil(socket, "/b")).contains("Connection: close").endsWith("/b");
        }
    }

    @Example
    void pipelinedRequestsAreAllAnsweredDuringADrain() throws Exception {
        listener.startDraining();
        try (Socket socket = connect()) {
            send(socket, GET + GET + GET_NEXT);
            String responses = readUntil(socket, "/b");
            assertThat(responses).containsOnlyOnce("Connection: close").endsWith("/b");
            assertThat(responses.indexOf("Connection: close")).isGreaterThan(responses.lastIndexOf("/a"));
        }
    }

    @Example
    void aPipelinedRequestReadInPartIsAnsweredDuringADrain() throws Exception {
        handler = new SilentHandler();
        try (Socket socket = connect()) {
            send(socket, GET + "GET /b HT");
            awaitExchanges(1);
            listener.startDraining();
            handler = new EchoHandler();
            lastExchange().respond(200, HttpFields.EMPTY, ByteBuffer.wrap("first".getBytes()));
            send(socket, "TP/1.1\r\nHost: h\r\n\r\n");
            readUntil(socket, "first");
            assertThat(readUntil(socket, "/b")).contains("Connection: close").endsWith("/b");
        }
    }

    /* A request waited in the socket, unread, while the response before it said Connection: close. */
    @Example
    void aPipelinedRequestThatIsStillInTheSocketIsAnsweredDuringADrain() throws Exception {
        handler = new SilentHandler();
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            listener.startDraining();
            lock.lock();
            try {
                send(socket, GET_NEXT);
                Thread.sleep(50);
                handler = new EchoHandler();
                exchanges.getFirst().respond(200, HttpFields.EMPTY, ByteBuffer.wrap("first".getBytes()));
            } finally {
                lock.unlock();
            }
            readUntil(socket, "first");
            assertThat(readUntil(socket, "/b")).contains("Connection: close").endsWith("/b");
        }
    }

    /* Request smuggling: bytes after a malformed request must not become a request. */
    @Example
    void bytesAfterAMalformedRequestStayDroppedDuringADrain() throws Exception {
        listener.startDraining();
        try (Socket socket = connect()) {
            send(socket, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n" + GET_NEXT);
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 400").doesNotContain("/b");
            assertThat(exchanges).isEmpty();
        }
    }

    // ---- exceptions of the handler

    /* An exception in the core left a request without an answer, and its connection unread. */
    @Example
    void aHandlerThatThrowsBeforeTheResponseGetsAnErrorThatPromisesNothing() throws Exception {
        try (Socket other = connect();
                Socket socket = connect()) {
            send(other, GET);
            readUntil(other, "/a");
            handler = new EchoHandler() {
                @Override
                public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                    throw new IllegalStateException("a fault of the core");
                }
            };
            send(socket, GET);
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 502").contains("may have run");
            handler = new EchoHandler();
            send(other, GET_NEXT);
            assertThat(readUntil(other, "/b")).endsWith("/b");
        }
    }

    @Example
    void aHandlerThatThrowsAfterTheHeadClosesTheConnection() throws Exception {
        handler = new EchoHandler() {
            @Override
            public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                exchange.beginResponse(200, HttpFields.EMPTY);
                throw new IllegalStateException("a fault of the core");
            }
        };
        try (Socket socket = connect()) {
            send(socket, GET);
            assertThat(readUntil(socket, "")).contains("chunked").doesNotContain("0\r\n\r\n");
        }
    }

    @Example
    void aHandlerThatThrowsOnAPipelinedRequestStillEndsIt() throws Exception {
        handler = new SilentHandler();
        try (Socket socket = connect()) {
            send(socket, GET + GET_NEXT);
            awaitExchanges(1);
            handler = new EchoHandler() {
                @Override
                public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                    throw new IllegalStateException("a fault of the core");
                }
            };
            lastExchange().respond(200, HttpFields.EMPTY, ByteBuffer.wrap("first".getBytes()));
            readUntil(socket, "first");
            assertThat(readUntil(socket, "")).startsWith("HTTP/1.1 502");
        }
    }

    @Example
    void timeoutsAreStillCheckedAfterAFaultOfTheLimits() throws Exception {
        limits = withIdleTimeout(600);
        try (Socket socket = connect()) {
            send(socket, GET);
            readUntil(socket, "/a");
            limits = null;
            Thread.sleep(600);
            limits = withIdleTimeout(600);
            assertThat(readUntil(socket, "")).isEmpty();
        }
    }

    @Example
    void aHandlerThatThrowsOnADisconnectHarmsNoOtherConnection() throws Exception {
        handler = new SilentHandler() {
            @Override
            public void onDisconnect(CallerExchange exchange) {
                throw new IllegalStateException("a fault of the core");
            }
        };
        try (Socket other = connect()) {
            try (Socket socket = connect()) {
                send(socket, GET);
                awaitExchanges(1);
            }
            Thread.sleep(200);
            handler = new EchoHandler();
            send(other, GET_NEXT);
            assertThat(readUntil(other, "/b")).endsWith("/b");
        }
    }

    /* A fault of the core at the stop of the process left the other requests without an end. */
    @Example
    void theCoreIsToldOfEachOpenRequestAtTheStop() throws Exception {
        AtomicInteger disconnects = new AtomicInteger();
        handler = new SilentHandler() {
            @Override
            public void onDisconnect(CallerExchange exchange) {
                disconnects.incrementAndGet();
                throw new IllegalStateException("a fault of the core");
            }
        };
        try (Socket first = connect();
                Socket second = connect()) {
            send(first, GET);
            send(second, GET);
            awaitExchanges(2);
            listener.close();
            assertThat(disconnects).hasValue(2);
        }
    }

    // ---- unsent responses

    /* The idle time began when a response was queued, so that a slow caller lost the remainder of it. */
    @Example
    void aResponseThatIsReadSlowlyIsNotCutByTheIdleTimeout() throws Exception {
        limits = withIdleTimeout(3_000);
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            assertThat(readSlowly(socket, 250)).isGreaterThan(LARGE_BODY_BYTES);
        }
    }

    /* The idle time of a caller that read slowly was over before it had read its response. */
    @Example
    void theIdleTimeBeginsOnceTheResponseIsWritten() throws Exception {
        limits = withIdleTimeout(2_000);
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            handler = new EchoHandler();
            for (int read = 0; read < LARGE_BODY_BYTES; read += READ_STEP_BYTES) {
                Thread.sleep(20);
                socket.getInputStream().readNBytes(Math.min(READ_STEP_BYTES, LARGE_BODY_BYTES - read));
            }
            Thread.sleep(400);
            send(socket, GET_NEXT);
            assertThat(readUntil(socket, "/b")).endsWith("/b");
        }
    }

    @Example
    void aResponseThatSaysCloseIsNotCutByTheLinger() throws Exception {
        listener.startDraining();
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            Thread.sleep(1_600);
            assertThat(readSlowly(socket, 150)).isGreaterThan(LARGE_BODY_BYTES);
        }
    }

    @Example
    void aResponseThatIsNotYetWrittenIsNotCutByADrain() throws Exception {
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            Thread.sleep(100);
            listener.startDraining();
            listener.closeIdleConnections();
            Thread closer = new Thread(this::closeIdleConnectionsRepeatedly);
            closer.start();
            assertThat(readSlowly(socket, 20)).isGreaterThan(LARGE_BODY_BYTES);
            closer.join();
        }
    }

    private void closeIdleConnectionsRepeatedly() {
        try {
            for (int poll = 0; poll < 100; poll++) {
                listener.closeIdleConnections();
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /* A whole answer above the limit for slow callers was dropped although nothing was queued before it. */
    @Example
    void aResponseLargerThanTheWriteQueueIsWrittenWhole() throws Exception {
        int bodyBytes = 20 << 20;
        handler = new LargeBodyHandler(bodyBytes);
        try (Socket socket = connect()) {
            send(socket, GET.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            assertThat(readSlowly(socket, 0)).isGreaterThan(bodyBytes);
        }
    }

    /* A caller that closes its side after the request lost the unwritten remainder of the response. */
    @Example
    void aResponseIsWrittenWholeToACallerThatClosedItsSide() throws Exception {
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            socket.shutdownOutput();
            assertThat(readSlowly(socket, 20)).isGreaterThan(LARGE_BODY_BYTES);
        }
    }

    /* The abort of a stream dropped the unwritten remainder of the response before it. */
    @Example
    void anAbortedStreamDoesNotCutTheResponseBeforeIt() throws Exception {
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            handler = new SilentHandler();
            send(socket, GET_NEXT);
            awaitExchanges(2);
            lastExchange().beginResponse(200, HttpFields.EMPTY);
            lastExchange().abort();
            assertThat(readSlowly(socket, 20)).isGreaterThan(LARGE_BODY_BYTES);
        }
    }

    /* The core was called back about a failed write while it was writing, in the midst of its own change of state. */
    @Example
    void aCallerThatReadsNoneOfItsStreamIsDroppedOnceTheCoreHasFinished() throws Exception {
        AtomicInteger disconnects = new AtomicInteger();
        handler = new SilentHandler() {
            @Override
            public void onDisconnect(CallerExchange exchange) {
                disconnects.incrementAndGet();
            }
        };
        try (Socket socket = connect()) {
            send(socket, GET);
            awaitExchanges(1);
            lock.lock();
            try {
                exchanges.getFirst().beginResponse(200, HttpFields.EMPTY);
                for (int part = 0; part < UNREAD_PARTS; part++) {
                    exchanges.getFirst().writePart(ByteBuffer.wrap(new byte[RECEIVE_BUFFER_BYTES]));
                }
                assertThat(disconnects).hasValue(0);
            } finally {
                lock.unlock();
            }
            for (int poll = 0; poll < 500 && disconnects.get() == 0; poll++) {
                Thread.sleep(10);
            }
            assertThat(disconnects).hasValue(1);
        }
    }

    @Example
    void aCallerThatReadsNothingIsClosedAtTheIdleLimit() throws Exception {
        limits = withIdleTimeout(500);
        handler = new LargeBodyHandler(LARGE_BODY_BYTES);
        try (Socket socket = connect()) {
            send(socket, GET);
            Thread.sleep(2_500);
            assertThat(readSlowly(socket, 0)).isLessThan(LARGE_BODY_BYTES);
        }
    }

    private CallerExchange lastExchange() {
        return new LockedExchange(exchanges.getLast());
    }

    /** Responds under the lock, as the core does. */
    private final class LockedExchange implements CallerExchange {
        private final CallerExchange exchange;

        private LockedExchange(CallerExchange exchange) {
            this.exchange = exchange;
        }

        private void locked(Runnable action) {
            lock.lock();
            try {
                action.run();
            } finally {
                lock.unlock();
            }
        }

        @Override
        public boolean hasCallerLeft() {
            lock.lock();
            try {
                return exchange.hasCallerLeft();
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void respond(int status, HttpFields headers, ByteBuffer body) {
            locked(() -> exchange.respond(status, headers, body));
        }

        @Override
        public void beginResponse(int status, HttpFields headers) {
            locked(() -> exchange.beginResponse(status, headers));
        }

        @Override
        public void writePart(ByteBuffer bytes) {
            locked(() -> exchange.writePart(bytes));
        }

        @Override
        public void endResponse() {
            locked(exchange::endResponse);
        }

        @Override
        public void abort() {
            locked(exchange::abort);
        }
    }
}
