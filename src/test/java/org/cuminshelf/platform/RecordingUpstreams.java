package org.cuminshelf.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Upstreams in the test's own process that answer at once and record when each request reached the last of them. */
final class RecordingUpstreams implements AutoCloseable {

    private static final int SLOTS = 60;
    private static final Pattern ID = Pattern.compile("(?i)" + PlatformHeaders.REQUEST_ID + ": (\\S+)");
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
    private final LoopbackUpstreams upstreams;

    RecordingUpstreams(PlatformProcesses platform, int count) throws IOException {
        upstreams = new LoopbackUpstreams(platform, SLOTS, Collections.nCopies(count, "v1"), this::serve);
    }

    /** When a request last reached an upstream, by its id, in nanoseconds of {@link System#nanoTime()}. */
    Map<String, Long> arrivals() {
        return arrivals;
    }

    private void serve(int upstream, Socket socket) throws IOException {
        String head = LoopbackPlatform.readHead(socket.getInputStream());
        while (!head.isEmpty()) {
            Matcher id = ID.matcher(head);
            String request = id.find() ? id.group(1) : "";
            arrivals.put(request, System.nanoTime());
            Matcher length = LENGTH.matcher(head);
            socket.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
            String answer = "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n"
                    + PlatformHeaders.REQUEST_ID + ": " + request + "\r\nContent-Length: 2\r\n\r\nok";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            head = LoopbackPlatform.readHead(socket.getInputStream());
        }
    }

    @Override
    public void close() throws IOException {
        upstreams.close();
    }
}
