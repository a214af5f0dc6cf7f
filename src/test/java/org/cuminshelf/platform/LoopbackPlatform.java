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
import java.util.Optional;
import java.util.stream.Stream;
import org.cuminshelf.process.DirectEntryProcess;
import org.cuminshelf.process.ServingProcess;

/** A running entry and control process of the operators' platform, on free loopback ports. */
final class LoopbackPlatform {

    static final String HOST = "127.0.0.1";
    /** Index of a port in {@link #ports}, by use. */
    static final int CONTROL = 2;

    static final int METRICS = 4;
    static final int CALLERS = 5;
    static final int READINESS = 6;
    private static final int MAX_ATTEMPTS = 400;

    private final List<Integer> ports = new ArrayList<>();
    private final Path folder;
    private final String bounds;
    private final ServingProcess control;
    final DirectEntryProcess entry;
    private Optional<DirectEntryProcess> otherEntry = Optional.empty();
    private int otherCallers;

    LoopbackPlatform(String config) throws Exception {
        this(config, "{}");
    }

    /** Starts both processes with limits of the platform, as a JSON object. */
    LoopbackPlatform(String config, String bounds) throws Exception {
        this.bounds = bounds;
        folder = Files.createTempDirectory("loopback-platform");
        reserveFreePorts(7);
        control = PlatformCommand.startControl(settings(0, 1, CONTROL, CONTROL));
        entry = PlatformCommand.startEntry(settings(3, 4, CALLERS, READINESS));
        retryUntil(CONTROL, "PUT /cuminshelf/config", config, "200");
    }

    int port(int index) {
        return ports.get(index);
    }

    /** Starts another entry, which stops with the rest. */
    DirectEntryProcess startAnotherEntry() throws Exception {
        int first = ports.size();
        reserveFreePorts(4);
        otherEntry = Optional.of(PlatformCommand.startEntry(settings(first, first + 1, first + 2, first + 3)));
        otherCallers = first + 2;
        retryUntil(first + 3, "GET /", "", "200");
        return otherEntry.get();
    }

    /** The port for callers of the other entry. */
    int otherCallersPort() {
        return ports.get(otherCallers);
    }

    /** Sends a heartbeat of a new upstream of the service {@code s}. */
    void sendHeartbeat(String id, int port) throws Exception {
        sendHeartbeat(id, port, "v1");
    }

    /** Sends a heartbeat of a new upstream that runs a version of its software. */
    void sendHeartbeat(String id, int port, String version) throws Exception {
        retryUntil(
                CONTROL,
                "PUT /cuminshelf/instances/" + id,
                "{\"service\":\"s\",\"address\":\"" + HOST + ":" + port + "\",\"zone\":\"z\",\"slots\":4,\"version\":\""
                        + version + "\",\"state\":\"ready\",\"sequence\":1,\"born\":1}",
                "200");
    }

    /** Repeats a request until its response contains a text. */
    void retryUntil(int index, String requestLine, String body, String expected) throws Exception {
        String response = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !response.contains(expected); attempt++) {
            Thread.sleep(25);
            try {
                response = call(index, requestLine, body);
            } catch (IOException e) {
                response = "not yet: " + e.getMessage();
            }
        }
        assertThat(response).contains(expected);
    }

    String call(int index, String requestLine, String body) throws IOException {
        return call(index, requestLine, body, "");
    }

    /** Sends a request with additional header lines and returns the whole response. */
    String call(int index, String requestLine, String body, String headers) throws IOException {
        String request = requestLine + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers
                + PlatformHeaders.REQUEST_ID + ": w\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket socket = new Socket(HOST, ports.get(index))) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a request; empty at the end of the stream. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = in.read();
        while (next >= 0 && head.indexOf("\r\n\r\n") < 0) {
            head.append((char) next);
            next = head.indexOf("\r\n\r\n") < 0 ? in.read() : -1;
        }
        return head.toString();
    }

    private BootSettings settings(int messages, int metrics, int listen, int ready) throws IOException {
        String text = "{\"node\":\"n\",\"zone\":\"z\",\"region\":\"r\",\"ip\":\"" + HOST + "\",\"internalPorts\":["
                + ports.get(messages) + "," + ports.get(metrics) + "],\"seeds\":[],\"bootstrap\":true,\"dataDir\":\""
                + folder + "\",\"listen\":{\"front\":\"" + HOST + ":" + ports.get(listen) + "\",\"control\":\"" + HOST
                + ":" + ports.get(listen) + "\",\"ready\":\"" + HOST + ":" + ports.get(ready) + "\"},\"bounds\":"
                + bounds + "}";
        Path file = Files.writeString(folder.resolve("boot-" + messages + ".json"), text);
        return BootSettings.read(file).withSeedPort(ports.get(0));
    }

    private void reserveFreePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }

    /** Closes both processes, except an entry that has already stopped. */
    void close(boolean entryStopped) throws IOException {
        if (!entryStopped) {
            entry.close();
        }
        otherEntry.ifPresent(DirectEntryProcess::close);
        control.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
