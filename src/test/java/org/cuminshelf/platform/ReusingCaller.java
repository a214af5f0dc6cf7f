package org.cuminshelf.platform;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller that sends its next request as soon as the last answer is whole, on the same connection until that is closed
 * or told to close.
 */
final class ReusingCaller implements Runnable {

    /** How a request ended for its caller. */
    enum End {
        WHOLE,
        /** 503: the request did not run. */
        REFUSED,
        /** Another error, answered as a whole. */
        FAILED,
        /** The connection ended within the answer. */
        CUT,
        /** The connection ended before the answer. */
        UNANSWERED
    }

    /**
     * A request as its caller saw it; times are those of {@link System#nanoTime()}.
     *
     * @param id         the request's id
     * @param sentNanos  when its last byte was sent
     * @param endNanos   when its answer was whole or its connection ended
     * @param end        how it ended
     */
    record Sent(String id, long sentNanos, long endNanos, End end) {}

    private static final AtomicLong LAST_REQUEST = new AtomicLong();
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final Pattern RETRY_AFTER = Pattern.compile("(?i)retry-after: *([0-9.]+)");
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int RECONNECT_PAUSE_MILLIS = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PlatformProcesses platform;
    private final String entry;
    private final Supplier<String> paths;
    private final BooleanSupplier goesOn;
    private final int thinkMillis;
    private final Queue<Sent> sent;
    private Socket socket;
    private InputStream in;
    private long retryAfterMillis;

    /**
     * Creates a caller.
     *
     * @param platform    the processes
     * @param entry       the entry that it calls
     * @param paths       supplies the path of each request
     * @param thinkMillis pause between an answer and the next request
     * @param goesOn      whether it sends another request
     * @param sent        receives its requests as they end
     */
    ReusingCaller(
            PlatformProcesses platform,
            String entry,
            Supplier<String> paths,
            int thinkMillis,
            BooleanSupplier goesOn,
            Queue<Sent> sent) {
        this.platform = platform;
        this.entry = entry;
        this.paths = paths;
        this.thinkMillis = thinkMillis;
        this.goesOn = goesOn;
        this.sent = sent;
    }

    static Queue<Sent> newRecord() {
        return new ConcurrentLinkedQueue<>();
    }

    @Override
    public void run() {
        try {
            while (goesOn.getAsBoolean()) {
                if (connect()) {
                    sendOne();
                    Thread.sleep(thinkMillis);
                } else {
                    Thread.sleep(RECONNECT_PAUSE_MILLIS);
                }
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private boolean connect() {
        try {
            if (socket == null) {
                socket = platform.connect(entry);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                in = new BufferedInputStream(socket.getInputStream());
            }
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    private void sendOne() throws InterruptedException {
        String id = "q" + LAST_REQUEST.incrementAndGet();
        String request = "POST " + paths.get() + " HTTP/1.1\r\nHost: h\r\n" + PlatformHeaders.REQUEST_ID + ": " + id
                + "\r\nContent-Length: 0\r\n\r\n";
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closed) {
            disconnect();
            return;
        }
        long sentNanos = System.nanoTime();
        End end = readAnswer();
        sent.add(new Sent(id, sentNanos, System.nanoTime(), end));
        Thread.sleep(retryAfterMillis);
    }

    /** Reads an answer to its end, and closes the connection if the answer says so. */
    private End readAnswer() {
        String head = "";
        retryAfterMillis = 0;
        try {
            head = LoopbackPlatform.readHead(in);
            if (!head.endsWith("\r\n\r\n")) {
                throw new EOFException();
            }
            readBody(head);
        } catch (IOException ended) {
            disconnect();
            return head.startsWith("HTTP/1.1 ") ? End.CUT : End.UNANSWERED;
        }
        if (head.contains("Connection: close")) {
            disconnect();
        }
        Matcher retryAfter = RETRY_AFTER.matcher(head);
        if (retryAfter.find()) {
            retryAfterMillis = (long) (Double.parseDouble(retryAfter.group(1)) * MILLIS_PER_SECOND);
        }
        return switch (head.split(" ")[1]) {
            case "200" -> End.WHOLE;
            case "503" -> End.REFUSED;
            default -> End.FAILED;
        };
    }

    private void readBody(String head) throws IOException {
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            readFully(Integer.parseInt(length.group(1)));
            return;
        }
        int chunkBytes = readChunkSize();
        while (chunkBytes > 0) {
            readFully(chunkBytes + 2);
            chunkBytes = readChunkSize();
        }
        readFully(2);
    }

    private int readChunkSize() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            line.append((char) next);
        }
        return Integer.parseInt(line.toString().strip(), 16);
    }

    private void readFully(int count) throws IOException {
        if (in.readNBytes(count).length < count) {
            throw new EOFException();
        }
    }

    private void disconnect() {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
        socket = null;
    }
}
