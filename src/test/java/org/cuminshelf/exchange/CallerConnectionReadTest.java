package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;

/** Tests when a connection of a caller waits for bytes; its tasks are run by the test, which sees their exceptions. */
class CallerConnectionReadTest {

    private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<CallerExchange> exchanges = new ArrayList<>();
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private boolean respondsImmediately;
    private CallerListener listener;
    private SocketChannel caller;
    private SocketChannel accepted;

    /** Writes to memory, while reads go to the channel of the test. */
    private final class ChannelEndPoint extends ByteArrayEndPoint {
        @Override
        @SuppressWarnings("checkstyle:regexpsinglelinejava")
        public Object getTransport() {
            return accepted;
        }
    }

    @BeforeProperty
    void connect() throws IOException {
        CallerHandler handler = new CallerHandler() {
            @Override
            public void onRequest(ReceivedRequest request, CallerExchange exchange) {
                exchanges.add(exchange);
                if (respondsImmediately) {
                    exchange.respond(200, HttpFields.EMPTY, ByteBuffer.allocate(0));
                }
            }

            @Override
            public void onDisconnect(CallerExchange exchange) {
                // No caller disconnects here.
            }
        };
        listener = CallerListener.start(
                Address.of("127.0.0.1:0"), new ReentrantLock(), handler, () -> CallerLimits.DEFAULT);
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            caller = SocketChannel.open(server.getLocalAddress());
            accepted = server.accept();
            accepted.configureBlocking(false);
        }
    }

    @AfterProperty
    void close() throws IOException {
        listener.close();
        caller.close();
        accepted.close();
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    private void send(String text) throws IOException {
        caller.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /* Jetty threw ReadPendingException as the connection asked twice to be told of the next bytes. */
    @Example
    void aPipelinedRequestThatIsAnsweredAtOnceDoesNotWaitTwiceForBytes() throws IOException {
        ChannelEndPoint endPoint = new ChannelEndPoint();
        CallerConnection connection = new CallerConnection(listener, endPoint, tasks::add);
        endPoint.setConnection(connection);
        send(GET + GET);
        connection.onFillable();
        assertThat(exchanges).hasSize(1);
        respondsImmediately = true;
        exchanges.getFirst().respond(200, HttpFields.EMPTY, ByteBuffer.allocate(0));
        runTasks();
        assertThat(exchanges).hasSize(2);
        assertThat(endPoint.getOutputString()).contains("HTTP/1.1 200 OK");
        assertThat(connection.isFillInterested()).isTrue();
    }

    /* Two threads may find the same connection readable: its event and the check of timeouts. */
    @Example
    void aConnectionThatIsReadTwiceWaitsOnceForBytes() throws IOException {
        ChannelEndPoint endPoint = new ChannelEndPoint();
        CallerConnection connection = new CallerConnection(listener, endPoint, tasks::add);
        endPoint.setConnection(connection);
        connection.onFillable();
        respondsImmediately = true;
        send(GET);
        connection.onFillable();
        assertThat(exchanges).hasSize(1);
        assertThat(connection.isFillInterested()).isTrue();
    }

    /* A fault in one connection ended the check of all others. */
    @Example
    void aStepThatThrowsClosesItsConnectionAlone() {
        ChannelEndPoint endPoint = new ChannelEndPoint();
        CallerConnection connection = new CallerConnection(listener, endPoint, tasks::add);
        endPoint.setConnection(connection);
        connection.checkTimeouts(System.nanoTime(), null);
        assertThat(endPoint.isOpen()).isFalse();
    }

    /* A trickling caller could have held its connection for ever. */
    @Example
    void aSlowRequestIsReadOnOnlyOnce() throws IOException {
        ChannelEndPoint endPoint = new ChannelEndPoint();
        CallerConnection connection = new CallerConnection(listener, endPoint, tasks::add);
        endPoint.setConnection(connection);
        send("GET /a HT");
        connection.onFillable();
        long tooLateNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
        send("TP/1.1\r\n");
        connection.checkTimeouts(tooLateNanos, CallerLimits.DEFAULT);
        assertThat(endPoint.getOutputString()).isEmpty();
        send("Host: h\r\n");
        connection.checkTimeouts(tooLateNanos, CallerLimits.DEFAULT);
        assertThat(endPoint.getOutputString()).startsWith("HTTP/1.1 408");
    }
}
