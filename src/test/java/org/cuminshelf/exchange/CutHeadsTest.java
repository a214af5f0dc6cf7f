package org.cuminshelf.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpFields;

/**
 * Guards against an answer whose head was cut and that reaches its caller as whole, with an empty or short body: an
 * upstream ends its connection at each byte of its head.
 */
class CutHeadsTest {

    private static final String BODY = "hello";
    private static final List<String> HEADS = List.of(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Seal\r\n\r\n",
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
            "HTTP/1.1 200 OK\nContent-Type: text/plain\n\n",
            "HTTP/1.1 200\r\nContent-Type: text/plain\r\n\r\n",
            "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\nDate: x\r\n\r\n");

    /** How an upstream sends the head that it cuts, and how it ends the connection. */
    private enum Cut {
        CLOSE,
        RESET,
        CLOSE_AFTER_SINGLE_BYTES
    }

    private final ReentrantLock lock = new ReentrantLock();
    private ServerSocket server;
    private UpstreamConnections connections;
    private volatile String answer;
    private volatile Cut cut;

    @BeforeProperty
    void open() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::serve);
        connections = UpstreamConnections.start(lock);
    }

    @AfterProperty
    void close() throws IOException {
        connections.close();
        server.close();
    }

    private void serve() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void serve(Socket connection) {
        try (Socket socket = connection) {
            if (readRequest(socket.getInputStream())) {
                write(socket);
            }
        } catch (IOException gone) {
            // The client has closed the connection.
        }
    }

    /** Reads a request; returns whether there was one. */
    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            read.append((char) next);
        }
        return true;
    }

    private void write(Socket socket) throws IOException {
        byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
        OutputStream out = socket.getOutputStream();
        socket.setTcpNoDelay(true);
        if (cut == Cut.CLOSE_AFTER_SINGLE_BYTES) {
            for (byte single : bytes) {
                out.write(single);
                out.flush();
                Thread.onSpinWait();
            }
        } else {
            out.write(bytes);
        }
        if (cut == Cut.RESET) {
            socket.setSoLinger(true, 0);
        }
    }

    private String resultOf(String sent, Cut how) throws InterruptedException {
        answer = sent;
        cut = how;
        BlockingQueue<String> result = new ArrayBlockingQueue<>(1);
        UpstreamRequest request =
                new UpstreamRequest("GET", "/a", HttpFields.build().put("Host", "h"), new byte[0]);
        lock.lock();
        try {
            connections.send(Address.of("127.0.0.1:" + server.getLocalPort()), "u", request, new Recorder(result));
        } finally {
            lock.unlock();
        }
        return String.valueOf(result.poll(5, TimeUnit.SECONDS));
    }

    @Example
    void anAnswerWhoseHeadIsCutFailsWhateverItsFraming() throws Exception {
        List<String> findings = new ArrayList<>();
        int cuts = 0;
        for (String head : HEADS) {
            for (int end = 0; end < head.length(); end++) {
                for (Cut how : Cut.values()) {
                    String result = resultOf(head.substring(0, end), how);
                    cuts++;
                    if (!result.equals("failed")) {
                        findings.add(how + " after \"" + head.substring(0, end) + "\": " + result);
                    }
                }
            }
        }
        assertThat(findings).as("of %s cuts", cuts).isEmpty();
    }

    // Shows that the heads of the test above are whole: each passes once nothing is cut.
    @Example
    void theSameHeadsPassWhenTheyAreWhole() throws Exception {
        for (String head : HEADS) {
            String body = head.contains("chunked") ? "5\r\n" + BODY + "\r\n0\r\n\r\n" : BODY;
            boolean hasBody = !head.contains("204");
            assertThat(resultOf(head + (hasBody ? body : ""), Cut.CLOSE))
                    .as(head)
                    .isEqualTo(hasBody ? "200 " + BODY : "204 ");
        }
    }

    /** Records how the answer to one request ended. */
    private static final class Recorder implements UpstreamHandler {
        private final BlockingQueue<String> result;
        private final StringBuilder body = new StringBuilder();
        private int status;

        private Recorder(BlockingQueue<String> result) {
            this.result = result;
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
            result.add(status == 0 ? "failed" : "failed after a head with " + status);
        }
    }
}
