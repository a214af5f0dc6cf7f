package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/**
 * Guards against requests that reach upstreams long after their callers have left, with real processes that run late:
 * an entry that stood still, and one that has too little processor time for its callers.
 */
class LateEntryTest {

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\","
                    + "\"routeKind\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"s\",\"maxAttempts\":2}],"
                    + "\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final int UPSTREAMS = 6;
    private static final int CALLER_WAIT_MILLIS = 300;
    private static final int FREEZE_MILLIS = 1_100;
    /** Time from a caller's close from which on a request counts as late at an upstream. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Requests that may be late. */
    private static final int MAX_LATE = 3;

    private static final int CALLERS_OF_FROZEN_ENTRY = 40;
    private static final int BODY_BYTES = 3_000;

    /** Processes that share a core with the starved entry. */
    private static final int BUSY_PROCESSES = Integer.getInteger("late.busy", 14);

    private static final int REQUESTS_PER_SECOND = Integer.getInteger("late.rate", 250);
    private static final int SECONDS = Integer.getInteger("late.seconds", 3);
    private static final String STARVED_CORE = System.getProperty("late.core", "0");

    /** How a caller sends its request and leaves. */
    private enum Manner {
        NEW_CONNECTION,
        KEPT_CONNECTION,
        RESET,
        TWO_AT_ONCE,
        WITH_BODY
    }

    private final Map<String, Long> closedAt = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lastRequest = new AtomicInteger();

    private static String request(String id, String method, int bodyBytes) {
        return method + " /a HTTP/1.1\r\nHost: h\r\n" + PlatformHeaders.REQUEST_ID + ": " + id + "\r\n"
                + PlatformHeaders.DEADLINE + ": " + CALLER_WAIT_MILLIS + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                + "b".repeat(bodyBytes);
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String nextId() {
        return "q" + lastRequest.incrementAndGet();
    }

    /** Sends one request or two, waits, and closes the connection if no answer comes. */
    private void call(Socket connection, Manner manner) {
        List<String> ids = new ArrayList<>(List.of(nextId()));
        if (manner == Manner.TWO_AT_ONCE) {
            ids.add(nextId());
        }
        try (Socket socket = connection) {
            socket.setSoTimeout(CALLER_WAIT_MILLIS);
            socket.setSoLinger(manner == Manner.RESET, 0);
            StringBuilder requests = new StringBuilder();
            boolean withBody = manner == Manner.WITH_BODY;
            ids.forEach(id -> requests.append(request(id, withBody ? "POST" : "GET", withBody ? BODY_BYTES : 0)));
            send(socket, requests.toString());
            String status = new String(socket.getInputStream().readNBytes("HTTP/1.1 200".length()));
            (status.endsWith("200") ? answered : refused).incrementAndGet();
        } catch (SocketTimeoutException noAnswer) {
            ids.forEach(id -> closedAt.put(id, System.nanoTime()));
        } catch (IOException closed) {
            refused.incrementAndGet();
        }
    }

    private long late(RecordingUpstreams upstreams) {
        return closedAt.entrySet().stream()
                .filter(left ->
                        upstreams.arrivals().getOrDefault(left.getKey(), Long.MIN_VALUE) > left.getValue() + LATE_NANOS)
                .count();
    }

    private long reached(RecordingUpstreams upstreams) {
        return closedAt.keySet().stream()
                .filter(upstreams.arrivals()::containsKey)
                .count();
    }

    @Example
    void noRequestReachesAnUpstreamAfterItsCallerHasLeftAnEntryThatStoodStill() throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 1, CONFIG);
                RecordingUpstreams upstreams = new RecordingUpstreams(platform, UPSTREAMS)) {
            awaitServed(platform);
            List<String> found = new ArrayList<>();
            for (Manner manner : Manner.values()) {
                playFrozen(platform, manner);
                found.add(manner + ": " + late(upstreams) + " of " + closedAt.size());
                assertThat(closedAt).as("%s: callers left", manner).hasSizeGreaterThan(CALLERS_OF_FROZEN_ENTRY / 2);
                assertThat(late(upstreams)).as("late, %s", found).isZero();
                closedAt.clear();
            }
            System.out.println("late entry, frozen, late at an upstream: " + found);
        }
    }

    private void playFrozen(PlatformProcesses platform, Manner manner) throws Exception {
        String entry = platform.entries().getFirst();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Socket> kept = new ArrayList<>();
            for (int index = 0; manner == Manner.KEPT_CONNECTION && index < CALLERS_OF_FROZEN_ENTRY; index++) {
                kept.add(usedConnection(platform, entry));
            }
            platform.freeze(entry, FREEZE_MILLIS);
            for (int index = 0; index < CALLERS_OF_FROZEN_ENTRY; index++) {
                Socket socket = kept.isEmpty() ? platform.connect(entry) : kept.get(index);
                callers.submit(() -> call(socket, manner));
            }
            // The callers end before the freeze does; what it held up comes after it.
            Thread.sleep(2 * FREEZE_MILLIS);
        }
    }

    private Socket usedConnection(PlatformProcesses platform, String entry) throws IOException {
        Socket socket = platform.connect(entry);
        send(socket, request(nextId(), "GET", 0));
        String answer = LoopbackPlatform.readHead(socket.getInputStream());
        assertThat(answer).startsWith("HTTP/1.1 200");
        socket.getInputStream().readNBytes(2);
        return socket;
    }

    private static void awaitServed(PlatformProcesses platform) throws Exception {
        for (String entry : platform.entries()) {
            String answer = "";
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!answer.startsWith("HTTP/1.1 200")) {
                assertThat(System.nanoTime()).as("serves: %s", answer).isLessThan(deadlineNanos);
                try (Socket socket = platform.connect(entry)) {
                    send(socket, request("first", "GET", 0));
                    answer = LoopbackPlatform.readHead(socket.getInputStream());
                }
            }
        }
    }

    @Example
    void fewRequestsAreLateAtAnEntryWithTooLittleProcessorTime() throws Exception {
        playStarved("starved", false);
    }

    @Example
    void fewRequestsAreLateAtAnEntryThatHasJustStartedWithTooLittleProcessorTime() throws Exception {
        playStarved("starved from its start", true);
    }

    private void playStarved(String label, boolean justStarted) throws Exception {
        List<Process> busy = new ArrayList<>();
        try (PlatformProcesses platform = new PlatformProcesses(1, 3, CONFIG);
                RecordingUpstreams upstreams = new RecordingUpstreams(platform, UPSTREAMS);
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            String entry = platform.entries().getFirst();
            if (justStarted) {
                platform.kill(List.of(entry));
                platform.start(entry);
                platform.awaitEntry(entry);
            } else {
                awaitServed(platform);
            }
            platform.pin(entry, STARVED_CORE);
            for (int index = 0; index < BUSY_PROCESSES; index++) {
                busy.add(new ProcessBuilder("taskset", "-c", STARVED_CORE, "sh", "-c", "while :; do :; done").start());
            }
            int requests = SECONDS * REQUESTS_PER_SECOND;
            long startNanos = System.nanoTime();
            for (int index = 0; index < requests; index++) {
                long dueNanos = startNanos + index * TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
                Socket socket = platform.connect(entry);
                callers.submit(() -> call(socket, Manner.NEW_CONNECTION));
            }
            // What has waited at the entry comes after the callers have left.
            Thread.sleep(TimeUnit.SECONDS.toMillis(2 + SECONDS));
            System.out.println("late entry, " + label + ", " + requests + " requests: answered " + answered
                    + ", refused " + refused + ", left " + closedAt.size() + ", of these reached an upstream "
                    + reached(upstreams) + ", late " + late(upstreams));
            assertThat(late(upstreams)).isLessThanOrEqualTo(MAX_LATE);
        } finally {
            busy.forEach(Process::destroyForcibly);
        }
    }
}
