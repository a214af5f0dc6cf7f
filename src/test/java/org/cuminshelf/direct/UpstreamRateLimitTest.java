package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.HeardLimit;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.ServiceDemand;
import org.cuminshelf.routes.RequestKind;

/** Tests calls at one entry while upstreams state rate limits. */
class UpstreamRateLimitTest {

    private static DirectFixture entryWithService() {
        return new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED);
    }

    /** Returns an entry with a prefill engine, and a decode engine with a running stream and a stated limit. */
    private static DirectFixture entryWithLimitedDecodeEngine(double perSecond) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, false))
                .becomeReady()
                .addUpstream("p1", Role.ROLE_PREFILL)
                .addUpstream("d1", Role.ROLE_DECODE);
        entry.sendRequest("warm", "Tokens", "100");
        entry.lastSent().respondHead(200, "Seal", "s", "Limit", String.valueOf(perSecond));
        return entry;
    }

    /** Responds to a request with the given headers. */
    private static void respond(DirectFixture.SentRequest sent, String... headers) {
        sent.respondHead(200, headers);
        sent.respondBody("x");
        sent.handler.onComplete();
    }

    @Example
    void aRequestWithoutAPermitIsRefusedAtOnceWithRetryAfter() {
        DirectFixture entry = entryWithService();
        entry.sendRequest("a");
        respond(entry.lastSent(), "Seal", "s", "Limit", "2");
        DirectFixture.CallerResponse refused = entry.sendRequest("b");
        assertThat(refused.status).isEqualTo(503);
        double seconds = Double.parseDouble(refused.headers.get("Retry-After"));
        assertThat(seconds).isBetween(0.4, 1.5);
        entry.advance(500);
        DirectFixture.CallerResponse served = entry.sendRequest("c");
        respond(entry.lastSent(), "Seal", "s", "Limit", "2");
        assertThat(served.status).isEqualTo(200);
        assertThat(entry.sentRequests).hasSize(2);
    }

    @Example
    void aCallWaitsForAPermitThatIsDueWithinItsMaxWait() {
        DirectFixture entry = entryWithService();
        entry.sendRequest("a");
        respond(entry.lastSent(), "Seal", "s", "Limit", "50");
        DirectFixture.CallerResponse waited = entry.sendRequest("b");
        assertThat(waited.complete).isFalse();
        entry.advance(25);
        assertThat(entry.sentRequests).hasSize(2);
    }

    /** Guards against a limit that is lifted by the response to a request sent before the limit was stated. */
    @Example
    void aResponseToAnEarlierRequestDoesNotLiftALimit() {
        DirectFixture entry = entryWithService();
        entry.sendRequest("earlier");
        DirectFixture.SentRequest earlier = entry.lastSent();
        entry.sendRequest("a");
        respond(entry.lastSent(), "Seal", "s", "Limit", "2");
        respond(earlier, "Seal", "s");
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
        entry.advance(600);
        entry.sendRequest("later");
        respond(entry.lastSent(), "Seal", "s");
        assertThat(entry.core.limitedUpstreams()).isZero();
    }

    /** Guards against a limit that is lifted by a response which omits it for another reason. */
    @Example
    void neitherAFailureNorTheResponseToAnotherRequestLiftsALimit() {
        DirectFixture entry = entryWithService();
        entry.sendRequest("a");
        respond(entry.lastSent(), "Seal", "s", "Limit", "100");
        entry.advance(20);
        entry.sendRequest("b");
        entry.lastSent().respondHead(500, "Seal", "s");
        entry.lastSent().handler.onComplete();
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
        entry.advance(20);
        entry.sendRequest("c");
        entry.lastSent().respondHead(200, "Seal", "s", "Id", "another");
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
    }

    /** Guards against applying the limit of one upstream to another one at the same address. */
    @Example
    void aLimitStatedByAnotherUpstreamAtTheAddressIsIgnored() {
        DirectFixture entry = entryWithService();
        entry.sendRequest("a");
        respond(entry.lastSent(), "Not-Run", "1", "Start", "u2", "Limit", "2");
        assertThat(entry.core.limitedUpstreams()).isZero();
    }

    /** Guards against many prefills for one permit of the engine that would take over. */
    @Example
    void aPromptIsPrefilledSeparatelyOnlyWithAPermitForItsHandover() {
        DirectFixture entry = entryWithLimitedDecodeEngine(2)
                .reportPrefillTimes("p1", Role.ROLE_PREFILL, 5, 1)
                .reportPrefillTimes("d1", Role.ROLE_DECODE, 5, 100);
        entry.advance(510);
        entry.sendRequest("a", "Tokens", "9000");
        entry.sendRequest("b", "Tokens", "9000");
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.lastSent().upstream).isEqualTo("p1");
        entry.lastSent().respond(200, "handle");
        assertThat(entry.sentRequests).hasSize(3);
        assertThat(entry.lastSent().upstream).isEqualTo("d1");
    }

    /** Guards against requests that bypass the limit check of upstream selection. */
    @Example
    void aKvCacheReleaseIsNotSentWithoutAPermit() {
        DirectFixture entry = entryWithLimitedDecodeEngine(100);
        entry.advance(20);
        DirectFixture.CallerResponse answer = entry.sendRequest("a", "Tokens", "9000");
        DirectFixture.SentRequest prompt = entry.lastSent();
        assertThat(prompt.upstream).isEqualTo("p1");
        prompt.respondHead(200, "Seal", "s", "Limit", "1");
        prompt.respondBody("handle");
        prompt.handler.onComplete();
        assertThat(entry.lastSent().upstream).isEqualTo("d1");
        int sent = entry.sentRequests.size();
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(answer.complete).isTrue();
        assertThat(entry.sentRequests).hasSize(sent);
    }

    /** Guards against an entry that claims all or none of a limit when the other entries' loads differ from its own. */
    @Example
    void anEntrysShareOfALimitIsItsShareOfAllCalls() {
        DirectFixture entry = entryWithService();
        entry.setEntries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        for (int second = 0; second < 10; second++) {
            entry.reportLoad(EntryLoad.newBuilder()
                    .addLimits(HeardLimit.newBuilder().setUpstream("u1").setPerSecond(10))
                    .addDemands(ServiceDemand.newBuilder().setService("s").setCallsPerSecond(30)));
            for (int call = 0; call < 10; call++) {
                entry.sendRequest("c" + second + "-" + call);
                entry.advance(100);
            }
        }
        assertThat(entry.sentRequests.size())
                .as("a quarter of 10 a second, for 10 s")
                .isBetween(20, 30);
        assertThat(entry.now).isEqualTo(Durations.nanos(20_000));
    }
}
