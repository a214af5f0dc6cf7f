package org.cuminshelf.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.cuminshelf.process.ServingProcess;
import org.tinylog.Logger;

/**
 * Serves one request through an entry and a control process on loopback and exits, while the build records the loaded
 * classes for class data sharing. A process that starts from that archive is ready sooner: on 0.57 of a core, class
 * loading takes most of the startup time.
 */
final class WarmUp {

    private static final String HOST = "127.0.0.1";
    private static final int MAX_ATTEMPTS = 200;
    private static final long RETRY_DELAY_MILLIS = 25;
    private static final String CONFIG =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                + "\"routeKind\":\"stream\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                + "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":4,\"kvCapacityTokens\":9000}}],\"limits\":{}}";

    private WarmUp() {}

    /**
     * Serves one request.
     *
     * @throws Exception if a step does not succeed within its attempts
     */
    static void run() throws Exception {
        Path folder = Files.createTempDirectory("cuminshelf-warm-up");
        int[] ports = freePorts(7);
        try (ServerSocket upstream = new ServerSocket(0, 10, InetAddress.getByName(HOST))) {
            Thread upstreamThread = new Thread(() -> serveUpstream(upstream), "warm-up upstream");
            upstreamThread.setDaemon(true);
            upstreamThread.start();
            List<ServingProcess> processes = List.of(
                    PlatformCommand.startControl(settings(folder, ports[0], ports[1], ports[0], ports[2], ports[2])),
                    PlatformCommand.startEntry(settings(folder, ports[3], ports[4], ports[0], ports[5], ports[6])));
            retryUntil(ports[2], "PUT /cuminshelf/config", CONFIG, "200");
            String heartbeat = "{\"service\":\"s\",\"address\":\"" + HOST + ":" + upstream.getLocalPort()
                    + "\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\",\"stage\":\"decode\","
                    + "\"sequence\":1,\"born\":1}";
            retryUntil(ports[2], "PUT /cuminshelf/instances/i-1", heartbeat, "200");
            retryUntil(ports[6], "GET /", "", "200");
            retryUntil(ports[5], "POST /a", "", "id: 1");
            retryUntil(ports[4], "GET /metrics", "", "cuminshelf_decisions");
            processes.forEach(ServingProcess::close);
        } finally {
            delete(folder);
        }
        Logger.info("platform: event=warm-up outcome=done");
    }

    private static BootSettings settings(Path folder, int messages, int metrics, int seed, int listen, int ready)
            throws IOException {
        String text = "{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"" + HOST + "\",\"internalPorts\":["
                + messages + "," + metrics + "],\"seeds\":[],\"bootstrap\":true,\"dataDir\":\"" + folder
                + "\",\"listen\":{\"front\":\"" + HOST + ":" + listen + "\",\"control\":\"" + HOST + ":" + listen
                + "\",\"ready\":\"" + HOST + ":" + ready + "\"},\"bounds\":{}}";
        Path file = Files.writeString(folder.resolve("boot-" + messages + ".json"), text);
        return BootSettings.read(file).withSeedPort(seed);
    }

    /** Repeats a request until its response contains a text. */
    private static void retryUntil(int port, String requestLine, String body, String expected) throws Exception {
        String request =
                requestLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + PlatformHeaders.REQUEST_ID + ": w\r\n"
                        + PlatformHeaders.TOKEN_COUNTS + ": 10,10\r\n" + PlatformHeaders.PROMPT_SEGMENTS
                        + ": a:5,b:5\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try (Socket socket = new Socket(HOST, port)) {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                if (response.contains(expected)) {
                    return;
                }
            } catch (IOException e) {
                Logger.debug("platform: event=warm-up outcome=\"not yet\" reason=\"{}\"", e.getMessage());
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        throw new IOException("the warm-up got no expected response to " + requestLine);
    }

    /** Answers each request with a stream of one event until the socket is closed. */
    private static void serveUpstream(ServerSocket server) {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    readHead(socket.getInputStream());
                    String event = "id: 1\ndata: a\n\n";
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL
                                            + ": s\r\nKeep-Alive: timeout=1\r\n"
                                            + "Transfer-Encoding: chunked\r\n\r\n"
                                            + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException closed) {
            Logger.debug("platform: event=warm-up outcome=\"upstream closed\"");
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = in.read();
        while (next >= 0 && head.indexOf("\r\n\r\n") < 0) {
            head.append((char) next);
            next = head.indexOf("\r\n\r\n") < 0 ? in.read() : -1;
        }
    }

    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        ServerSocket[] sockets = new ServerSocket[count];
        for (int index = 0; index < count; index++) {
            sockets[index] = new ServerSocket(0, 1, InetAddress.getByName(HOST));
            ports[index] = sockets[index].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
