package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;

/** Tests the pool of connections to upstreams over real sockets. */
class UpstreamConnectionsTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private final ReentrantLock lock = new ReentrantLock();
    private final BlockingQueue<Socket> accepted = new ArrayBlockingQueue<>(10);
    private ServerSocket server;
    private UpstreamConnections connections;

    @BeforeProperty
    void open() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(server.accept());
                }
            } catch (IOException end) {
                // The server socket was closed at the end of the test.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
        connections = UpstreamConnections.start(lock);
    }

    @AfterProperty
    void close() throws IOException {
        connections.close();
        server.close();
    }

    private Reachability probe(int port) throws InterruptedException {
        BlockingQueue<Reachability> result = new ArrayBlockingQueue<>(1);
        lock.lock();
        try {
            connections.probe(Address.of("127.0.0.1:" + port), "u", result::add);
        } finally {
            lock.unlock();
        }
        return result.poll(5, TimeUnit.SECONDS);
    }

    @Example
    void aProbeDistinguishesAListeningUpstreamFromAStoppedOne() throws Exception {
        assertThat(probe(server.getLocalPort())).isEqualTo(Reachability.LISTENING);
        ServerSocket ended = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ended.close();
        assertThat(probe(ended.getLocalPort())).isEqualTo(Reachability.REFUSED);
    }

    @Example
    void theConnectionOfAProbeServesTheNextRequest() throws Exception {
        probe(server.getLocalPort());
        RecordedResponse response = send();
        assertThat(accepted.poll(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(accepted.poll(100, TimeUnit.MILLISECONDS)).isNull();
        assertThat(response).isNotNull();
    }

    private RecordedResponse send() {
        return send(server.getLocalPort());
    }

    private RecordedResponse send(int port) {
        RecordedResponse response = new RecordedResponse();
        lock.lock();
        try {
            connections.send(
                    Address.of("127.0.0.1:" + port),
                    "u",
                    new UpstreamRequest("POST", "/a", HttpFields.build().put("Host", "h"), "body".getBytes()),
                    response);
        } finally {
            lock.unlock();
        }
        return response;
    }

    private Socket takeSocket() throws Exception {
        Socket socket = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(socket).isNotNull();
        return socket;
    }

    private static void respond(Socket socket, String text) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith("body")) {
            read.append((char) in.read());
        }
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    @Example
    void aConnectionIsReusedAfterACompleteResponse() throws Exception {
        RecordedResponse first = send();
        Socket socket = takeSocket();
        respond(socket, OK);
        assertThat(first.awaitResult()).isEqualTo("200 ok");
        RecordedResponse second = send();
        respond(socket, OK);
        assertThat(second.awaitResult()).isEqualTo("200 ok");
        assertThat(connections.totalOpened()).isEqualTo(1);
    }

    /*
     * A caller would receive the response to another's request, if an upstream sends a second response after the first
     * and it is taken for the response to the next request on the connection.
     */
    @Example
    void aConnectionWithBytesAfterItsResponseIsNotReused() throws Exception {
        RecordedResponse first = send();
        respond(takeSocket(), OK + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
        assertThat(first.awaitResult()).isEqualTo("200 ok");
        RecordedResponse second = send();
        respond(takeSocket(), OK);
        assertThat(second.awaitResult()).isEqualTo("200 ok");
    }

    /*
     * A partial response would be forwarded as complete, if it has no length, its upstream crashes before its end, and
     * the reset is taken for an orderly close.
     */
    @Example
    void aResponseWithoutALengthThatEndsInAResetIsIncomplete() throws Exception {
        RecordedResponse response = send();
        Socket socket = takeSocket();
        respond(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
        Thread.sleep(200);
        socket.setSoLinger(true, 0);
        socket.close();
        assertThat(response.awaitResult()).isEqualTo("failed sent=true");
    }

    @Example
    void aResponseWithoutALengthThatEndsInAnOrderlyCloseIsComplete() throws Exception {
        RecordedResponse response = send();
        Socket socket = takeSocket();
        respond(socket, "HTTP/1.1 200 OK\r\n\r\nwhole");
        socket.close();
        assertThat(response.awaitResult()).isEqualTo("200 whole");
    }

    @Example
    void aResponseThatIsShorterThanItsLengthIsIncomplete() throws Exception {
        RecordedResponse response = send();
        Socket socket = takeSocket();
        respond(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        socket.close();
        assertThat(response.awaitResult()).isEqualTo("failed sent=true");
    }

    @Example
    void aMalformedResponseIsAFailure() throws Exception {
        RecordedResponse response = send();
        respond(takeSocket(), "\u0001\u0002garbage\r\n\r\n");
        assertThat(response.awaitResult()).isEqualTo("failed sent=true");
    }

    @Example
    void aRefusedConnectionMeansThatNothingWasSent() throws Exception {
        int unusedPort;
        try (ServerSocket closedServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedPort = closedServer.getLocalPort();
        }
        assertThat(send(unusedPort).awaitResult()).isEqualTo("failed sent=false");
    }

    /** Records the response to a request or its failure. */
    private static final class RecordedResponse implements UpstreamHandler {
        private final BlockingQueue<String> result = new ArrayBlockingQueue<>(1);
        private final StringBuilder body = new StringBuilder();
        private int status;

        String awaitResult() throws InterruptedException {
            return String.valueOf(result.poll(5, TimeUnit.SECONDS));
        }

        @Override
        public void onHead(int code, HttpFields headers) {
            status = code;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            body.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        public void onComplete() {
            result.add(status + " " + body);
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            result.add("failed sent=" + sent);
        }
    }
}
