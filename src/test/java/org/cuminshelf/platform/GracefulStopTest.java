package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.process.DirectEntryProcess;
import org.cuminshelf.process.ServingProcess;

/** Both roles of the users' platform as they run, on loopback, with an upstream that takes its time. */
class GracefulStopTest {

    private static final String HOST = "127.0.0.1";
    private static final int TRIES = 400;
    private static final long UPSTREAM_TAKES = 1_200;
    private static final long UPSTREAM_TAKES_LONG = 4_500;
    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"non_idempotent\",\"timeoutMs\":5000,\"service\":\"s\"}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";

    private final List<Integer> ports = new ArrayList<>();
    private Path folder;
    private ServerSocket upstream;
    private ServingProcess control;
    private DirectEntryProcess entry;
    /** A graceful stop closes the entry itself. */
    private volatile boolean stopped;

    @BeforeProperty
    void start() throws Exception {
        folder = Files.createTempDirectory("graceful-stop");
        upstream = new ServerSocket(0, 10, InetAddress.getByName(HOST));
        Thread answers = new Thread(this::answerSlowly);
        answers.setDaemon(true);
        answers.start();
        takePorts(7);
        control = PlatformCommand.control(settings(0, 1, 2, 2));
        entry = PlatformCommand.entry(settings(3, 4, 5, 6));
        until(2, "PUT /cuminshelf/config", CONFIG, "200");
        until(2, "PUT /cuminshelf/instances/i-1", beat(), "200");
        until(6, "GET /", "", "200");
    }

    @AfterProperty
    void stop() throws IOException {
        if (!stopped) {
            entry.close();
        }
        control.close();
        upstream.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /*
     * A publisher's request is cut by a planned restart: the entry was told to stop while an upstream worked on it. The
     * entry must say that it isn't ready, still take a request of a caller that has not noticed, and end only after
     * both were answered.
     */
    @Example
    void aPlannedStopCutsNoRequestNorOneThatComesWhileTheBalancerHasNotNoticed() throws Exception {
        until(5, "POST /warm", "", "done");
        CompletableFuture<String> before = ask();
        Thread.sleep(300);
        CompletableFuture<Boolean> stop = CompletableFuture.supplyAsync(this::stopEntry);
        Thread.sleep(300);
        assertThat(call(6, "GET /", "")).startsWith("HTTP/1.1 503");
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
        until(5, "POST /warm", "", "done");
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
            return entry.stopGracefully();
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
            return call(5, call, "");
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }

    private void until(int port, String call, String body, String wanted) throws Exception {
        String answer = "";
        for (int attempt = 0; attempt < TRIES && !answer.contains(wanted); attempt++) {
            Thread.sleep(25);
            try {
                answer = call(port, call, body);
            } catch (IOException e) {
                answer = "not yet: " + e.getMessage();
            }
        }
        assertThat(answer).contains(wanted);
    }

    private String call(int port, String call, String body) throws IOException {
        String request = call + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + Headers.REQUEST_ID
                + ": w\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket socket = new Socket(HOST, ports.get(port))) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private String beat() {
        return "{\"service\":\"s\",\"address\":\"" + HOST + ":" + upstream.getLocalPort()
                + "\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\",\"sequence\":1,\"born\":1}";
    }

    private BootSettings settings(int messages, int metrics, int listen, int ready) throws IOException {
        String text = "{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"" + HOST + "\",\"internalPorts\":["
                + ports.get(messages) + "," + ports.get(metrics) + "],\"seeds\":[],\"bootstrap\":true,\"dataDir\":\""
                + folder + "\",\"listen\":{\"front\":\"" + HOST + ":" + ports.get(listen) + "\",\"control\":\"" + HOST
                + ":" + ports.get(listen) + "\",\"ready\":\"" + HOST + ":" + ports.get(ready) + "\"},\"bounds\":{}}";
        Path file = Files.writeString(folder.resolve("boot-" + messages + ".json"), text);
        return BootSettings.read(file).withSeedPort(ports.get(0));
    }

    private void takePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
            held.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
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
            String answer =
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n" + Headers.SEAL + ": s\r\nContent-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
