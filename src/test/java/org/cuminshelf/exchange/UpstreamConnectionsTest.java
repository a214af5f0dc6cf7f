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

/** Connections to upstreams, over real sockets. */
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
                // The test is over.
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
        BlockingQueue<Reachability> seen = new ArrayBlockingQueue<>(1);
        lock.lock();
        try {
            connections.probe(Address.of("127.0.0.1:" + port), "u", seen::add);
        } finally {
            lock.unlock();
        }
        return seen.poll(5, TimeUnit.SECONDS);
    }

    @Example
    void aConnectionTellsAnUpstreamThatListensFromOneThatHasEnded() throws Exception {
        assertThat(probe(server.getLocalPort())).isEqualTo(Reachability.LISTENING);
        ServerSocket ended = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ended.close();
        assertThat(probe(ended.getLocalPort())).isEqualTo(Reachability.REFUSED);
    }

    @Example
    void aConnectionOpenedToSeeWhoListensServesTheNextRequest() throws Exception {
        probe(server.getLocalPort());
        Outcome outcome = send();
        assertThat(accepted.poll(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(accepted.poll(100, TimeUnit.MILLISECONDS)).isNull();
        assertThat(outcome).isNotNull();
    }

    private Outcome send() {
        return send(server.getLocalPort());
    }

    private Outcome send(int port) {
        Outcome outcome = new Outcome();
        lock.lock();
        try {
            connections.send(
                    Address.of("127.0.0.1:" + port),
                    "u",
                    new UpstreamRequest("POST", "/a", HttpFields.build().put("Host", "h"), "body".getBytes()),
                    outcome);
        } finally {
            lock.unlock();
        }
        return outcome;
    }

    private Socket take() throws Exception {
        Socket socket = accepted.poll(5, TimeUnit.SECONDS);
        assertThat(socket).isNotNull();
        return socket;
    }

    private static void answer(Socket socket, String text) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith("body")) {
            read.append((char) in.read());
        }
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    @Example
    void aConnectionIsUsedAgainAfterAWholeAnswer() throws Exception {
        Outcome first = send();
        Socket socket = take();
        answer(socket, OK);
        assertThat(first.take()).isEqualTo("200 ok");
        Outcome second = send();
        answer(socket, OK);
        assertThat(second.take()).isEqualTo("200 ok");
        assertThat(connections.totalOpened()).isEqualTo(1);
    }

    /*
     * A caller reads the answer to another's request. Its upstream sent a second answer after the first, and the next
     * request on the connection took it for its own.
     */
    @Example
    void aConnectionWithBytesBeyondItsAnswerIsNotUsedAgain() throws Exception {
        Outcome first = send();
        answer(take(), OK + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
        assertThat(first.take()).isEqualTo("200 ok");
        Outcome second = send();
        answer(take(), OK);
        assertThat(second.take()).isEqualTo("200 ok");
    }

    /*
     * Half an answer is passed on as a whole one: it had no length, its upstream died in the middle, and the reset was
     * taken for the end.
     */
    @Example
    void anAnswerWithoutALengthThatEndsInAResetIsNotWhole() throws Exception {
        Outcome outcome = send();
        Socket socket = take();
        answer(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
        Thread.sleep(200);
        socket.setSoLinger(true, 0);
        socket.close();
        assertThat(outcome.take()).isEqualTo("failed sent=true");
    }

    @Example
    void anAnswerWithoutALengthThatEndsInOrderIsWhole() throws Exception {
        Outcome outcome = send();
        Socket socket = take();
        answer(socket, "HTTP/1.1 200 OK\r\n\r\nwhole");
        socket.close();
        assertThat(outcome.take()).isEqualTo("200 whole");
    }

    @Example
    void anAnswerThatEndsBeforeItsLengthIsNotWhole() throws Exception {
        Outcome outcome = send();
        Socket socket = take();
        answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        socket.close();
        assertThat(outcome.take()).isEqualTo("failed sent=true");
    }

    @Example
    void bytesThatAreNoAnswerAreAFailure() throws Exception {
        Outcome outcome = send();
        answer(take(), "\u0001\u0002garbage\r\n\r\n");
        assertThat(outcome.take()).isEqualTo("failed sent=true");
    }

    @Example
    void whereNobodyListensNothingWasSent() throws Exception {
        int unused;
        try (ServerSocket once = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unused = once.getLocalPort();
        }
        assertThat(send(unused).take()).isEqualTo("failed sent=false");
    }

    /** What came of a request. */
    private static final class Outcome implements UpstreamHandler {
        private final BlockingQueue<String> result = new ArrayBlockingQueue<>(1);
        private final StringBuilder body = new StringBuilder();
        private int status;

        String take() throws InterruptedException {
            return String.valueOf(result.poll(5, TimeUnit.SECONDS));
        }

        @Override
        public void onHead(int answered, HttpFields headers) {
            status = answered;
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
