package org.cuminshelf.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.LocalTime;
import java.util.concurrent.atomic.AtomicLong;

/** A stream as its caller sees it: begun by one request, and resumed by others. */
final class CallerStream {

    private static final int READ_TIMEOUT_MILLIS = 8_000;
    private static final AtomicLong LAST_REQUEST = new AtomicLong();

    private final PlatformProcesses platform;
    private String firstRequest = "";
    private String version = "";
    private LocalTime begunAt = LocalTime.MIN;
    private long lastEvent;
    private boolean mixed;

    CallerStream(PlatformProcesses platform) {
        this.platform = platform;
    }

    boolean hasBegun() {
        return !version.isEmpty();
    }

    /** Whether an event has come from another version than the first one, or out of its order. */
    boolean isMixed() {
        return mixed;
    }

    String version() {
        return version;
    }

    @Override
    public String toString() {
        return firstRequest + " begun " + begunAt;
    }

    /** Begins or resumes the stream at an entry, reads a number of events, and returns whether one came. */
    boolean read(String entry, int events) {
        String request = "q" + LAST_REQUEST.incrementAndGet();
        String position = hasBegun()
                ? PlatformHeaders.LAST_EVENT_ID + ": " + lastEvent + "\r\n" + PlatformHeaders.RESUMES + ": "
                        + firstRequest + "\r\n"
                : "";
        long before = lastEvent;
        try (Socket socket = platform.connect(entry)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + PlatformHeaders.REQUEST_ID + ": "
                                    + request + "\r\n" + position + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            readEvents(lines, request, before + events);
        } catch (IOException gone) {
            // What came before the connection broke counts.
        }
        return lastEvent > before;
    }

    private void readEvents(BufferedReader lines, String request, long lastWanted) throws IOException {
        long number = 0;
        String line = lines.readLine();
        while (line != null && lastEvent < lastWanted) {
            if (line.startsWith("id: ")) {
                number = Long.parseLong(line.substring("id: ".length()));
            } else if (line.startsWith("data: ")) {
                onEvent(request, number, line.substring("data: ".length()));
            }
            line = lastEvent < lastWanted ? lines.readLine() : null;
        }
    }

    private void onEvent(String request, long number, String eventVersion) {
        if (!hasBegun()) {
            firstRequest = request;
            version = eventVersion;
            begunAt = LocalTime.now();
        }
        mixed |= !version.equals(eventVersion) || number != lastEvent + 1;
        lastEvent = number;
    }
}
