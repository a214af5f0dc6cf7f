package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Both roles of the users' platform as they run, on loopback, with an upstream that takes its time. */
class GracefulStopTest {

    private static final long UPSTREAM_TAKES = 1_200;
    private static final long UPSTREAM_TAKES_LONG = 4_500;
    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":5000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";

    private ServerSocket upstream;
    private LoopbackPlatform platform;
    /** A graceful stop closes the entry itself. */
    private volatile boolean stopped;

    @BeforeProperty
    void start() throws Exception {
        upstream = new ServerSocket(0, 10, InetAddress.getByName(LoopbackPlatform.HOST));
        Thread answers = new Thread(this::answerSlowly);
        answers.setDaemon(true);
        answers.start();
        platform = new LoopbackPlatform(CONFIG);
        platform.announce("i-1", upstream.getLocalPort());
        platform.until(LoopbackPlatform.READINESS, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        platform.close(stopped);
        upstream.close();
    }

    /*
     * A publisher's request is cut by a planned restart: the entry was told to stop while an upstream worked on it. The
     * entry must say that it isn't ready, still take a request of a caller that has not noticed, and end only after
     * both were answered.
     */
    @Example
    void aPlannedStopCutsNoRequestNorOneThatComesWhileTheBalancerHasNotNoticed() throws Exception {
        platform.until(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        CompletableFuture<String> before = ask();
        Thread.sleep(300);
        CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
        Thread.sleep(300);
        assertThat(platform.call(LoopbackPlatform.READINESS, "GET /", "")).startsWith("HTTP/1.1 503");
        CompletableFuture<String> during = ask();
        assertThat(before.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200").endsWith("done");
        assertThat(during.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200").contains("Connection: close");
        assertThat(stop.get(15, TimeUnit.SECONDS)).isTrue();
    }

    /*
     * A request is cut by a planned restart though it was sent seconds after the stop was asked for: the entry went on
     * taking connections as long as any request was open, and each that it took kept it open for the next, until its
     * time was up. Once the balancer has had its time, nothing new is taken, and what is open has the rest.
     */
    @Example
    void onceTheBalancerHasHadItsTimeNothingNewIsTakenWhileWhatIsOpenIsFinished() throws Exception {
        platform.until(LoopbackPlatform.CALLERS, "POST /warm", "", "done");
        CompletableFuture<String> open = CompletableFuture.supplyAsync(() -> ask("POST /long"));
        Thread.sleep(300);
        CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
        Thread.sleep(3_200);
        // Refused, reset or closed unread: a caller sees in each that nothing of its request was taken.
        assertThat(ask("POST /late")).doesNotContain("HTTP/1.1");
        assertThat(open.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200").endsWith("done");
        assertThat(stop.get(10, TimeUnit.SECONDS)).isTrue();
    }

    private boolean stopEntry() {
        stopped = true;
        try {
            return platform.entry.stopGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private CompletableFuture<String> ask() {
        return CompletableFuture.supplyAsync(() -> ask("POST /a"));
    }

    private String ask(String call) {
        try {
            return platform.call(LoopbackPlatform.CALLERS, call, "");
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }

    private void answerSlowly() {
        try {
            while (true) {
                Socket socket = upstream.accept();
                Thread.ofVirtual().start(() -> answerOne(socket));
            }
        } catch (IOException end) {
            // The test is over.
        }
    }

    private static void answerOne(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            Thread.sleep(head.indexOf("/long") > 0 ? UPSTREAM_TAKES_LONG : UPSTREAM_TAKES);
            String answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.SEAL
                    + ": s\r\nContent-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
