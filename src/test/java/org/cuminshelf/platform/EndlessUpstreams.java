package org.cuminshelf.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Upstreams in the test's own process, of which some send bytes without end, until their connection is closed. */
final class EndlessUpstreams implements AutoCloseable {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 250;
    private static final int BACKLOG = 200;
    private static final int SLOTS = 60;
    private static final int FAST_BYTES = 64 << 10;
    private static final long SLOW_PAUSE_MILLIS = 1_000;
    private static final String CHUNKED_STREAM = "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL
            + ": s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String WHOLE_STREAM = CHUNKED_STREAM + "d\r\nid: 1\ndata:\n\n\r\n0\r\n\r\n";
    private static final String WHOLE_ANSWER =
            "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\nContent-Length: 2\r\n\r\nok";

    /** What an upstream sends without end, behind what it sends first. */
    enum Kind {
        INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
        EVENT(CHUNKED_STREAM, "4\r\naaaa\r\n"),
        UNFRAMED_BODY("HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n\r\n", "b"),
        CHUNKS(
                "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "4\r\nbbbb\r\n"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-A: ", "c"),
        NO_HTTP("", "\u0001\u0002"),
        AFTER_AN_ANSWER(WHOLE_ANSWER, "d");

        private final String first;
        private final String repeated;

        Kind(String first, String repeated) {
            this.first = first;
            this.repeated = repeated;
        }

        boolean isOfStreams() {
            return this == EVENT;
        }
    }

    private final PlatformProcesses platform;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final AtomicInteger floods = new AtomicInteger();
    private final Thread heartbeats;
    private final Kind kind;
    private final boolean fast;

    EndlessUpstreams(PlatformProcesses platform, int count, int endless, Kind kind, boolean fast) throws IOException {
        this.platform = platform;
        this.kind = kind;
        this.fast = fast;
        for (int index = 0; index < count; index++) {
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(LoopbackPlatform.HOST));
            listeners.add(listener);
            boolean floods = index < endless;
            Thread.ofVirtual().start(() -> accept(listener, floods));
        }
        sendHeartbeats(1);
        heartbeats = Thread.ofVirtual().start(this::repeatHeartbeats);
    }

    /** Returns the number of connections on which bytes are being sent without end. */
    int floods() {
        return floods.get();
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

    private void accept(ServerSocket listener, boolean floods) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread.ofPlatform().daemon().start(() -> serve(socket, floods));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void serve(Socket connection, boolean endless) {
        try (Socket socket = connection) {
            String head = LoopbackPlatform.readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                if (endless) {
                    flood(socket.getOutputStream());
                }
                boolean stream = head.startsWith("POST /stream/");
                socket.getOutputStream().write(bytes(stream ? WHOLE_STREAM : WHOLE_ANSWER));
                head = LoopbackPlatform.readHead(socket.getInputStream());
            }
        } catch (IOException | InterruptedException gone) {
            // The entry has closed the connection.
        }
    }

    private void flood(OutputStream out) throws IOException, InterruptedException {
        floods.incrementAndGet();
        try {
            out.write(bytes(kind.first));
            byte[] repeated = bytes(fast ? kind.repeated.repeat(FAST_BYTES / kind.repeated.length()) : kind.repeated);
            while (true) {
                out.write(repeated);
                Thread.sleep(fast ? 0 : SLOW_PAUSE_MILLIS);
            }
        } finally {
            floods.decrementAndGet();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        heartbeats.interrupt();
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
