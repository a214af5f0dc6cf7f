package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/**
 * Guards against answers that their upstream broke off and that reach their callers as complete: running processes
 * before upstreams over real sockets, whose answers end at each byte, by a close or a reset, whatever their framing.
 */
class CutAnswersOnLoopbackTest {

    /** Bytes between two offsets in CI; every offset by hand with -Dcut.step=1. */
    private static final int STEP = Integer.getInteger("cut.step", 5);

    private static final String CONFIG = "{\"version\":3,\"routes\":["
            + route("once", false) + "," + route("again", true)
            + ",{\"name\":\"plain\",\"host\":\"h\",\"pathPrefix\":\"/plain/\",\"routeKind\":\"non_idempotent\","
            + "\"timeoutMs\":6000,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],\"limits\":{}}";
    private static final List<String> EVENTS =
            List.of("id: 1\ndata: a\n\n", "id: 2\r\ndata: bc\r\n\r\n", "id: 3\ndata: d\n\n");
    private static final String STREAM = String.join("", EVENTS);
    private static final String MANY_RETRIES = "{\"retryBudgetRatio\":1.0,\"retrySlack\":10000,\"retryWindowS\":10}";
    private static final int UPSTREAMS = 3;
    /** Ids are of one length, as upstreams echo them and offsets count from the first byte. */
    private static final int FIRST_REQUEST = 100_000;

    /** How an answer states its length. */
    private enum Framing {
        NONE,
        LENGTH,
        CHUNKS
    }

    /** How the connection of an answer that is cut ends. */
    private enum End {
        CLOSE,
        RESET
    }

    private static String route(String name, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h\",\"pathPrefix\":\"/" + name
                + "/\",\"routeKind\":\"stream\",\"timeoutMs\":6000,\"service\":\"s\",\"maxAttempts\":3,\"resumable\":"
                + resumable + "}";
    }

    private final List<ServerSocket> upstreams = new ArrayList<>();
    /** Requests of which one answer was cut. */
    private final Set<String> cutRequests = ConcurrentHashMap.newKeySet();

    private final List<String> findings = new ArrayList<>();
    private LoopbackPlatform platform;
    private volatile Framing framing = Framing.LENGTH;
    private volatile End end = End.CLOSE;
    /** Bytes of an answer that are sent before its connection ends; all of them if it is negative. */
    private volatile int offset = -1;

    private int nextRequest;

    @BeforeProperty
    void start() throws Exception {
        platform = new LoopbackPlatform(CONFIG, MANY_RETRIES);
        for (int number = 1; number <= UPSTREAMS; number++) {
            ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getByName(LoopbackPlatform.HOST));
            upstreams.add(upstream);
            Thread.ofVirtual().start(() -> accept(upstream));
            platform.sendHeartbeat("i-" + number, upstream.getLocalPort());
        }
        platform.retryUntil(LoopbackPlatform.READINESS, "GET /", "", "200");
        platform.retryUntil(LoopbackPlatform.CALLERS, "POST /plain/", "", "HTTP/1.1 200");
    }

    @AfterProperty
    void stop() throws IOException {
        for (ServerSocket upstream : upstreams) {
            upstream.close();
        }
        platform.close(false);
    }

    private void accept(ServerSocket upstream) {
        try {
            while (true) {
                Socket socket = upstream.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void serve(Socket connection) {
        try (Socket socket = connection) {
            String head = LoopbackPlatform.readHead(socket.getInputStream());
            if (!head.isEmpty()) {
                answer(socket, head);
            }
        } catch (IOException gone) {
            // The entry has closed the connection.
        }
    }

    private void answer(Socket socket, String head) throws IOException {
        byte[] answer = answer(head).getBytes(StandardCharsets.ISO_8859_1);
        boolean cut = offset >= 0 && offset < answer.length && cutRequests.add(header(head, "X-Cuminshelf-Request-Id"));
        OutputStream out = socket.getOutputStream();
        out.write(answer, 0, cut ? offset : answer.length);
        out.flush();
        if (cut && end == End.RESET) {
            socket.setSoLinger(true, 0);
        }
    }

    private String answer(String head) {
        String body = STREAM;
        String last = header(head, "Last-Event-Id");
        if (!last.isEmpty()) {
            body = String.join("", EVENTS.subList(Integer.parseInt(last), EVENTS.size()));
        }
        return "HTTP/1.1 200 OK\r\nConnection: close\r\n" + PlatformHeaders.RESPONSE_SEAL + ": s\r\n"
                + "X-Cuminshelf-Request-Id: " + header(head, "X-Cuminshelf-Request-Id") + "\r\n" + framed(body);
    }

    private String framed(String body) {
        return switch (framing) {
            case NONE -> "\r\n" + body;
            case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case CHUNKS -> {
                // The chunks end inside events.
                int half = body.length() / 2;
                yield "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substring(0, half))
                        + chunk(body.substring(half)) + "0\r\n\r\n";
            }
        };
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String header(String head, String name) {
        Matcher value = Pattern.compile("(?im)^" + name + ": *([^\r\n]*)").matcher(head);
        return value.find() ? value.group(1) : "";
    }

    /** What a caller can tell of the answer to a request. */
    private record Answer(String status, boolean complete, String body) {}

    private Answer ask(String path) throws IOException {
        String request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + PlatformHeaders.REQUEST_ID
                + ": " + (FIRST_REQUEST + nextRequest++) + "\r\nContent-Length: 0\r\n\r\n";
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket(LoopbackPlatform.HOST, platform.port(LoopbackPlatform.CALLERS))) {
            socket.setSoTimeout(8_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (SocketException reset) {
            return new Answer("reset", false, "");
        }
        return decode(text.toString());
    }

    private static Answer decode(String text) {
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return new Answer("none", false, "");
        }
        String status = text.split(" ", 3)[1];
        String rest = text.substring(headEnd + 4);
        if (!text.contains("Transfer-Encoding: chunked")) {
            return new Answer(status, true, rest);
        }
        StringBuilder body = new StringBuilder();
        while (!rest.startsWith("0\r\n")) {
            int sizeEnd = rest.indexOf("\r\n");
            if (sizeEnd < 0) {
                return new Answer(status, false, body.toString());
            }
            int size = Integer.parseInt(rest.substring(0, sizeEnd), 16);
            body.append(rest, sizeEnd + 2, sizeEnd + 2 + size);
            rest = rest.substring(sizeEnd + 2 + size + 2);
        }
        return new Answer(status, true, body.toString());
    }

    private boolean endsBetweenEvents() {
        String answer = answer("X-Cuminshelf-Request-Id: " + FIRST_REQUEST + "\r\n");
        int bodyStart = answer.indexOf("\r\n\r\n") + 4;
        int end = bodyStart;
        boolean between = false;
        for (String event : EVENTS) {
            end += event.length();
            between |= offset == end;
        }
        return framing == Framing.NONE && between;
    }

    /** Cuts the answers to a request on a path at each offset, in each way, and whole ones between. */
    private void cutEverywhere(String path, boolean goesOn) throws IOException {
        for (Framing each : Framing.values()) {
            framing = each;
            int length =
                    answer("X-Cuminshelf-Request-Id: " + FIRST_REQUEST + "\r\n").length();
            for (int at = 0; at < length; at += STEP) {
                for (End way : End.values()) {
                    offset = at;
                    end = way;
                    Answer answer = ask(path);
                    inspect(path, goesOn, answer);
                    offset = -1;
                    expectWhole(path, ask(path));
                }
            }
        }
        System.out.println("cut answers on " + path + ": " + nextRequest + " requests, found " + findings.size());
        assertThat(findings.stream().limit(5))
                .as("%d findings", findings.size())
                .isEmpty();
    }

    private void inspect(String path, boolean goesOn, Answer answer) {
        boolean success = answer.complete && answer.status.equals("200");
        boolean whole = answer.body.equals(STREAM);
        String what = path + " " + framing + " " + end + " at " + offset + ": " + answer;
        // An answer without framing whose connection is closed between two events can't be told from a whole one.
        boolean undecidable = end == End.CLOSE && endsBetweenEvents();
        if (success && !whole && !undecidable) {
            findings.add("passed on as complete: " + what);
        }
        if (goesOn && !success) {
            findings.add("not continued: " + what);
        }
        if (!goesOn && !success && !answer.status.matches("200|502|reset")) {
            findings.add("refused or wrong: " + what);
        }
    }

    private void expectWhole(String path, Answer answer) {
        if (!answer.complete || !answer.status.equals("200") || !answer.body.equals(STREAM)) {
            findings.add("a whole answer was not passed on: " + path + " " + framing + ": " + answer);
        }
    }

    @Example
    void noStreamThatMayNotBeResumedIsPassedOnAsCompleteUnlessItIs() throws Exception {
        cutEverywhere("/once/", false);
    }

    @Example
    void eachStreamThatMayBeResumedIsWholeWhereverItsAnswerIsCut() throws Exception {
        cutEverywhere("/again/", true);
    }
}
