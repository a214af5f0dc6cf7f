package org.cuminshelf.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.concurrent.atomic.AtomicInteger;

/** Upstreams in the test's own process, of which some send bytes without end, until their connection is closed. */
final class EndlessUpstreams implements AutoCloseable {

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

    private final AtomicInteger floods = new AtomicInteger();
    private final Kind kind;
    private final boolean fast;
    private final int endless;
    private final LoopbackUpstreams upstreams;

    /** Starts upstreams, of which the first ones send bytes without end. */
    EndlessUpstreams(PlatformProcesses platform, int count, int endless, Kind kind, boolean fast) throws IOException {
        this.kind = kind;
        this.fast = fast;
        this.endless = endless;
        this.upstreams = new LoopbackUpstreams(platform, SLOTS, Collections.nCopies(count, "v1"), this::serve);
    }

    /** Returns the number of connections on which bytes are being sent without end. */
    int floods() {
        return floods.get();
    }

    private void serve(int upstream, Socket socket) throws IOException, InterruptedException {
        String head = LoopbackPlatform.readHead(socket.getInputStream());
        while (!head.isEmpty()) {
            if (upstream < endless) {
                flood(socket.getOutputStream());
            }
            boolean stream = head.startsWith("POST /stream/");
            socket.getOutputStream().write(bytes(stream ? WHOLE_STREAM : WHOLE_ANSWER));
            head = LoopbackPlatform.readHead(socket.getInputStream());
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
        upstreams.close();
    }
}
