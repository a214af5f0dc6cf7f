package org.cuminshelf.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.StartUpstream;
import org.cuminshelf.message.UpstreamEnd;

/** Tests the sidecar's way to a plain service, over real sockets. */
class ServiceUpstreamTest {

    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nhel";
    private static final String PATH = "/a";

    private final BlockingQueue<UpstreamEnd> ends = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private ServiceUpstream upstream;
    private volatile boolean reset;

    @BeforeProperty
    void start() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::serve);
        upstream = ServiceUpstream.start(
                URI.create("http://127.0.0.1:" + server.getLocalPort()), "/health", 2, this::onMessage);
    }

    @AfterProperty
    void stop() throws IOException {
        upstream.close();
        server.close();
    }

    private void onMessage(Envelope.Builder message) {
        if (message.hasUpstreamEnd()) {
            ends.add(message.getUpstreamEnd());
        }
    }

    private void serve() {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    answer(socket);
                }
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void answer(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) socket.getInputStream().read());
        }
        socket.getOutputStream().write(UNFRAMED.getBytes(StandardCharsets.ISO_8859_1));
        if (reset && head.toString().startsWith("GET " + PATH + " ")) {
            socket.setSoLinger(true, 0);
        }
    }

    private UpstreamEnd run() throws InterruptedException {
        upstream.handle(Envelope.newBuilder()
                .setStartUpstream(StartUpstream.newBuilder()
                        .setAttempt(1)
                        .setExchange(Exchange.newBuilder().setMethod("GET").setPath(PATH)))
                .build());
        UpstreamEnd end = ends.poll(5, TimeUnit.SECONDS);
        assertThat(end).isNotNull();
        return end;
    }

    @Example
    void anAnswerThatEndsWithItsConnectionIsWhole() throws Exception {
        assertThat(run().getRan()).isEqualTo(Ran.RAN);
    }

    /** Guards against an answer without a stated length that a reset has cut and that passes for whole. */
    @Example
    void anAnswerWhoseConnectionIsResetIsNotWhole() throws Exception {
        reset = true;
        assertThat(run().getRan()).isEqualTo(Ran.MAY_HAVE_RUN);
    }
}
