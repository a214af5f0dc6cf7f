package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;

/** Guards against requests that reach an upstream after they were withdrawn, as they waited on their way to it. */
class WithdrawnRequestTest {

    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int SMALL_BUFFER_BYTES = 4 << 10;
    /** Fits in the send buffer of this side, but not in the receive buffer of the upstream. */
    private static final int BODY_BYTES = 200_000;

    private final ReentrantLock lock = new ReentrantLock();
    private ServerSocket server;
    private UpstreamConnections connections;
    private UpstreamExchange exchange;

    @BeforeProperty
    void open() throws IOException {
        server = new ServerSocket();
        server.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        server.setSoTimeout((int) TIMEOUT_MILLIS);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        connections = UpstreamConnections.start(lock);
    }

    @AfterProperty
    void close() throws IOException {
        connections.close();
        server.close();
    }

    private void send(UpstreamHandler handler) {
        lock.lock();
        try {
            exchange = connections.send(
                    Address.of("127.0.0.1:" + server.getLocalPort()),
                    "u",
                    new UpstreamRequest("POST", "/a", HttpFields.build().put("Host", "h"), new byte[BODY_BYTES]),
                    handler);
        } finally {
            lock.unlock();
        }
    }

    private void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        boolean holds = false;
        while (!holds) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
            lock.lock();
            try {
                holds = condition.getAsBoolean();
            } finally {
                lock.unlock();
            }
        }
    }

    private static int bytesUntilEnd(Socket socket) throws IOException {
        int count = 0;
        try {
            while (socket.getInputStream().read() >= 0) {
                count++;
            }
        } catch (SocketException reset) {
            return count;
        }
        return count;
    }

    @Example
    void aRequestThatIsWithdrawnAsItsConnectionIsMadeIsNotSent() throws IOException {
        send(new SilentHandler() {
            @Override
            public void beforeSend() {
                exchange.cancelAndReset();
            }
        });
        try (Socket socket = server.accept()) {
            socket.setSoTimeout(200);
            await(() -> connections.totalOpened() == 1);
            assertThat(exchange.isSent()).isFalse();
            connections.close();
            assertThat(bytesUntilEnd(socket)).isZero();
        }
    }

    @Example
    void aRequestThatWaitsInTheSendBufferAsItIsWithdrawnDoesNotArriveLater() throws IOException {
        send(new SilentHandler());
        try (Socket socket = server.accept()) {
            await(exchange::isSent);
            lock.lock();
            try {
                exchange.cancelAndReset();
            } finally {
                lock.unlock();
            }
            assertThat(bytesUntilEnd(socket)).isLessThan(BODY_BYTES);
        }
    }

    /** Expects no response. */
    private static class SilentHandler implements UpstreamHandler {

        @Override
        public void onHead(int status, HttpFields headers) {
            throw new AssertionError("unexpected response " + status);
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            throw new AssertionError("unexpected body");
        }

        @Override
        public void onComplete() {
            throw new AssertionError("unexpected end");
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            // The test ends the connection.
        }
    }
}
