package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * Guards against upstreams in trouble that send bytes which are no answer, until their connection is closed: callers
 * must be served by the sound upstreams, with bounded memory and processor time. Running processes.
 */
class EndlessAnswersTest {

    private static final String CONFIG = "{\"version\":3,\"routes\":[" + route("plain", "idempotent", false) + ","
            + route("stream", "stream", true) + "],\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final int UPSTREAMS = 6;
    private static final int CALLERS = Integer.getInteger("endless.callers", 100);
    private static final int CALLERS_PER_SECOND = 50;
    private static final int CALLER_WAIT_MILLIS = 3_000;
    private static final double MIN_ANSWERED = 0.9;
    /** Part of a core that an entry may use once its last caller has left. */
    private static final double MAX_IDLE_CORES = 0.3;

    private static final long SETTLED_MILLIS = 2_500;

    private static String route(String name, String kind, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h\",\"pathPrefix\":\"/" + name + "/\",\"routeKind\":\"" + kind
                + "\",\"timeoutMs\":3000,\"service\":\"s\",\"maxAttempts\":3,\"resumable\":" + resumable + "}";
    }

    private static boolean call(PlatformProcesses platform, String path, int number) {
        try (Socket socket = platform.connect(platform.entries().getFirst())) {
            socket.setSoTimeout(CALLER_WAIT_MILLIS);
            String request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    + PlatformHeaders.REQUEST_ID + ": q" + number + "\r\n" + PlatformHeaders.DEADLINE + ": "
                    + CALLER_WAIT_MILLIS + "\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return answer.startsWith("HTTP/1.1 200") && (answer.endsWith("ok") || answer.endsWith("0\r\n\r\n"));
        } catch (IOException noAnswer) {
            return false;
        }
    }

    private static void assertServed(EndlessUpstreams.Kind kind, boolean fast, int endless) throws Exception {
        try (PlatformProcesses platform = new PlatformProcesses(1, 1, CONFIG);
                EndlessUpstreams upstreams = new EndlessUpstreams(platform, UPSTREAMS, endless, kind, fast);
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            Thread.sleep(TimeUnit.SECONDS.toMillis(1));
            String entry = platform.entries().getFirst();
            List<Future<Boolean>> answers = new ArrayList<>();
            for (int number = 0; number < CALLERS; number++) {
                int id = number;
                String path = kind.isOfStreams() ? "/stream/" : "/plain/";
                answers.add(callers.submit(() -> call(platform, path, id)));
                Thread.sleep(TimeUnit.SECONDS.toMillis(1) / CALLERS_PER_SECOND);
            }
            int answered = 0;
            for (Future<Boolean> answer : answers) {
                answered += answer.get() ? 1 : 0;
            }
            Thread.sleep(SETTLED_MILLIS);
            long usedBefore = platform.processorNanos(entry);
            Thread.sleep(TimeUnit.SECONDS.toMillis(1));
            double cores = (double) (platform.processorNanos(entry) - usedBefore) / TimeUnit.SECONDS.toNanos(1);
            String what = kind + (fast ? " fast" : " slow") + ", " + endless + " of " + UPSTREAMS
                    + " upstreams: answered "
                    + answered + " of " + CALLERS + ", cores used after the last caller " + cores + ", floods left "
                    + upstreams.floods();
            System.out.println("endless answers, " + what);
            assertThat(platform.isSound(entry)).as(what).isTrue();
            assertThat(answered).as(what).isGreaterThanOrEqualTo((int) (MIN_ANSWERED * CALLERS));
            assertThat(cores).as(what).isLessThan(MAX_IDLE_CORES);
            assertThat(upstreams.floods()).as(what).isZero();
        }
    }

    @Example
    void callersAreServedBesideAnUpstreamThatSendsInterimResponsesWithoutEnd() throws Exception {
        assertServed(EndlessUpstreams.Kind.INTERIM_RESPONSES, true, 1);
        assertServed(EndlessUpstreams.Kind.INTERIM_RESPONSES, false, 1);
    }

    @Example
    void callersAreServedBesideAnUpstreamWhoseEventNeverEnds() throws Exception {
        assertServed(EndlessUpstreams.Kind.EVENT, true, 1);
        assertServed(EndlessUpstreams.Kind.EVENT, false, 1);
    }

    @Example
    void callersAreServedBesideAnUpstreamWhoseBodyNeverEnds() throws Exception {
        assertServed(EndlessUpstreams.Kind.UNFRAMED_BODY, true, 1);
        assertServed(EndlessUpstreams.Kind.CHUNKS, true, 1);
        assertServed(EndlessUpstreams.Kind.CHUNKS, false, 1);
    }

    @Example
    void callersAreServedBesideManyUpstreamsWhoseBodiesNeverEnd() throws Exception {
        assertServed(EndlessUpstreams.Kind.CHUNKS, true, 2);
    }

    @Example
    void callersAreServedBesideAnUpstreamWhoseHeadNeverEnds() throws Exception {
        assertServed(EndlessUpstreams.Kind.HEADERS, true, 1);
        assertServed(EndlessUpstreams.Kind.HEADER_LINE, true, 1);
        assertServed(EndlessUpstreams.Kind.HEADER_LINE, false, 1);
    }

    @Example
    void callersAreServedBesideAnUpstreamThatSendsNoHttpOrGoesOnAfterItsAnswer() throws Exception {
        assertServed(EndlessUpstreams.Kind.NO_HTTP, true, 1);
        assertServed(EndlessUpstreams.Kind.AFTER_AN_ANSWER, true, 1);
        assertServed(EndlessUpstreams.Kind.AFTER_AN_ANSWER, false, 1);
    }
}
