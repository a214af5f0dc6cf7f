package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import net.jqwik.api.Example;

/**
 * Guards against requests that a stopping entry passes on to an upstream and does not answer as a whole, with real
 * processes, SIGTERM, and callers that use their connections until they are closed.
 */
class StoppingEntryTest {

    private static final String CONFIG = "{\"version\":3,\"routes\":[" + route("stream", "stream", 9_000, true) + ","
            + route("plain", "idempotent", 4_000, false)
            + "],\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final int UPSTREAMS = 6;
    private static final long GRACE_MILLIS = 8_000;
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS);
    /** Time after SIGTERM from which on no request may be cut, as its caller could have been sent elsewhere. */
    private static final long NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long WARM_MILLIS = 2_500;
    private static final long SECOND_SIGNAL_MILLIS = 500;
    private static final int BUSY_PROCESSES = Integer.getInteger("stopping.busy", 9);
    private static final String STARVED_CORE = System.getProperty("stopping.core", "0");

    private static String route(String name, String kind, int timeoutMillis, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h\",\"pathPrefix\":\"/" + name + "/\",\"routeKind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMillis + ",\"maxAttempts\":2,\"resumable\":" + resumable
                + ",\"gapAimMs\":250,\"service\":\"s\"}";
    }

    /** One stop of an entry under load. */
    private record Load(int callers, int thinkMillis, Function<Random, String> paths, int busyProcesses) {

        static Load of(int callers, Function<Random, String> paths) {
            return new Load(callers, 0, paths, 0);
        }

        Load thinking(int millis) {
            return new Load(callers, millis, paths, busyProcesses);
        }

        Load beside(int processes) {
            return new Load(callers, thinkMillis, paths, processes);
        }
    }

    private static String stream(int millis, int intervalMillis) {
        return "/stream/" + millis + "/" + intervalMillis;
    }

    private static String plain(int millis) {
        return "/plain/" + millis;
    }

    @Example
    void streamsOfAnyLengthOnKeptConnectionsAreNotCutByAStop() throws Exception {
        assertNothingIsLost(Load.of(60, random -> stream(random.nextInt(300, 6_500), 100)));
    }

    @Example
    void longStreamsOnKeptConnectionsAreNotCutByAStop() throws Exception {
        assertNothingIsLost(Load.of(60, random -> stream(4_500 + 1_000 * random.nextInt(3), 100)));
    }

    @Example
    void streamsWithPausesAreNotCutByAStop() throws Exception {
        assertNothingIsLost(Load.of(60, random -> stream(2_000 * random.nextInt(1, 4), 1_800)));
    }

    @Example
    void requestsOfCallersThatThinkBetweenThemAreNotCutByAStop() throws Exception {
        assertNothingIsLost(Load.of(60, random -> stream(random.nextInt(300, 6_500), 100))
                .thinking(20));
    }

    @Example
    void plainRequestsAreNotCutByAStop() throws Exception {
        assertNothingIsLost(Load.of(120, random -> plain(random.nextInt(20, 3_900))));
    }

    @Example
    void streamsAreNotCutByAStopOfAnEntryWithTooLittleProcessorTime() throws Exception {
        assertNothingIsLost(Load.of(60, random -> stream(random.nextInt(300, 6_500), 100))
                .beside(BUSY_PROCESSES));
    }

    @Example
    void plainRequestsAreNotCutByAStopOfAnEntryWithTooLittleProcessorTime() throws Exception {
        assertNothingIsLost(
                Load.of(60, random -> plain(random.nextInt(20, 3_900))).beside(BUSY_PROCESSES));
    }

    /* Guards against a pipelined request that a stopping entry has read and neither answers nor refuses. */
    @Example
    void pipelinedRequestsAreEachAnsweredOrRefusedByAStop() throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 1, CONFIG);
                PacedUpstreams upstreams = new PacedUpstreams(platform, UPSTREAMS)) {
            String entry = platform.entries().getFirst();
            try (Socket socket = platform.connect(entry)) {
                socket.setSoTimeout((int) GRACE_MILLIS);
                String requests = pipelined("p1", 1_500) + pipelined("p2", 4_000) + pipelined("p3", 3_000);
                socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(SECOND_SIGNAL_MILLIS);
                platform.requestStop(entry);
                String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                assertThat(answers.split("HTTP/1.1 200", -1)).as(answers).hasSize(3);
                assertThat(answers.split("0\r\n\r\n", -1)).as(answers).hasSize(3);
                assertThat(answers.split("HTTP/1.1 503", -1)).as(answers).hasSize(2);
                assertThat(upstreams.hasRun("p3")).isFalse();
            }
            assertThat(platform.awaitEnd(entry, GRACE_MILLIS)).isTrue();
        }
    }

    private static String pipelined(String id, int millis) {
        return "POST " + stream(millis, 100) + " HTTP/1.1\r\nHost: h\r\n" + PlatformHeaders.REQUEST_ID + ": " + id
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    /* Guards against a platform that repeats SIGTERM: the second one ended the process and cut what was open. */
    @Example
    void aSecondRequestToStopCutsNothing() throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 1, CONFIG);
                PacedUpstreams _ = new PacedUpstreams(platform, UPSTREAMS)) {
            String entry = platform.entries().getFirst();
            Queue<ReusingCaller.Sent> sent = ReusingCaller.newRecord();
            AtomicBoolean goesOn = new AtomicBoolean(true);
            Thread caller = Thread.ofVirtual()
                    .start(new ReusingCaller(platform, entry, () -> stream(3_000, 100), 0, goesOn::get, sent));
            Thread.sleep(WARM_MILLIS / 2);
            goesOn.set(false);
            platform.requestStop(entry);
            Thread.sleep(SECOND_SIGNAL_MILLIS);
            platform.requestStop(entry);
            assertThat(platform.awaitEnd(entry, GRACE_MILLIS)).isTrue();
            caller.join();
            assertThat(sent).isNotEmpty().allMatch(request -> request.end() == ReusingCaller.End.WHOLE);
        }
    }

    /* Guards against a signal that ends a starting process at once, although its port is open and requests are read. */
    @Example
    void aRequestToStopThatComesDuringTheStartIsCarriedOutGracefully() throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 1, CONFIG)) {
            String entry = platform.entries().getFirst();
            platform.kill(platform.entries());
            platform.start(entry);
            platform.requestStopOnceOpen(entry);
            assertThat(platform.awaitEnd(entry, GRACE_MILLIS)).isTrue();
            assertThat(platform.exitCode(entry)).isZero();
            assertThat(platform.log(entry)).contains("event=stopped");
        }
    }

    /** Stops one of two entries under load and checks what became of the requests that were sent to it. */
    private static void assertNothingIsLost(Load load) throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 2, CONFIG);
                PacedUpstreams upstreams = new PacedUpstreams(platform, UPSTREAMS)) {
            String entry = platform.entries().getFirst();
            List<Process> busy = startBusyProcesses(platform, entry, load.busyProcesses);
            Queue<ReusingCaller.Sent> sent = ReusingCaller.newRecord();
            AtomicBoolean goesOn = new AtomicBoolean(true);
            try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
                for (int caller = 0; caller < load.callers; caller++) {
                    Random random = new Random(caller);
                    threads.submit(new ReusingCaller(
                            platform, entry, () -> load.paths.apply(random), load.thinkMillis, goesOn::get, sent));
                }
                Thread.sleep(WARM_MILLIS);
                long stopNanos = System.nanoTime();
                platform.requestStop(entry);
                boolean ended = platform.awaitEnd(entry, GRACE_MILLIS);
                long endedNanos = System.nanoTime();
                goesOn.set(false);
                threads.shutdown();
                threads.awaitTermination(GRACE_MILLIS, TimeUnit.MILLISECONDS);
                judge(platform, upstreams, entry, List.copyOf(sent), stopNanos, ended, endedNanos);
            } finally {
                goesOn.set(false);
                busy.forEach(Process::destroyForcibly);
            }
        }
    }

    private static void judge(
            PlatformProcesses platform,
            PacedUpstreams upstreams,
            String entry,
            List<ReusingCaller.Sent> sent,
            long stopNanos,
            boolean ended,
            long endedNanos)
            throws IOException {
        Map<ReusingCaller.End, Integer> ends = new EnumMap<>(ReusingCaller.End.class);
        List<String> lost = new ArrayList<>();
        List<String> unnamed = new ArrayList<>();
        int cutForCallers = 0;
        String log = platform.log(entry);
        for (ReusingCaller.Sent request : sent) {
            boolean stopped = request.endNanos() > stopNanos;
            if (stopped) {
                ends.merge(request.end(), 1, Integer::sum);
            }
            boolean unanswered =
                    request.end() == ReusingCaller.End.CUT || request.end() == ReusingCaller.End.UNANSWERED;
            if (!stopped || !unanswered || !upstreams.hasRun(request.id())) {
                continue;
            }
            cutForCallers++;
            if (!isAllowed(request, upstreams, stopNanos)) {
                lost.add(describe(request, upstreams, stopNanos));
            }
            if (!log.contains(request.id() + " ")) {
                unnamed.add(request.id());
            }
        }
        System.out.println("stopping entry: ended by itself " + ended + " after "
                + TimeUnit.NANOSECONDS.toMillis(endedNanos - stopNanos) + " ms; requests that ended since SIGTERM "
                + ends + ", cut " + cutForCallers + ", of these lost " + lost.size() + ", unnamed " + unnamed.size());
        assertThat(lost).as("passed on and not answered").isEmpty();
        assertThat(unnamed).as("not named by a line of the log").isEmpty();
        assertThat(ended).as("ended by itself").isTrue();
    }

    /** Whether an upstream still worked in the last sixth of the grace period on a request that was sent early. */
    private static boolean isAllowed(ReusingCaller.Sent request, PacedUpstreams upstreams, long stopNanos) {
        boolean early = request.sentNanos() - stopNanos <= NOTICE_NANOS;
        return early && workedUntilNanos(request, upstreams) - stopNanos >= GRACE_NANOS - GRACE_NANOS / 6;
    }

    /** When the work on a request ended: it was broken off as its caller's connection ended. */
    private static long workedUntilNanos(ReusingCaller.Sent request, PacedUpstreams upstreams) {
        return Math.min(request.endNanos(), upstreams.workedUntilNanos(request.id()));
    }

    private static String describe(ReusingCaller.Sent request, PacedUpstreams upstreams, long stopNanos) {
        return request + " sent " + TimeUnit.NANOSECONDS.toMillis(request.sentNanos() - stopNanos) + " ms, ended "
                + TimeUnit.NANOSECONDS.toMillis(request.endNanos() - stopNanos) + " ms after SIGTERM, worked on until "
                + TimeUnit.NANOSECONDS.toMillis(workedUntilNanos(request, upstreams) - stopNanos) + " ms";
    }

    private static List<Process> startBusyProcesses(PlatformProcesses platform, String entry, int count)
            throws IOException, InterruptedException {
        List<Process> busy = new ArrayList<>();
        if (count > 0) {
            platform.pin(entry, STARVED_CORE);
        }
        for (int index = 0; index < count; index++) {
            busy.add(new ProcessBuilder("taskset", "-c", STARVED_CORE, "sh", "-c", "while :; do :; done").start());
        }
        return busy;
    }
}
