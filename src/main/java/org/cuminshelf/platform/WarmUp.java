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
 * Serves one request by both roles on loopback and ends, while the build records the classes that were loaded. A
 * process that starts from that record is up sooner: on 0.57 of a core classes are most of a start.
 */
final class WarmUp {

    private static final String HOST = "127.0.0.1";
    private static final int TRIES = 200;
    private static final long PAUSE_MILLIS = 25;
    private static final String CONFIG =
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                + "\"routeKind\":\"stream\",\"timeoutMs\":2000,\"service\":\"s\"}],"
                + "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":4,\"kvCapacityTokens\":9000}}],\"limits\":{}}";

    private WarmUp() {}

    /** Serves one request. */
    static void run() throws Exception {
        Path folder = Files.createTempDirectory("cuminshelf-warm-up");
        int[] ports = freePorts(7);
        try (ServerSocket upstream = new ServerSocket(0, 10, InetAddress.getByName(HOST))) {
            Thread answers = new Thread(() -> answer(upstream), "warm-up upstream");
            answers.setDaemon(true);
            answers.start();
            List<ServingProcess> processes = List.of(
                    PlatformCommand.control(settings(folder, ports[0], ports[1], ports[0], ports[2], ports[2])),
                    PlatformCommand.entry(settings(folder, ports[3], ports[4], ports[0], ports[5], ports[6])));
            until(ports[2], "PUT /cuminshelf/config", CONFIG, "200");
            String beat = "{\"service\":\"s\",\"address\":\"" + HOST + ":" + upstream.getLocalPort()
                    + "\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\",\"stage\":\"decode\","
                    + "\"sequence\":1,\"born\":1}";
            until(ports[2], "PUT /cuminshelf/instances/i-1", beat, "200");
            until(ports[6], "GET /", "", "200");
            until(ports[5], "POST /a", "", "id: 1");
            until(ports[4], "GET /metrics", "", "cuminshelf_decisions");
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

    /** Sends a request again until its answer holds a text. */
    private static void until(int port, String call, String body, String wanted) throws Exception {
        String request = call + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + PlatformHeaders.REQUEST_ID + ": w\r\n"
                + PlatformHeaders.TOKENS + ": 10,10\r\n" + PlatformHeaders.PROMPT_PARTS
                + ": a:5,b:5\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        for (int attempt = 0; attempt < TRIES; attempt++) {
            try (Socket socket = new Socket(HOST, port)) {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                if (answer.contains(wanted)) {
                    return;
                }
            } catch (IOException e) {
                Logger.debug("platform: event=warm-up outcome=\"not yet\" reason=\"{}\"", e.getMessage());
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        throw new IOException("the warm-up got no answer to " + call);
    }

    /** An upstream that answers each request with one event. */
    private static void answer(ServerSocket server) {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    readHead(socket.getInputStream());
                    String event = "id: 1\ndata: a\n\n";
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\n" + PlatformHeaders.SEAL + ": s\r\nKeep-Alive: timeout=1\r\n"
                                            + "Transfer-Encoding: chunked\r\n\r\n"
                                            + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException end) {
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
        ServerSocket[] held = new ServerSocket[count];
        for (int index = 0; index < count; index++) {
            held[index] = new ServerSocket(0, 1, InetAddress.getByName(HOST));
            ports[index] = held[index].getLocalPort();
        }
        for (ServerSocket socket : held) {
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
