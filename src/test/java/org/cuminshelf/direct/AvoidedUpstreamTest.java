package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Tests calls while upstreams are avoided because attempts on them have failed. */
class AvoidedUpstreamTest {

    private static DirectFixture entry(RequestKind kind, String... upstreams) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(kind, 1, kind == RequestKind.STREAM)).becomeReady();
        // An entry that has just started queues calls for upstreams that it has not discovered yet.
        entry.advance(5_000);
        for (String upstream : upstreams) {
            entry.addUpstream(upstream, Role.ROLE_MIXED);
        }
        return entry;
    }

    /** Lets an upstream answer one request and then breaks the connections of two others. */
    private static void avoidAfterAnAnswer(DirectFixture entry) {
        entry.sendRequest("answered");
        entry.lastSent().respond(200, "x");
        breakConnections(entry, 2);
    }

    private static void breakConnections(DirectFixture entry, int count) {
        int before = entry.sentRequests.size();
        for (int index = 0; index < count; index++) {
            entry.sendRequest("broken" + index);
        }
        entry.sentRequests.stream().skip(before).toList().forEach(sent -> sent.handler.onFailed(true, "reset"));
    }

    private static boolean isSent(DirectFixture entry, String id) {
        int before = entry.sentRequests.size();
        entry.sendRequest(id);
        return entry.sentRequests.size() > before;
    }

    /** Guards against refused calls while the only upstream is sound and its connections broke a moment ago. */
    @Example
    void anIdempotentRequestIsSentToAnAvoidedUpstreamIfThereIsNoOther() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, "u1");
        avoidAfterAnAnswer(entry);
        assertThat(isSent(entry, "a")).isTrue();
    }

    /** Guards against refused prompts while all engines that generate are avoided and one that prefills is not. */
    @Example
    void aPromptIsPrefilledWhileTheOnlyEngineThatGeneratesIsAvoided() {
        DirectFixture entry = entry(RequestKind.STREAM, "d1");
        entry.sendRequest("answered", "Tokens", "20");
        entry.lastSent().respond(200, "id: 1\ndata: a\n\n");
        for (int index = 0; index < 2; index++) {
            entry.sendRequest("broken" + index, "Tokens", "20");
            entry.lastSent().handler.onFailed(true, "reset");
        }
        entry.addUpstream("p", Role.ROLE_PREFILL);
        int before = entry.sentRequests.size();
        entry.sendRequest("a", "Tokens", "9000");
        assertThat(entry.sentRequests).hasSize(before + 1);
    }

    @Example
    void anAvoidedUpstreamIsNotUsedBesideAnother() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, "u1");
        avoidAfterAnAnswer(entry);
        entry.addUpstream("u2", Role.ROLE_MIXED);
        for (int index = 0; index < 4; index++) {
            entry.sendRequest("a" + index);
            assertThat(entry.lastSent().upstream).isEqualTo("u2");
        }
    }

    /** Guards against a request that may have run on an upstream that is failing, in place of a safe refusal. */
    @Example
    void aNonIdempotentRequestIsNotSentToAnAvoidedUpstream() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, "u1");
        avoidAfterAnAnswer(entry);
        assertThat(isSent(entry, "a")).isFalse();
    }

    /** Guards against callers that wait for an upstream that has sent nothing for seconds. */
    @Example
    void anAvoidedUpstreamThatHasSentNothingForSecondsIsNotUsed() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, "u1");
        entry.sendRequest("answered");
        entry.lastSent().respond(200, "x");
        entry.advance(3_000);
        breakConnections(entry, 2);
        assertThat(isSent(entry, "a")).isFalse();
    }

    @Example
    void aCrashedUpstreamIsNotUsed() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, "u1");
        entry.reachability = Reachability.REFUSED;
        avoidAfterAnAnswer(entry);
        assertThat(isSent(entry, "a")).isFalse();
    }

    @Example
    void anUpstreamThatHasRejectedARequestIsNotUsed() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, "u1");
        avoidAfterAnAnswer(entry);
        entry.sendRequest("rejected");
        entry.lastSent().respondHead(503, "Not-Run", "1");
        entry.lastSent().handler.onComplete();
        assertThat(isSent(entry, "a")).isFalse();
    }

    /** Guards against an upstream that is avoided for seconds because all its connections broke at one moment. */
    @Example
    void connectionsThatBreakTogetherCountAsOneFailure() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, "u1");
        breakConnections(entry, 6);
        assertThat(isSent(entry, "a")).isFalse();
        entry.advance(401);
        assertThat(isSent(entry, "b")).isTrue();
    }

    @Example
    void aFailureAfterTheBackoffDoublesIt() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, "u1");
        breakConnections(entry, 6);
        entry.advance(401);
        breakConnections(entry, 1);
        entry.advance(790);
        assertThat(isSent(entry, "a")).isFalse();
        entry.advance(20);
        assertThat(isSent(entry, "b")).isTrue();
    }
}
