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
import java.util.stream.Stream;
import org.cuminshelf.process.DirectEntryProcess;
import org.cuminshelf.process.ServingProcess;

/** Both roles of the users' platform as they run, on free ports of loopback. */
final class LoopbackPlatform {

    static final String HOST = "127.0.0.1";
    /** Places of the ports by use. */
    static final int CONTROL = 2;

    static final int METRICS = 4;
    static final int CALLERS = 5;
    static final int READINESS = 6;
    private static final int TRIES = 400;

    private final List<Integer> ports = new ArrayList<>();
    private final Path folder;
    private final ServingProcess control;
    final DirectEntryProcess entry;

    LoopbackPlatform(String config) throws Exception {
        folder = Files.createTempDirectory("loopback-platform");
        takePorts(7);
        control = PlatformCommand.control(settings(0, 1, CONTROL, CONTROL));
        entry = PlatformCommand.entry(settings(3, 4, CALLERS, READINESS));
        until(CONTROL, "PUT /cuminshelf/config", config, "200");
    }

    int port(int place) {
        return ports.get(place);
    }

    /** Announces an upstream of the service {@code s}. */
    void announce(String id, int port) throws Exception {
        until(
                CONTROL,
                "PUT /cuminshelf/instances/" + id,
                "{\"service\":\"s\",\"address\":\"" + HOST + ":" + port
                        + "\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\",\"sequence\":1,\"born\":1}",
                "200");
    }

    /** Sends a call again until its answer holds a text. */
    void until(int place, String call, String body, String wanted) throws Exception {
        String answer = "";
        for (int attempt = 0; attempt < TRIES && !answer.contains(wanted); attempt++) {
            Thread.sleep(25);
            try {
                answer = call(place, call, body);
            } catch (IOException e) {
                answer = "not yet: " + e.getMessage();
            }
        }
        assertThat(answer).contains(wanted);
    }

    String call(int place, String call, String body) throws IOException {
        return call(place, call, body, "");
    }

    /** Sends a call with header lines of its own. */
    String call(int place, String call, String body, String headers) throws IOException {
        String request = call + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers + PlatformHeaders.REQUEST_ID
                + ": w\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket socket = new Socket(HOST, ports.get(place))) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a request that a stand-in for an upstream got; empty at the end of the stream. */
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

    /** Ends both, the entry unless it ended itself. */
    void close(boolean entryEnded) throws IOException {
        if (!entryEnded) {
            entry.close();
        }
        control.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
