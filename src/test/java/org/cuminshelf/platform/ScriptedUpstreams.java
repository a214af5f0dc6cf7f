package org.cuminshelf.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Upstreams in the test's own process whose events name the software version. */
final class ScriptedUpstreams implements AutoCloseable {

    private static final long EVENT_INTERVAL_MILLIS = 60;
    private static final int SLOTS = 40;
    private static final Pattern LAST_EVENT = Pattern.compile("(?i)last-event-id: (\\d+)");

    private final LoopbackUpstreams upstreams;

    /** Starts an upstream for each version and returns once each control process had a heartbeat of it. */
    ScriptedUpstreams(PlatformProcesses platform, List<String> versions) throws IOException {
        upstreams = new LoopbackUpstreams(
                platform, SLOTS, versions, (upstream, socket) -> serve(socket, versions.get(upstream)));
    }

    /** Sends events after the last one that the request names until the connection is closed. */
    private static void serve(Socket socket, String version) throws IOException, InterruptedException {
        String head = LoopbackPlatform.readHead(socket.getInputStream());
        if (head.isEmpty()) {
            return;
        }
        Matcher last = LAST_EVENT.matcher(head);
        long next = last.find() ? Long.parseLong(last.group(1)) + 1 : 1;
        send(
                socket,
                "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            String event = "id: " + next++ + "\ndata: " + version + "\n\n";
            send(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(EVENT_INTERVAL_MILLIS);
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        upstreams.close();
    }
}
