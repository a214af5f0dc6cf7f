package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.CallerListener;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/**
 * Guards against requests that are sent to an upstream although their caller has left: the close has arrived at the
 * socket, but the entry was busy and has not read it yet. A held lock stands for the busy entry.
 */
class DepartedCallersTest {

    private static final long TIMEOUT_SECONDS = 10;
    /** More than one read of a connection takes. */
    private static final int LARGE_BODY_BYTES = 100_000;

    private static final String BEFORE_SENT = "left-before-sent";
    private static final String WHILE_WAITING = "left-while-waiting";

    private final ReentrantLock lock = new ReentrantLock();
    private DirectFixture entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.IDEMPOTENT, 3));
    private CallerListener listener;
    private Socket caller;

    /** What happens while the entry reads nothing. */
    private interface Action {

        void run() throws IOException;
    }

    @BeforeProperty
    void listen() throws IOException {
        listener = CallerListener.start(
                Address.of("127.0.0.1:0"), lock, new DelegatingHandler(() -> entry.core), () -> CallerLimits.DEFAULT);
        caller = new Socket("127.0.0.1", listener.port());
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    }

    @AfterProperty
    void close() throws IOException {
        caller.close();
        listener.close();
    }

    private void withEngines(String... engines) {
        entry.becomeReady();
        for (String engine : engines) {
            entry.addUpstream(engine, Role.ROLE_MIXED);
        }
    }

    private void whileNothingIsRead(Action action) throws IOException {
        lock.lock();
        try {
            action.run();
        } finally {
            lock.unlock();
        }
    }

    private static String request(String id, String body) {
        return "POST /a/b HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDeadline: 8000\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void reset() throws IOException {
        caller.setSoLinger(true, 0);
        caller.close();
    }

    private void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!holds(condition)) {
            assertThat(System.nanoTime()).as("lines: %s", entry.logLines).isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }

    private boolean holds(BooleanSupplier condition) {
        lock.lock();
        try {
            return condition.getAsBoolean();
        } finally {
            lock.unlock();
        }
    }

    private void sendAndAwaitRead(String id) throws IOException {
        send(request(id, ""));
        await(() -> entry.core.openCalls() > 0);
    }

    private void assertLeft(String id, String outcome, int sentRequests) {
        await(() -> !entry.linesWith("request " + id + " ", "outcome=left").isEmpty());
        assertThat(entry.sentRequests).hasSize(sentRequests);
        assertThat(entry.linesWith("request " + id + " ", "outcome=" + outcome)).hasSize(1);
    }

    // ---- the close comes before the first read

    @Example
    void aRequestWhoseCallerHasClosedIsNotSent() throws IOException {
        withEngines("a");
        whileNothingIsRead(() -> {
            send(request("x", ""));
            caller.close();
        });
        assertLeft("x", BEFORE_SENT, 0);
    }

    @Example
    void aRequestWhoseCallerHasResetItsConnectionIsNotSent() throws IOException {
        withEngines("a");
        sendAndAwaitAnswer("first");
        whileNothingIsRead(() -> {
            send(request("x", ""));
            reset();
        });
        await(() -> listener.unfinishedConnections() == 0);
        assertThat(entry.sentRequests).hasSize(1);
    }

    @Example
    void aRequestOfMoreBytesThanOneReadTakesWhoseCallerHasClosedIsNotSent() throws IOException {
        withEngines("a");
        whileNothingIsRead(() -> {
            send(request("x", "b".repeat(LARGE_BODY_BYTES)));
            caller.close();
        });
        assertLeft("x", BEFORE_SENT, 0);
    }

    @Example
    void aLaterRequestOnAKeptConnectionWhoseCallerHasClosedIsNotSent() throws IOException {
        withEngines("a");
        sendAndAwaitAnswer("first");
        whileNothingIsRead(() -> {
            send(request("x", ""));
            caller.close();
        });
        assertLeft("x", BEFORE_SENT, 1);
    }

    @Example
    void neitherOfTwoPipelinedRequestsIsSentOnceTheirCallerHasClosed() throws IOException {
        withEngines("a");
        whileNothingIsRead(() -> {
            send(request("x", "") + request("y", ""));
            caller.close();
        });
        assertLeft("x", BEFORE_SENT, 0);
    }

    private void sendAndAwaitAnswer(String id) throws IOException {
        sendAndAwaitRead(id);
        whileNothingIsRead(() -> entry.lastSent().respond(200, "ok"));
        assertThat(caller.getInputStream().readNBytes(12)).asString().isEqualTo("HTTP/1.1 200");
    }

    // ---- the close comes while the request waits

    @Example
    void aRequestThatWaitsForTheFirstConfigurationIsNotSentOnceItsCallerHasClosed() throws IOException {
        sendAndAwaitRead("x");
        whileNothingIsRead(() -> {
            caller.close();
            withEngines("a");
            entry.advance(50);
            assertThat(entry.sentRequests).isEmpty();
        });
        await(() -> entry.core.openCalls() == 0);
        assertThat(entry.sentRequests).isEmpty();
    }

    @Example
    void aRequestThatWaitsForAnUpstreamIsNotSentOnceItsCallerHasClosed() throws IOException {
        withEngines();
        sendAndAwaitRead("x");
        whileNothingIsRead(() -> {
            caller.close();
            entry.addUpstream("a", Role.ROLE_MIXED);
            entry.advance(50);
            assertThat(entry.sentRequests).isEmpty();
        });
        assertLeft("x", BEFORE_SENT, 0);
    }

    @Example
    void aRequestIsNotSentToAnotherUpstreamAfterAFailureOnceItsCallerHasClosed() throws IOException {
        withEngines("a", "b");
        sendAndAwaitRead("x");
        whileNothingIsRead(() -> {
            caller.close();
            entry.lastSent().handler.onFailed(true, "reset");
            entry.advance(50);
            assertThat(entry.sentRequests).hasSize(1);
        });
        assertLeft("x", WHILE_WAITING, 1);
    }

    @Example
    void aSilentAttemptIsNotReplacedOnceItsCallerHasClosed() throws IOException {
        withEngines("a", "b");
        sendAndAwaitRead("x");
        whileNothingIsRead(() -> {
            caller.close();
            entry.advance(2_000);
            assertThat(entry.sentRequests).hasSize(1);
        });
        assertLeft("x", "left-at-work", 1);
        assertThat(entry.lastSent().cancelled).isTrue();
    }

    @Example
    void aPrefilledPromptIsNotHandedOverOnceItsCallerHasClosed() throws IOException {
        entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.STREAM, 3));
        entry.becomeReady();
        entry.addUpstream("p", Role.ROLE_PREFILL).addUpstream("d", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p", Role.ROLE_PREFILL, 5, 10);
        entry.reportPrefillTimes("d", Role.ROLE_DECODE, 5, 100);
        send("POST /a/b HTTP/1.1\r\nHost: h\r\nId: x\r\nDeadline: 8000\r\nTokens: 9000\r\nContent-Length: 0\r\n\r\n");
        await(() -> !entry.sentRequests.isEmpty());
        assertThat(entry.lastSent().upstream).isEqualTo("p");
        int sentForPrefill = entry.sentRequests.size();
        whileNothingIsRead(() -> {
            caller.close();
            entry.lastSent().respondHead(200);
            entry.lastSent().respondBody("handle");
            entry.lastSent().handler.onComplete();
            assertThat(entry.sentRequests.stream()
                            .skip(sentForPrefill)
                            .filter(sent -> sent.request.method().equals("POST")))
                    .isEmpty();
        });
        await(() -> entry.core.openCalls() == 0);
    }

    @Example
    void aResumedStreamIsNotSentOnceItsCallerHasClosedWhileItsRecordWasLookedUp() throws IOException {
        entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.STREAM, 3));
        entry.becomeReady();
        entry.setEntries("10.0.1.2:7000", "10.0.1.3:7000");
        entry.addUpstream("a", Role.ROLE_DECODE);
        send("POST /a/b HTTP/1.1\r\nHost: h\r\nId: x\r\nDeadline: 8000\r\nTokens: 100\r\nLast: 4\r\nResumes: w\r\n"
                + "Content-Length: 0\r\n\r\n");
        await(() -> entry.core.openCalls() > 0);
        whileNothingIsRead(() -> {
            caller.close();
            entry.advance(1_500);
            assertThat(entry.sentRequests).isEmpty();
        });
        await(() -> entry.core.openCalls() == 0);
        assertThat(entry.sentRequests).isEmpty();
    }

    @Example
    void aRequestIsWithdrawnIfItsCallerHasClosedAsItsConnectionIsMade() throws IOException {
        assertWithdrawnWhileConnecting();
    }

    @Example
    void aRequestThatMayRunOnlyOnceIsWithdrawnToo() throws IOException {
        entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.NON_IDEMPOTENT, 1));
        assertWithdrawnWhileConnecting();
    }

    private void assertWithdrawnWhileConnecting() throws IOException {
        withEngines("a");
        sendAndAwaitRead("x");
        whileNothingIsRead(() -> {
            caller.close();
            entry.lastSent().written = false;
            entry.lastSent().handler.beforeSend();
            assertThat(entry.lastSent().cancelled).isTrue();
        });
        assertLeft("x", "left-at-work", 1);
    }

    // ---- bytes of a next request stand before the close

    @Example
    void aCloseBehindTheBytesOfANextRequestCancelsTheOneAtWork() throws IOException {
        withEngines("a");
        sendAndAwaitRead("x");
        send(request("y", "b".repeat(LARGE_BODY_BYTES / 10)));
        caller.close();
        assertLeft("x", "left-at-work", 1);
        assertThat(entry.lastSent().cancelled).isTrue();
    }

    @Example
    void theNextOfTwoPipelinedRequestsIsServedIfTheirCallerStays() throws IOException {
        withEngines("a");
        send(request("x", "") + request("y", ""));
        await(() -> !entry.sentRequests.isEmpty());
        whileNothingIsRead(() -> entry.lastSent().respond(200, "ok"));
        await(() -> entry.sentRequests.size() == 2);
        whileNothingIsRead(() -> entry.lastSent().respond(200, "ok"));
        String answers = "";
        while (answers.split("HTTP/1.1 200", -1).length < 3) {
            answers += (char) caller.getInputStream().read();
        }
    }
}
