package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.HeardLimit;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.ServiceDemand;
import org.cuminshelf.routes.RequestKind;

/** Calls at one entry while upstreams state how many requests a second they take. */
class StatedLimitCallsTest {

    private static DirectFixture service() {
        return new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false))
                .ready()
                .upstream("u1", Role.ROLE_MIXED);
    }

    /** An engine that reads prompts, and one that has a stream and states a limit. */
    private static DirectFixture engines(double perSecond) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, false))
                .ready()
                .upstream("p1", Role.ROLE_PREFILL)
                .upstream("d1", Role.ROLE_DECODE);
        entry.ask("warm", "Tokens", "100");
        entry.last().head(200, "Seal", "s", "Limit", String.valueOf(perSecond));
        return entry;
    }

    /** Has the last request answered with a limit. */
    private static void answer(DirectFixture.Sent sent, String... headers) {
        sent.head(200, headers);
        sent.body("x");
        sent.handler.onComplete();
    }

    @Example
    void whatComesBeforeTheNextPermitIsRefusedAtOnceWithATimeToComeBack() {
        DirectFixture entry = service();
        entry.ask("a");
        answer(entry.last(), "Seal", "s", "Limit", "2");
        DirectFixture.Answer refused = entry.ask("b");
        assertThat(refused.status).isEqualTo(503);
        double seconds = Double.parseDouble(refused.headers.get("Retry-After"));
        assertThat(seconds).isBetween(0.4, 1.5);
        entry.pass(500);
        DirectFixture.Answer served = entry.ask("c");
        answer(entry.last(), "Seal", "s", "Limit", "2");
        assertThat(served.status).isEqualTo(200);
        assertThat(entry.sent).hasSize(2);
    }

    @Example
    void aCallWaitsForAPermitThatComesWithinItsPatience() {
        DirectFixture entry = service();
        entry.ask("a");
        answer(entry.last(), "Seal", "s", "Limit", "50");
        DirectFixture.Answer waited = entry.ask("b");
        assertThat(waited.complete).isFalse();
        entry.pass(25);
        assertThat(entry.sent).hasSize(2);
    }

    /** Guards against a limit that is lifted by the answer to a request from before it was stated. */
    @Example
    void anAnswerToAnEarlierRequestDoesNotLiftALimit() {
        DirectFixture entry = service();
        entry.ask("earlier");
        DirectFixture.Sent earlier = entry.last();
        entry.ask("a");
        answer(entry.last(), "Seal", "s", "Limit", "2");
        answer(earlier, "Seal", "s");
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
        entry.pass(600);
        entry.ask("later");
        answer(entry.last(), "Seal", "s");
        assertThat(entry.core.limitedUpstreams()).isZero();
    }

    /** Guards against a limit that is lifted by an answer which says nothing of it for another reason. */
    @Example
    void neitherAFailureNorTheAnswerToAnotherRequestLiftsALimit() {
        DirectFixture entry = service();
        entry.ask("a");
        answer(entry.last(), "Seal", "s", "Limit", "100");
        entry.pass(20);
        entry.ask("b");
        entry.last().head(500, "Seal", "s");
        entry.last().handler.onComplete();
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
        entry.pass(20);
        entry.ask("c");
        entry.last().head(200, "Seal", "s", "Id", "another");
        assertThat(entry.core.limitedUpstreams()).isEqualTo(1);
    }

    /** Guards against a limit of one start that holds for the next one at the address. */
    @Example
    void whatAnotherStartSaysIsNotTakenForTheUpstreams() {
        DirectFixture entry = service();
        entry.ask("a");
        answer(entry.last(), "Not-Run", "1", "Start", "u2", "Limit", "2");
        assertThat(entry.core.limitedUpstreams()).isZero();
    }

    /** Guards against prompts that are read in vain, many for one permit of the engine that is to go on. */
    @Example
    void aPromptIsReadApartOnlyWithAPermitForItsHandover() {
        DirectFixture entry = engines(2).teach("p1", Role.ROLE_PREFILL, 5, 1).teach("d1", Role.ROLE_DECODE, 5, 100);
        entry.pass(510);
        entry.ask("a", "Tokens", "9000");
        entry.ask("b", "Tokens", "9000");
        assertThat(entry.sent).hasSize(2);
        assertThat(entry.last().upstream).isEqualTo("p1");
        entry.last().whole(200, "handle");
        assertThat(entry.sent).hasSize(3);
        assertThat(entry.last().upstream).isEqualTo("d1");
    }

    /** Guards against sends that no choice of an upstream stands before. */
    @Example
    void aReleaseIsNotSentWithoutAPermit() {
        DirectFixture entry = engines(100);
        entry.pass(20);
        DirectFixture.Answer answer = entry.ask("a", "Tokens", "9000");
        DirectFixture.Sent prompt = entry.last();
        assertThat(prompt.upstream).isEqualTo("p1");
        prompt.head(200, "Seal", "s", "Limit", "1");
        prompt.body("handle");
        prompt.handler.onComplete();
        assertThat(entry.last().upstream).isEqualTo("d1");
        int sent = entry.sent.size();
        entry.last().handler.onFailed(true, "reset");
        assertThat(answer.complete).isTrue();
        assertThat(entry.sent).hasSize(sent);
    }

    /** Guards against an entry that takes a whole limit for itself, or nothing, where the others have other loads. */
    @Example
    void anEntryTakesThePartThatItHasOfAllCalls() {
        DirectFixture entry = service();
        entry.entries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        for (int second = 0; second < 10; second++) {
            entry.tell(EntryLoad.newBuilder()
                    .addLimits(HeardLimit.newBuilder().setUpstream("u1").setPerSecond(10))
                    .addDemands(ServiceDemand.newBuilder().setService("s").setCallsPerSecond(30)));
            for (int call = 0; call < 10; call++) {
                entry.ask("c" + second + "-" + call);
                entry.pass(100);
            }
        }
        assertThat(entry.sent.size()).as("a quarter of 10 a second, for 10 s").isBetween(20, 30);
        assertThat(entry.now).isEqualTo(Durations.nanos(20_000));
    }
}
