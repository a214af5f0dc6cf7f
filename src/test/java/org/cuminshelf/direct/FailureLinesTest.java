package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Tests what the lines of the decision log tell about failed requests and silent attempts. */
class FailureLinesTest {

    private static final String EVENT_1 = "id: 1\ndata: a\n\n";

    /* Guards against a line that doesn't tell a dead upstream from a sound one, nor why the call was not sent on. */
    @Example
    void theLineOfACutStreamTellsWhatItsUpstreamWasLikeAndWhyItWasNotRetried() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, true))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE);
        entry.advance(300);
        entry.sendRequest("a", "Tokens", "500");
        DirectFixture.SentRequest first = entry.lastSent();
        first.respondSealedHead(200);
        first.respondBody(EVENT_1);
        entry.sendRequest("b", "Tokens", "500");
        entry.advance(40);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.advance(10);
        first.handler.onFailed(true, "reset");
        assertThat(entry.linesWith("request a", "outcome=cut"))
                .singleElement()
                .asString()
                .contains(
                        "not-retried=attempts-used-up",
                        "sent-to=[u1]",
                        "quiet-ms=50",
                        "upstream-quiet-ms=10",
                        "upstream-state=listed",
                        "config=7",
                        "config-age-ms=350");
    }

    /* Guards against a log that repeats the same line at each look at a silent attempt. */
    @Example
    void aSilentAttemptThatIsKeptHasOneLineForEachReason() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.IDEMPOTENT, 1, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED);
        entry.sendRequest("a");
        entry.advance(700);
        assertThat(entry.linesWith("attempt a", "outcome=kept", "reason=attempts-used-up", "upstream-quiet-ms=never"))
                .hasSize(1);
        entry.advance(60);
        assertThat(entry.linesWith("attempt a", "outcome=kept")).hasSize(1);
    }

    /* Guards against crashes of which no line tells what their requests had in common with answers that ended well. */
    @Example
    void theLinesOfABrokenAttemptAndOfAnAnswerNameTheSegmentsThatOthersMayShare() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE);
        entry.sendRequest("a", "Tokens", "500");
        entry.lastSent().respond(200, EVENT_1);
        entry.sendRequest("b", "Tokens", "500");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.linesWith("request a", "outcome=200", "segments=shared "))
                .hasSize(1);
        assertThat(entry.linesWith("attempt b", "outcome=broken", "route=r", "segments=shared"))
                .hasSize(1);
    }
}
