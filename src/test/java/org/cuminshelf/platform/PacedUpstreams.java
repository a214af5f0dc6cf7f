package org.cuminshelf.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Upstreams in the test's own process whose answers take as long as the request's path says: {@code
 * /stream/MILLIS/INTERVAL} gets an event each interval, {@code /plain/MILLIS} a plain answer after that time.
 */
final class PacedUpstreams implements AutoCloseable {

    private static final int SLOTS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Pattern ID = Pattern.compile("(?i)" + PlatformHeaders.REQUEST_ID + ": (\\S+)");
    private static final Pattern STREAM = Pattern.compile("/stream/(\\d+)/(\\d+)");
    private static final Pattern PLAIN = Pattern.compile("/plain/(\\d+)");

    /** Runs of each request: more than one if the entry has sent it to several upstreams. */
    private final Map<String, Runs> runs = new ConcurrentHashMap<>();

    private final LoopbackUpstreams upstreams;

    PacedUpstreams(PlatformProcesses platform, int count) throws IOException {
        upstreams = new LoopbackUpstreams(platform, SLOTS, Collections.nCopies(count, "v1"), this::serve);
    }

    /** The runs of one request. */
    private static final class Runs {

        private int open;
        private long lastEndNanos;

        private synchronized void begin() {
            open++;
        }

        private synchronized void end() {
            open--;
            lastEndNanos = System.nanoTime();
        }

        private synchronized long workedUntilNanos() {
            return open > 0 ? Long.MAX_VALUE : lastEndNanos;
        }
    }

    /** Whether a request has reached an upstream. */
    boolean hasRun(String request) {
        return runs.containsKey(request);
    }

    /**
     * When the last upstream ended its work on a request, or found it broken off with its next event, in nanoseconds of
     * {@link System#nanoTime()}; the largest number if one still works on it.
     */
    long workedUntilNanos(String request) {
        return runs.get(request).workedUntilNanos();
    }

    private void serve(int upstream, Socket socket) throws IOException, InterruptedException {
        String head = LoopbackPlatform.readHead(socket.getInputStream());
        while (!head.isEmpty()) {
            Matcher id = ID.matcher(head);
            String request = id.find() ? id.group(1) : "";
            Runs ofRequest = runs.computeIfAbsent(request, key -> new Runs());
            ofRequest.begin();
            try {
                answer(socket, head, request);
            } finally {
                ofRequest.end();
            }
            head = LoopbackPlatform.readHead(socket.getInputStream());
        }
    }

    private static void answer(Socket socket, String head, String request) throws IOException, InterruptedException {
        Matcher stream = STREAM.matcher(head);
        Matcher plain = PLAIN.matcher(head);
        String seals = "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n" + PlatformHeaders.REQUEST_ID
                + ": " + request + "\r\n";
        if (stream.find()) {
            send(socket, seals + "Transfer-Encoding: chunked\r\n\r\n");
            sendEvents(socket, Long.parseLong(stream.group(1)), Long.parseLong(stream.group(2)));
            return;
        }
        Thread.sleep(plain.find() ? Long.parseLong(plain.group(1)) : 0);
        send(socket, seals + "Content-Length: 4\r\n\r\ndone");
    }

    private static void sendEvents(Socket socket, long millis, long intervalMillis)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
        for (int number = 1; System.nanoTime() < endNanos; number++) {
            String event = "id: " + number + "\ndata: x\n\n";
            send(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            long leftMillis = (endNanos - System.nanoTime()) / NANOS_PER_MILLI;
            Thread.sleep(Math.max(0, Math.min(intervalMillis, leftMillis)));
        }
        send(socket, "0\r\n\r\n");
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        upstreams.close();
    }
}
