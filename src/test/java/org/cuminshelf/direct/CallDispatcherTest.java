package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import java.nio.ByteBuffer;
import net.jqwik.api.Example;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RequestKind;
import org.eclipse.jetty.http.HttpFields;

/** Tests dispatch, retries and responses of calls at an entry that connects to upstreams directly. */
class CallDispatcherTest {

    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";

    private static DirectFixture entryWithServices(RequestKind kind, int attempts) {
        return new DirectFixture(DirectFixture.route(kind, attempts, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED)
                .addUpstream("u2", Role.ROLE_MIXED);
    }

    private static DirectFixture entryWithDecodeEngines(boolean resumable) {
        return new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, resumable))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE)
                .addUpstream("u2", Role.ROLE_DECODE);
    }

    @Example
    void aResponseIsForwardedUnchanged() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().respond(200, "hello");
        assertThat(response.status).isEqualTo(200);
        assertThat(response.body.toString()).isEqualTo("hello");
        assertThat(response.headers.get("Seal")).isEqualTo("s");
        assertThat(entry.core.openCalls()).isZero();
    }

    /*
     * Guards against a non-retryable request that runs twice: its connection fails before the response, and a missing
     * response is taken for "did not run", so that it is sent to another upstream.
     */
    @Example
    void aNonRetryableRequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 2);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aNonRetryableRequestThatWasNeverSentIsSentToAnotherUpstream() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().handler.onFailed(false, "refused");
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }

    @Example
    void aRequestThatTheUpstreamDidNotExecuteIsRefusedWithRetryAfter() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().respondHead(503, "Not-Run", "1");
        entry.lastSent().handler.onComplete();
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After")).isNotNull();
    }

    @Example
    void anIdempotentRequestIsRetriedOnAnotherUpstreamWithinItsMaxAttempts() {
        DirectFixture entry = entryWithServices(RequestKind.IDEMPOTENT, 2);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.sentRequests.get(0).upstream).isNotEqualTo(entry.sentRequests.get(1).upstream);
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(response.status).isEqualTo(502);
    }

    /*
     * Guards against a caller receiving the response to another request: an upstream responds twice, and the second
     * response is matched to the next request by its position on the connection alone.
     */
    @Example
    void aResponseWithTheIdOfAnotherRequestIsNotForwarded() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().respondHead(200, "Seal", "s", "Id", "b");
        assertThat(entry.lastSent().cancelled).isTrue();
        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aSuccessThatIsNotAuthenticIsNotForwarded() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().respondHead(200);
        entry.lastSent().respondBody("forged");
        entry.lastSent().handler.onComplete();
        assertThat(response.status).isEqualTo(502);
        assertThat(response.body.toString()).doesNotContain("forged");
    }

    /*
     * Guards against a stream with a fragment joined to another event: an engine fails in the middle of an event whose
     * bytes were already forwarded, and another engine resumes the stream.
     */
    @Example
    void aResumableStreamContinuesAfterTheLastCompleteEvent() {
        DirectFixture entry = entryWithDecodeEngines(true);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "500");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1 + "id: 2\nda");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.lastSent().request.headers().get("Last")).isEqualTo("1");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_2);
        entry.lastSent().handler.onComplete();
        assertThat(response.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(response.complete).isTrue();
    }

    @Example
    void aNonResumableStreamIsAbortedAndDoesNotLookComplete() {
        DirectFixture entry = entryWithDecodeEngines(false);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "500");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(response.complete).isFalse();
        assertThat(response.aborted).isTrue();
    }

    @Example
    void anEventThatTheCallerAlreadyHasIsNotSentAgain() {
        DirectFixture entry = entryWithDecodeEngines(true);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "500", "Last", "1");
        entry.advance(0);
        entry.answerStreamQuery("");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1 + EVENT_2);
        entry.lastSent().handler.onComplete();
        assertThat(response.body.toString()).isEqualTo(EVENT_2);
    }

    /* Guards against engines that keep working for disconnected callers while others wait. */
    @Example
    void theStreamOfADisconnectedCallerIsCancelled() {
        DirectFixture entry = entryWithDecodeEngines(false);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "500");
        entry.core.onDisconnect(response);
        assertThat(entry.lastSent().cancelled).isTrue();
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void aNonRetryableRequestKeepsRunningWhenItsCallerDisconnects() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.core.onDisconnect(response);
        assertThat(entry.lastSent().cancelled).isFalse();
    }

    @Example
    void aRequestIsAnsweredAtItsDeadlineAndNotReportedAsNotRun() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.advance(900);
        assertThat(response.status).isEqualTo(504);
    }

    @Example
    void anIdempotentRequestMovesAwayFromAnUnresponsiveUpstream() {
        DirectFixture entry = entryWithServices(RequestKind.IDEMPOTENT, 2);
        entry.sendRequest("a");
        entry.advance(300);
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.sentRequests.get(0).cancelled).isFalse();
        entry.sentRequests.get(1).respondSealedHead(200);
        assertThat(entry.sentRequests.get(0).cancelled).isFalse();
        entry.sentRequests.get(1).respondBody("x");
        entry.sentRequests.get(1).handler.onComplete();
        assertThat(entry.sentRequests.get(0).cancelled).isTrue();
        assertThat(entry.sentRequests.get(1).cancelled).isFalse();
    }

    @Example
    void theRemainingTimeIsSentToTheUpstream() {
        DirectFixture entry = entryWithServices(RequestKind.IDEMPOTENT, 2);
        entry.sendRequest("a");
        assertThat(entry.lastSent().request.headers().get("Left")).isEqualTo("800");
        entry.advance(300);
        assertThat(Integer.parseInt(entry.lastSent().request.headers().get("Left")))
                .isBetween(500, 660);
    }

    /*
     * Guards against a request that runs on another service: an upstream ended, and its address, which must not be
     * taken for its identity, was assigned to that service.
     */
    @Example
    void anUpstreamWhoseAddressWasTakenOverIsNeverUsedAgain() {
        DirectFixture entry = entryWithServices(RequestKind.NON_IDEMPOTENT, 2);
        entry.sendRequest("a");
        String replacedUpstream = entry.lastSent().upstream;
        entry.lastSent().respondHead(421, "Not-Run", "1", "Start", "other");
        entry.lastSent().handler.onComplete();
        assertThat(entry.lastSent().upstream).isNotEqualTo(replacedUpstream);
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(9)
                .addUpstreams(DirectFixture.heartbeat(replacedUpstream, Role.ROLE_MIXED)));
        for (int index = 0; index < 8; index++) {
            entry.sendRequest("n" + index);
            assertThat(entry.lastSent().upstream).isNotEqualTo(replacedUpstream);
        }
    }

    @Example
    void aPromptIsPrefilledByOneEngineAndDecodedByAnother() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false))
                .becomeReady()
                .addUpstream("p", Role.ROLE_PREFILL)
                .addUpstream("d", Role.ROLE_DECODE);
        entry.sendRequest("warm", "Tokens", "100");
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "9000");
        assertThat(entry.lastSent().upstream).isEqualTo("p");
        assertThat(entry.lastSent().request.headers().get("Prefill")).isEqualTo("true");
        entry.lastSent().respondHead(200);
        entry.lastSent().respondBody("kv1");
        entry.lastSent().handler.onComplete();
        assertThat(entry.lastSent().upstream).isEqualTo("d");
        assertThat(entry.lastSent().request.headers().get("Cache")).isEqualTo("kv1");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.lastSent().handler.onComplete();
        assertThat(response.complete).isTrue();
    }

    /*
     * Guards against lost requests when all processes restart together: requests that arrive before the control group
     * has a leader are refused, retried at once and refused again, though all is available a second later.
     */
    @Example
    void aRequestBeforeTheRoutesAreConfirmedWaits() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 1, false));
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.advance(300);
        assertThat(entry.core.isReady()).isFalse();
        assertThat(response.status).isZero();
        entry.becomeReady();
        entry.advance(20);
        assertThat(entry.sentRequests).isEmpty();
        entry.addUpstream("u", Role.ROLE_MIXED);
        entry.advance(20);
        entry.lastSent().respond(200, "here");
        assertThat(response.body.toString()).isEqualTo("here");
    }

    @Example
    void aRequestWithoutConfirmedRoutesIsRefusedAfterHalfOfItsTime() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 1, false));
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        DirectFixture.CallerResponse disconnected = entry.sendRequest("gone");
        entry.core.onDisconnect(disconnected);
        entry.advance(450);
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After")).isNotNull();
        assertThat(disconnected.status).isZero();
        assertThat(entry.core.openCalls()).isZero();
    }

    /** Guards against startup requests that get no answer because the connection of one before them fails. */
    @Example
    void aFailingStartupRequestDoesNotLoseThoseBehindIt() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 1, false));
        DirectFixture.CallerResponse failing = new DirectFixture.CallerResponse() {
            @Override
            public void respond(int status, HttpFields headers, ByteBuffer body) {
                throw new IllegalStateException("the connection is closed");
            }
        };
        HttpFields unknownHost = HttpFields.build().put("Host", "other").put("Id", "a");
        entry.core.onRequest(new ReceivedRequest("POST", "/a/b", unknownHost, new byte[0]), failing);
        DirectFixture.CallerResponse behind = entry.sendRequest("b", "Host", "other");
        assertThatIllegalStateException().isThrownBy(entry::becomeReady);
        entry.advance(10);
        assertThat(behind.status).isEqualTo(404);
    }

    @Example
    void aHostOrPathWithoutARouteIsNotFound() {
        DirectFixture entry = entryWithServices(RequestKind.IDEMPOTENT, 1);
        assertThat(entry.sendRequest("a", "Host", "other").status).isEqualTo(404);
    }
}
