package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.RestingUpstream;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Calls at one entry while upstreams refuse requests and ask for rest. */
class RestAskedCallsTest {

    private static DirectFixture services(String... upstreams) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.NON_IDEMPOTENT, 1, false)).ready();
        for (String upstream : upstreams) {
            entry.upstream(upstream, Role.ROLE_MIXED);
        }
        return entry;
    }

    private static void refuse(DirectFixture.Sent sent, String restMillis) {
        sent.head(503, "Not-Run", "1", "Rest", restMillis);
        sent.handler.onComplete();
    }

    private static long sentTo(DirectFixture entry, String upstream) {
        return entry.sent.stream().filter(one -> one.upstream.equals(upstream)).count();
    }

    /** Guards against a rest that is ended by the success of what was sent before. */
    @Example
    void aSuccessOfAnEarlierRequestEndsNoRest() {
        DirectFixture entry = services("u1");
        entry.ask("earlier");
        DirectFixture.Sent earlier = entry.last();
        entry.ask("a");
        refuse(entry.last(), "3000");
        earlier.whole(200, "x");
        DirectFixture.Answer refused = entry.ask("b");
        assertThat(entry.sent).hasSize(2);
        assertThat(refused.status).isEqualTo(503);
        assertThat(Double.parseDouble(refused.headers.get("Retry-After"))).isBetween(3.0, 4.0);
    }

    /** Guards against callers who are told to come back to upstreams that all rest. */
    @Example
    void theCallerOfARefusedRequestComesBackWhenTheFirstRestEnds() {
        DirectFixture entry = services("u1", "u2");
        DirectFixture.Answer first = entry.ask("a");
        refuse(entry.last(), "3000");
        assertThat(Double.parseDouble(first.headers.get("Retry-After"))).isEqualTo(0.2);
        DirectFixture.Answer second = entry.ask("b");
        refuse(entry.last(), "2000");
        assertThat(Double.parseDouble(second.headers.get("Retry-After"))).isBetween(2.0, 3.0);
    }

    /** Guards against a time to come back that waits for a rest, though another upstream was only full for a moment. */
    @Example
    void aCallerWaitsForNoRestWhereAnotherUpstreamTakesSomethingSooner() {
        DirectFixture entry = services("u1", "u2");
        entry.ask("a");
        refuse(entry.last(), "3000");
        entry.ask("b");
        entry.last().head(503, "Not-Run", "1");
        entry.last().handler.onComplete();
        DirectFixture.Answer refused = entry.ask("c");
        assertThat(refused.status).isEqualTo(503);
        assertThat(Double.parseDouble(refused.headers.get("Retry-After"))).isBetween(0.2, 1.2);
        assertThat(entry.sent).hasSize(2);
    }

    /** Guards against all calls at one time for an upstream whose rest is over, but not its need. */
    @Example
    void afterARestOneRequestGoesUntilItIsAnswered() {
        DirectFixture entry = services("u1");
        entry.ask("a");
        refuse(entry.last(), "3000");
        entry.pass(3_001);
        entry.ask("b");
        entry.ask("c");
        assertThat(entry.sent).hasSize(2);
        entry.last().whole(200, "x");
        entry.ask("d");
        entry.ask("e");
        assertThat(entry.sent).hasSize(4);
    }

    @Example
    void aTrialThatShowsNothingIsFollowedByAnother() {
        DirectFixture entry = services("u1");
        entry.ask("a");
        refuse(entry.last(), "1000");
        entry.pass(1_001);
        entry.ask("b");
        entry.pass(260);
        entry.ask("c");
        assertThat(entry.sent).hasSize(3);
    }

    @Example
    void aShorterRestThatIsAskedForLaterEndsNoLongerOne() {
        DirectFixture entry = services("u1");
        entry.ask("a");
        DirectFixture.Sent first = entry.last();
        entry.ask("b");
        refuse(entry.last(), "3000");
        refuse(first, "500");
        entry.pass(1_000);
        entry.ask("c");
        assertThat(entry.sent).hasSize(2);
    }

    @Example
    void whatAnotherEntryWasAskedForIsAReasonToPreferOthersAndNoBan() {
        DirectFixture entry = services("u1", "u2");
        entry.tell(EntryLoad.newBuilder()
                .addRests(RestingUpstream.newBuilder().setUpstream("u1").setLeftUs(1_000_000)));
        for (int call = 0; call < 5; call++) {
            entry.ask("a" + call);
        }
        assertThat(sentTo(entry, "u1")).isZero();
        refuse(entry.last(), "3000");
        entry.ask("b");
        assertThat(sentTo(entry, "u1")).isEqualTo(1);
        entry.pass(1_000);
        entry.ask("c");
        assertThat(sentTo(entry, "u1")).isEqualTo(2);
    }

    /** Guards against an engine that is taken for broken, as it was full twice when it was to read a prompt. */
    @Example
    void anEngineThatRefusesToReadPromptsWithoutAskingForRestIsTriedAgainSoon() {
        DirectFixture entry = engines("p1");
        for (int call = 0; call < 3; call++) {
            entry.ask("a" + call, "Tokens", "9000");
            DirectFixture.Sent prompt = entry.sent.get(1 + 2 * call);
            assertThat(prompt.upstream).isEqualTo("p1");
            prompt.head(503, "Not-Run", "1");
            prompt.handler.onComplete();
            entry.last().whole(200, "id: 1\ndata: a\n\n");
            entry.pass(150);
        }
    }

    /** Engines that read prompts, and one that generates and has a stream. */
    private static DirectFixture engines(String... readers) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, false)).ready();
        for (String reader : readers) {
            entry.upstream(reader, Role.ROLE_PREFILL);
        }
        entry.upstream("d1", Role.ROLE_DECODE);
        entry.ask("warm", "Tokens", "100");
        return entry;
    }

    /** Guards against prompts that are sent to be read to an engine which asked for rest. */
    @Example
    void anEngineThatRefusesToReadAPromptIsLeftAlone() {
        DirectFixture entry = engines("p1", "p2");
        entry.ask("a", "Tokens", "9000");
        DirectFixture.Sent prompt = entry.last();
        assertThat(prompt.upstream).startsWith("p");
        refuse(prompt, "3000");
        for (int call = 0; call < 5; call++) {
            entry.pass(200);
            entry.ask("b" + call, "Tokens", "9000");
        }
        assertThat(sentTo(entry, prompt.upstream)).isEqualTo(1);
        assertThat(entry.core.restingUpstreams()).isEqualTo(1);
    }
}
