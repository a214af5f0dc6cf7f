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

    private final Map<String, Long> workedUntil = new ConcurrentHashMap<>();
    private final LoopbackUpstreams upstreams;

    PacedUpstreams(PlatformProcesses platform, int count) throws IOException {
        upstreams = new LoopbackUpstreams(platform, SLOTS, Collections.nCopies(count, "v1"), this::serve);
    }

    /** Whether a request has reached an upstream. */
    boolean hasRun(String request) {
        return workedUntil.containsKey(request);
    }

    /** When an upstream last worked on a request, in nanoseconds of {@link System#nanoTime()}. */
    long workedUntilNanos(String request) {
        return workedUntil.get(request);
    }

    private void serve(int upstream, Socket socket) throws IOException, InterruptedException {
        String head = LoopbackPlatform.readHead(socket.getInputStream());
        while (!head.isEmpty()) {
            Matcher id = ID.matcher(head);
            String request = id.find() ? id.group(1) : "";
            onWork(request);
            answer(socket, head, request);
            head = LoopbackPlatform.readHead(socket.getInputStream());
        }
    }

    private void answer(Socket socket, String head, String request) throws IOException, InterruptedException {
        Matcher stream = STREAM.matcher(head);
        Matcher plain = PLAIN.matcher(head);
        String seals = "HTTP/1.1 200 OK\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n" + PlatformHeaders.REQUEST_ID
                + ": " + request + "\r\n";
        if (stream.find()) {
            send(socket, seals + "Transfer-Encoding: chunked\r\n\r\n");
            sendEvents(socket, request, Long.parseLong(stream.group(1)), Long.parseLong(stream.group(2)));
            return;
        }
        workFor(request, plain.find() ? Long.parseLong(plain.group(1)) : 0);
        send(socket, seals + "Content-Length: 4\r\n\r\ndone");
    }

    private void sendEvents(Socket socket, String request, long millis, long intervalMillis)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
        for (int number = 1; System.nanoTime() < endNanos; number++) {
            String event = "id: " + number + "\ndata: x\n\n";
            send(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            onWork(request);
            long leftMillis = (endNanos - System.nanoTime()) / NANOS_PER_MILLI;
            Thread.sleep(Math.max(0, Math.min(intervalMillis, leftMillis)));
        }
        onWork(request);
        send(socket, "0\r\n\r\n");
    }

    private void workFor(String request, long millis) throws InterruptedException {
        Thread.sleep(millis);
        onWork(request);
    }

    private void onWork(String request) {
        workedUntil.put(request, System.nanoTime());
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        upstreams.close();
    }
}
