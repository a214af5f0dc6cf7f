package org.cuminshelf.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Upstreams in the test's own process that answer at once and record when each request reached the last of them. */
final class RecordingUpstreams implements AutoCloseable {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 250;
    private static final int BACKLOG = 200;
    private static final int SLOTS = 60;
    private static final Pattern ID = Pattern.compile("(?i)" + PlatformHeaders.REQUEST_ID + ": (\\S+)");
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    private final PlatformProcesses platform;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
    private final Thread heartbeats;

    RecordingUpstreams(PlatformProcesses platform, int count) throws IOException {
        this.platform = platform;
        for (int index = 0; index < count; index++) {
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(LoopbackPlatform.HOST));
            listeners.add(listener);
            Thread.ofVirtual().start(() -> accept(listener));
        }
        sendHeartbeats(1);
        heartbeats = Thread.ofVirtual().start(this::repeatHeartbeats);
    }

    /** When a request last reached an upstream, by its id, in nanoseconds of {@link System#nanoTime()}. */
    Map<String, Long> arrivals() {
        return arrivals;
    }

    private void repeatHeartbeats() {
        try {
            for (long sequence = 2; true; sequence++) {
                Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
                sendHeartbeats(sequence);
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHeartbeats(long sequence) {
        for (int index = 0; index < listeners.size(); index++) {
            platform.sendHeartbeat(
                    "i-" + index,
                    "{\"service\":\"s\",\"address\":\"" + LoopbackPlatform.HOST + ":"
                            + listeners.get(index).getLocalPort() + "\",\"zone\":\"z0\",\"slots\":" + SLOTS
                            + ",\"version\":\"v1\",\"state\":\"ready\",\"sequence\":" + sequence + ",\"born\":1}");
        }
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void serve(Socket connection) {
        try (Socket socket = connection) {
            String head = LoopbackPlatform.readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                Matcher id = ID.matcher(head);
                String request = id.find() ? id.group(1) : "";
                arrivals.put(request, System.nanoTime());
                Matcher length = LENGTH.matcher(head);
                socket.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n"
                                        + PlatformHeaders.REQUEST_ID + ": " + request
                                        + "\r\nContent-Length: 2\r\n\r\nok")
                                .getBytes(StandardCharsets.ISO_8859_1));
                head = LoopbackPlatform.readHead(socket.getInputStream());
            }
        } catch (IOException gone) {
            // The entry has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        heartbeats.interrupt();
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
