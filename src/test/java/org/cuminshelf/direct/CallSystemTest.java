package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RequestKind;

/** The way of a call through an entry that reaches upstreams straight. */
class CallSystemTest {

    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";

    private static DirectFixture plain(RequestKind kind, int attempts) {
        return new DirectFixture(DirectFixture.route(kind, attempts, false))
                .ready()
                .upstream("u1", Role.ROLE_MIXED)
                .upstream("u2", Role.ROLE_MIXED);
    }

    private static DirectFixture stream(boolean resumable) {
        return new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, resumable))
                .ready()
                .upstream("u1", Role.ROLE_DECODE)
                .upstream("u2", Role.ROLE_DECODE);
    }

    @Example
    void anAnswerIsPassedOnAsItCame() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().whole(200, "hello");
        assertThat(answer.status).isEqualTo(200);
        assertThat(answer.body.toString()).isEqualTo("hello");
        assertThat(answer.headers.get("Seal")).isEqualTo("s");
        assertThat(entry.core.openCalls()).isZero();
    }

    /*
     * Two numbers go to one book. A request was sent, its connection broke before an answer came, and it was sent again
     * elsewhere though it had run. Cause: silence taken for "did not run".
     */
    @Example
    void whatMayHaveRunAndMayNotBeRepeatedIsNeitherSentAgainNorCalledNotRun() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 2);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().handler.onFailed(true, "reset");
        assertThat(entry.sent).hasSize(1);
        assertThat(answer.status).isEqualTo(502);
    }

    @Example
    void whatNeverLeftGoesElsewhereThoughItMayNotBeRepeated() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().handler.onFailed(false, "refused");
        assertThat(entry.sent).hasSize(2);
        entry.last().whole(200, "x");
        assertThat(answer.status).isEqualTo(200);
    }

    @Example
    void whatTheUpstreamSaysItDidNotRunIsRefusedTruthfullyWithATimeToComeBack() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().head(503, "Not-Run", "1");
        entry.last().handler.onComplete();
        assertThat(answer.status).isEqualTo(503);
        assertThat(answer.headers.get("Retry-After")).isNotNull();
    }

    @Example
    void anIdempotentRequestIsRepeatedElsewhereWithinItsAttempts() {
        DirectFixture entry = plain(RequestKind.IDEMPOTENT, 2);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().handler.onFailed(true, "reset");
        assertThat(entry.sent).hasSize(2);
        assertThat(entry.sent.get(0).upstream).isNotEqualTo(entry.sent.get(1).upstream);
        entry.last().handler.onFailed(true, "reset");
        assertThat(entry.sent).hasSize(2);
        assertThat(answer.status).isEqualTo(502);
    }

    /*
     * A caller reads the answer to someone else's request. Its upstream had answered twice, and the second answer was
     * taken for that of the next request on the connection. Cause: answers told apart by their place alone.
     */
    @Example
    void anAnswerThatNamesAnotherRequestIsNotPassedOn() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().head(200, "Seal", "s", "Id", "b");
        assertThat(entry.last().cancelled).isTrue();
        assertThat(answer.status).isEqualTo(502);
    }

    @Example
    void aSuccessWithoutTheMarkOfARunIsNoSuccess() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.last().head(200);
        entry.last().body("forged");
        entry.last().handler.onComplete();
        assertThat(answer.status).isEqualTo(502);
        assertThat(answer.body.toString()).doesNotContain("forged");
    }

    /*
     * A stream holds half an event joined with another. An engine died in the middle of an event and the run went on at
     * another engine. Cause: bytes passed on as they came.
     */
    @Example
    void aStreamThatMayBeResumedGoesOnAfterTheLastWholeEvent() {
        DirectFixture entry = stream(true);
        DirectFixture.Answer answer = entry.ask("a", "Tokens", "500");
        entry.last().sealed(200);
        entry.last().body(EVENT_1 + "id: 2\nda");
        entry.last().handler.onFailed(true, "reset");
        assertThat(entry.last().request.headers().get("Last")).isEqualTo("1");
        entry.last().sealed(200);
        entry.last().body(EVENT_2);
        entry.last().handler.onComplete();
        assertThat(answer.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(answer.complete).isTrue();
    }

    @Example
    void aStreamThatMayNotBeResumedIsCutAndDoesNotLookComplete() {
        DirectFixture entry = stream(false);
        DirectFixture.Answer answer = entry.ask("a", "Tokens", "500");
        entry.last().sealed(200);
        entry.last().body(EVENT_1);
        entry.last().handler.onFailed(true, "reset");
        assertThat(entry.sent).hasSize(1);
        assertThat(answer.complete).isFalse();
        assertThat(answer.aborted).isTrue();
    }

    @Example
    void anEventThatTheCallerHoldsIsNotGivenTwice() {
        DirectFixture entry = stream(true);
        DirectFixture.Answer answer = entry.ask("a", "Tokens", "500", "Last", "1");
        entry.last().sealed(200);
        entry.last().body(EVENT_1 + EVENT_2);
        entry.last().handler.onComplete();
        assertThat(answer.body.toString()).isEqualTo(EVENT_2);
    }

    /*
     * Engines work on for callers that left, and those that stayed wait. Cause: nobody told the engine.
     */
    @Example
    void theWorkOfACallerThatLeftIsStopped() {
        DirectFixture entry = stream(false);
        DirectFixture.Answer answer = entry.ask("a", "Tokens", "500");
        entry.core.onGone(answer);
        assertThat(entry.last().cancelled).isTrue();
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void aRequestThatMayNotBeRepeatedRunsOnWhenItsCallerLeft() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.core.onGone(answer);
        assertThat(entry.last().cancelled).isFalse();
    }

    @Example
    void aRequestIsAnsweredWhenItsTimeIsUpAndNotCalledNotRun() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 1);
        DirectFixture.Answer answer = entry.ask("a");
        entry.pass(900);
        assertThat(answer.status).isEqualTo(504);
    }

    @Example
    void anIdempotentRequestLeavesAnUpstreamThatStaysSilent() {
        DirectFixture entry = plain(RequestKind.IDEMPOTENT, 2);
        entry.ask("a");
        entry.pass(300);
        assertThat(entry.sent).hasSize(2);
        assertThat(entry.sent.get(0).cancelled).isTrue();
    }

    @Example
    void theTimeLeftIsToldToTheUpstream() {
        DirectFixture entry = plain(RequestKind.IDEMPOTENT, 2);
        entry.ask("a");
        assertThat(entry.last().request.headers().get("Left")).isEqualTo("800");
        entry.pass(300);
        assertThat(Integer.parseInt(entry.last().request.headers().get("Left"))).isBetween(500, 660);
    }

    /*
     * A request is run by another service: an upstream ended and its address was given to that one. Cause: addresses
     * taken for identities.
     */
    @Example
    void anUpstreamWhoseAddressBelongsToAnotherStartIsNeverUsedAgain() {
        DirectFixture entry = plain(RequestKind.NON_IDEMPOTENT, 2);
        entry.ask("a");
        String gone = entry.last().upstream;
        entry.last().head(421, "Not-Run", "1", "Start", "other");
        entry.last().handler.onComplete();
        assertThat(entry.last().upstream).isNotEqualTo(gone);
        entry.update(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(9)
                .addUpstreams(DirectFixture.beat(gone, Role.ROLE_MIXED)));
        for (int index = 0; index < 8; index++) {
            entry.ask("n" + index);
            assertThat(entry.last().upstream).isNotEqualTo(gone);
        }
    }

    @Example
    void aPromptIsTakenInByOneEngineAndItsStreamComesFromAnother() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false))
                .ready()
                .upstream("p", Role.ROLE_PREFILL)
                .upstream("d", Role.ROLE_DECODE);
        entry.ask("warm", "Tokens", "100");
        DirectFixture.Answer answer = entry.ask("a", "Tokens", "9000");
        assertThat(entry.last().upstream).isEqualTo("p");
        assertThat(entry.last().request.headers().get("Prefill")).isEqualTo("true");
        entry.last().head(200);
        entry.last().body("kv1");
        entry.last().handler.onComplete();
        assertThat(entry.last().upstream).isEqualTo("d");
        assertThat(entry.last().request.headers().get("Cache")).isEqualTo("kv1");
        entry.last().sealed(200);
        entry.last().body(EVENT_1);
        entry.last().handler.onComplete();
        assertThat(answer.complete).isTrue();
    }

    /*
     * All processes were killed and start again together. Requests find the entry before the control group has a
     * leader, are refused, come back at once, are refused again and are lost, though everything is there a second
     * later.
     */
    @Example
    void aRequestThatComesBeforeAQuorumConfirmedTheRoutesWaitsForThat() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 1, false));
        DirectFixture.Answer answer = entry.ask("a");
        entry.pass(300);
        assertThat(entry.core.isReady()).isFalse();
        assertThat(answer.status).isZero();
        entry.ready();
        entry.pass(20);
        assertThat(entry.sent).isEmpty();
        entry.upstream("u", Role.ROLE_MIXED);
        entry.pass(20);
        entry.last().whole(200, "here");
        assertThat(answer.body.toString()).isEqualTo("here");
    }

    @Example
    void aRequestThatComesTooEarlyIsRefusedAfterHalfOfItsTime() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 1, false));
        DirectFixture.Answer answer = entry.ask("a");
        DirectFixture.Answer gone = entry.ask("gone");
        entry.core.onGone(gone);
        entry.pass(450);
        assertThat(answer.status).isEqualTo(503);
        assertThat(answer.headers.get("Retry-After")).isNotNull();
        assertThat(gone.status).isZero();
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void aHostOrPathWithoutARouteIsNotFound() {
        DirectFixture entry = plain(RequestKind.IDEMPOTENT, 1);
        assertThat(entry.ask("a", "Host", "other").status).isEqualTo(404);
    }
}
