package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.RestingUpstream;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Tests calls at one entry while upstreams reject requests and request a backoff. */
class UpstreamBackoffTest {

    private static DirectFixture entryWithServices(String... upstreams) {
        DirectFixture entry =
                new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false)).becomeReady();
        for (String upstream : upstreams) {
            entry.addUpstream(upstream, Role.ROLE_MIXED);
        }
        return entry;
    }

    private static void rejectWithBackoff(DirectFixture.SentRequest sent, String backoffMillis) {
        sent.respondHead(503, "Not-Run", "1", "Rest", backoffMillis);
        sent.handler.onComplete();
    }

    private static long countSentTo(DirectFixture entry, String upstream) {
        return entry.sentRequests.stream()
                .filter(request -> request.upstream.equals(upstream))
                .count();
    }

    /** Guards against a backoff that is ended by the success of a request sent before it. */
    @Example
    void aSuccessOfAnEarlierRequestDoesNotEndABackoff() {
        DirectFixture entry = entryWithServices("u1");
        entry.sendRequest("earlier");
        DirectFixture.SentRequest earlier = entry.lastSent();
        entry.sendRequest("a");
        rejectWithBackoff(entry.lastSent(), "3000");
        earlier.respond(200, "x");
        DirectFixture.CallerResponse refused = entry.sendRequest("b");
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(refused.status).isEqualTo(503);
        assertThat(Double.parseDouble(refused.headers.get("Retry-After"))).isBetween(3.0, 4.0);
    }

    /** Guards against a Retry-After at which all upstreams are still in backoff. */
    @Example
    void retryAfterIsTheEndOfTheFirstBackoff() {
        DirectFixture entry = entryWithServices("u1", "u2");
        DirectFixture.CallerResponse first = entry.sendRequest("a");
        rejectWithBackoff(entry.lastSent(), "3000");
        assertThat(Double.parseDouble(first.headers.get("Retry-After"))).isEqualTo(0.2);
        DirectFixture.CallerResponse second = entry.sendRequest("b");
        rejectWithBackoff(entry.lastSent(), "2000");
        assertThat(Double.parseDouble(second.headers.get("Retry-After"))).isBetween(2.0, 3.0);
    }

    /** Guards against a Retry-After that waits for a backoff although another upstream was full only briefly. */
    @Example
    void retryAfterIgnoresBackoffsWhereAnotherUpstreamIsAvailableSooner() {
        DirectFixture entry = entryWithServices("u1", "u2");
        entry.sendRequest("a");
        rejectWithBackoff(entry.lastSent(), "3000");
        entry.sendRequest("b");
        entry.lastSent().respondHead(503, "Not-Run", "1");
        entry.lastSent().handler.onComplete();
        DirectFixture.CallerResponse refused = entry.sendRequest("c");
        assertThat(refused.status).isEqualTo(503);
        assertThat(Double.parseDouble(refused.headers.get("Retry-After"))).isBetween(0.2, 1.2);
        assertThat(entry.sentRequests).hasSize(2);
    }

    /** Guards against sending all calls at once to an upstream that is still overloaded after its backoff. */
    @Example
    void afterABackoffOneTrialRequestIsSentUntilItIsAnswered() {
        DirectFixture entry = entryWithServices("u1");
        entry.sendRequest("a");
        rejectWithBackoff(entry.lastSent(), "3000");
        entry.advance(3_001);
        entry.sendRequest("b");
        entry.sendRequest("c");
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respond(200, "x");
        entry.sendRequest("d");
        entry.sendRequest("e");
        assertThat(entry.sentRequests).hasSize(4);
    }

    @Example
    void anUnansweredTrialRequestIsFollowedByAnother() {
        DirectFixture entry = entryWithServices("u1");
        entry.sendRequest("a");
        rejectWithBackoff(entry.lastSent(), "1000");
        entry.advance(1_001);
        entry.sendRequest("b");
        entry.advance(260);
        entry.sendRequest("c");
        assertThat(entry.sentRequests).hasSize(3);
    }

    @Example
    void aShorterBackoffRequestedLaterDoesNotEndALongerOne() {
        DirectFixture entry = entryWithServices("u1");
        entry.sendRequest("a");
        DirectFixture.SentRequest first = entry.lastSent();
        entry.sendRequest("b");
        rejectWithBackoff(entry.lastSent(), "3000");
        rejectWithBackoff(first, "500");
        entry.advance(1_000);
        entry.sendRequest("c");
        assertThat(entry.sentRequests).hasSize(2);
    }

    @Example
    void anotherEntrysBackoffLowersThePreferenceOnly() {
        DirectFixture entry = entryWithServices("u1", "u2");
        entry.reportLoad(EntryLoad.newBuilder()
                .addRests(RestingUpstream.newBuilder().setUpstream("u1").setLeftUs(1_000_000)));
        for (int call = 0; call < 5; call++) {
            entry.sendRequest("a" + call);
        }
        assertThat(countSentTo(entry, "u1")).isZero();
        rejectWithBackoff(entry.lastSent(), "3000");
        entry.sendRequest("b");
        assertThat(countSentTo(entry, "u1")).isEqualTo(1);
        entry.advance(1_000);
        entry.sendRequest("c");
        assertThat(countSentTo(entry, "u1")).isEqualTo(2);
    }

    /** Guards against treating an engine as failed because it was full at two prefills. */
    @Example
    void anEngineThatRejectsPrefillsWithoutABackoffIsTriedAgainSoon() {
        DirectFixture entry = entryWithEngines("p1");
        for (int call = 0; call < 3; call++) {
            entry.sendRequest("a" + call, "Tokens", "9000");
            DirectFixture.SentRequest prompt = entry.sentRequests.get(1 + 2 * call);
            assertThat(prompt.upstream).isEqualTo("p1");
            prompt.respondHead(503, "Not-Run", "1");
            prompt.handler.onComplete();
            entry.lastSent().respond(200, "id: 1\ndata: a\n\n");
            entry.advance(150);
        }
    }

    /** Returns an entry with prefill engines and one decode engine, which has a running stream. */
    private static DirectFixture entryWithEngines(String... prefillEngines) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, false)).becomeReady();
        for (String prefillEngine : prefillEngines) {
            entry.addUpstream(prefillEngine, Role.ROLE_PREFILL);
        }
        entry.addUpstream("d1", Role.ROLE_DECODE);
        entry.sendRequest("warm", "Tokens", "100");
        return entry;
    }

    /** Guards against prefills sent to an engine that requested a backoff. */
    @Example
    void anEngineThatRejectsAPrefillWithABackoffGetsNoRequests() {
        DirectFixture entry = entryWithEngines("p1", "p2");
        entry.sendRequest("a", "Tokens", "9000");
        DirectFixture.SentRequest prompt = entry.lastSent();
        assertThat(prompt.upstream).startsWith("p");
        rejectWithBackoff(prompt, "3000");
        for (int call = 0; call < 5; call++) {
            entry.advance(200);
            entry.sendRequest("b" + call, "Tokens", "9000");
        }
        assertThat(countSentTo(entry, prompt.upstream)).isEqualTo(1);
        assertThat(entry.core.upstreamsInBackoff()).isEqualTo(1);
    }
}
