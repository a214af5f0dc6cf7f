package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Guards against attempts that never end, as their upstreams send bytes that complete neither answer nor event. */
class EndlessResponsesTest {

    private static final String MEGABYTE = "b".repeat(1 << 20);
    private static final int MAX_RESPONSE_MEGABYTES = 16;

    private static DirectFixture entry(RequestKind kind) {
        return new DirectFixture(DirectFixture.patientRoute(kind, 3))
                .becomeReady()
                .addUpstream("a", Role.ROLE_MIXED)
                .addUpstream("b", Role.ROLE_MIXED);
    }

    @Example
    void aBodyThatIsTooLargeEndsItsAttemptAndTheRequestGoesOnElsewhere() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT);
        DirectFixture.CallerResponse response = entry.sendRequest("x", "Deadline", "8000");
        DirectFixture.SentRequest endless = entry.lastSent();
        endless.respondSealedHead(200);
        for (int megabyte = 0; megabyte < MAX_RESPONSE_MEGABYTES; megabyte++) {
            endless.respondBody(MEGABYTE);
        }
        assertThat(endless.cancelled).isFalse();
        endless.respondBody("b");
        assertThat(endless.cancelled).isTrue();
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respond(200, "ok");
        assertThat(response.body).hasToString("ok");
    }

    @Example
    void theLargestBodyIsPassedOn() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT);
        DirectFixture.CallerResponse response = entry.sendRequest("x", "Deadline", "8000");
        entry.lastSent().respondSealedHead(200);
        for (int megabyte = 0; megabyte < MAX_RESPONSE_MEGABYTES; megabyte++) {
            entry.lastSent().respondBody(MEGABYTE);
        }
        entry.lastSent().handler.onComplete();
        assertThat(response.status).isEqualTo(200);
        assertThat(response.body.length()).isEqualTo(MAX_RESPONSE_MEGABYTES * MEGABYTE.length());
    }

    @Example
    void anEventThatNeverEndsEndsItsAttempt() {
        DirectFixture entry = entry(RequestKind.STREAM);
        DirectFixture.CallerResponse response = entry.sendRequest("x", "Deadline", "8000", "Tokens", "100");
        DirectFixture.SentRequest endless = entry.lastSent();
        endless.respondSealedHead(200);
        endless.respondBody("id: 1\ndata: a\n\n");
        endless.respondBody("data: " + MEGABYTE);
        assertThat(endless.cancelled).isTrue();
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respond(200, "id: 2\ndata: b\n\n");
        assertThat(response.body).hasToString("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Example
    void bytesThatCompleteNoEventDoNotKeepAStreamFromGoingOnElsewhere() {
        DirectFixture entry = entry(RequestKind.STREAM);
        entry.sendRequest("x", "Deadline", "8000", "Tokens", "100");
        DirectFixture.SentRequest endless = entry.lastSent();
        endless.respondSealedHead(200);
        for (int tenth = 0; tenth < 40 && entry.sentRequests.size() < 2; tenth++) {
            endless.respondBody("a");
            entry.advance(100);
        }
        assertThat(entry.sentRequests).as("%s", entry.logLines).hasSize(2);
    }

    /* Whatever runs on for a caller that has left was never ended, if its answer did not end. */
    @Example
    void aRequestThatRunsOnAfterItsCallerHasLeftEndsOnceItsTimeIsUp() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT);
        DirectFixture.CallerResponse caller = entry.sendRequest("x", "Deadline", "2000");
        DirectFixture.SentRequest endless = entry.lastSent();
        endless.respondSealedHead(200);
        entry.core.onDisconnect(caller);
        for (int tenth = 0; tenth < 29; tenth++) {
            endless.handler.onBody(ByteBuffer.wrap(new byte[1]));
            entry.advance(100);
        }
        assertThat(endless.cancelled).isFalse();
        entry.advance(200);
        assertThat(endless.cancelled).isTrue();
    }
}
