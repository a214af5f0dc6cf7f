package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RequestKind;

/** Guards against streams that their upstream broke off and that reach their callers as complete. */
class BrokenStreamTest {

    private static final List<String> EVENTS =
            List.of("id: 1\ndata: a\n\n", "id: 2\ndata: bc\n\n", "id: 3\ndata: d\n\n");
    private static final String[] UNFRAMED = {"Seal", "s"};
    private static final String[] WITH_LENGTH = {"Seal", "s", "Content-Length", "1000"};
    private static final String[] CHUNKED = {"Seal", "s", "Transfer-Encoding", "chunked"};
    private static final List<String[]> FRAMINGS = List.of(UNFRAMED, WITH_LENGTH, CHUNKED);

    private static DirectFixture entry(boolean resumable) {
        return new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, resumable))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE)
                .addUpstream("u2", Role.ROLE_DECODE);
    }

    private static List<List<String>> streams() {
        return List.of(EVENTS, withLineEnd("\r\n"), withLineEnd("\r"));
    }

    private static List<String> withLineEnd(String lineEnd) {
        return EVENTS.stream().map(event -> event.replace("\n", lineEnd)).toList();
    }

    /** Returns the offsets at which a stream of events would end inside an event. */
    private static List<Integer> offsetsInside(List<String> events) {
        List<Integer> offsets = new ArrayList<>();
        int end = 0;
        for (String event : events) {
            for (int at = end + 1; at < end + event.length(); at++) {
                offsets.add(at);
            }
            end += event.length();
        }
        return offsets;
    }

    private static int eventsBefore(List<String> events, int offset) {
        int count = 0;
        int end = 0;
        while (end + events.get(count).length() <= offset) {
            end += events.get(count).length();
            count++;
        }
        return count;
    }

    private static void respondUpTo(DirectFixture entry, String[] head, String stream, int offset) {
        entry.lastSent().respondHead(200, head);
        entry.lastSent().respondBody(stream.substring(0, offset));
        entry.lastSent().handler.onComplete();
    }

    /** Guards against a stream that ends inside an event and is framed as complete for its caller. */
    @Example
    void aStreamThatMayNotBeResumedAndEndsInsideAnEventIsAborted() {
        for (List<String> events : streams()) {
            for (int offset : offsetsInside(events)) {
                for (String[] framing : FRAMINGS) {
                    DirectFixture entry = entry(false);
                    DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
                    respondUpTo(entry, framing, String.join("", events), offset);
                    boolean begun = eventsBefore(events, offset) > 0;
                    assertThat(entry.sentRequests).as("offset %d", offset).hasSize(1);
                    assertThat(response.complete && response.status == 200)
                            .as("complete, offset %d", offset)
                            .isFalse();
                    assertThat(response.aborted)
                            .as("aborted, offset %d", offset)
                            .isEqualTo(begun);
                    assertThat(response.status).as("offset %d", offset).isEqualTo(begun ? 200 : 502);
                }
            }
        }
    }

    /** Guards against a stream that ends inside an event though another upstream could go on with it. */
    @Example
    void aStreamThatMayBeResumedAndEndsInsideAnEventGoesOnElsewhere() {
        for (List<String> events : streams()) {
            String whole = String.join("", events);
            for (int offset : offsetsInside(events)) {
                for (String[] framing : FRAMINGS) {
                    DirectFixture entry = entry(true);
                    DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
                    String first = entry.lastSent().upstream;
                    respondUpTo(entry, framing, whole, offset);
                    assertThat(entry.sentRequests).as("offset %d", offset).hasSize(2);
                    assertThat(entry.lastSent().upstream).isNotEqualTo(first);
                    int held = eventsBefore(events, offset);
                    assertThat(entry.lastSent().request.headers().get("Last"))
                            .isEqualTo(held == 0 ? null : String.valueOf(held));
                    String rest = String.join("", events.subList(held, events.size()));
                    respondUpTo(entry, framing, rest, rest.length());
                    assertThat(response.complete).as("offset %d", offset).isTrue();
                    assertThat(response.body.toString()).isEqualTo(whole);
                }
            }
        }
    }

    /** Guards against a response without any event and without a stated end that passes for a whole stream. */
    @Example
    void aStreamWithoutAnEventThatEndsWithItsConnectionIsBroken() {
        DirectFixture entry = entry(false);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        respondUpTo(entry, UNFRAMED, "", 0);
        assertThat(response.status).isEqualTo(502);
        assertThat(entry.sentRequests).hasSize(1);
    }

    /** Guards against a poison request that isn't noticed as its upstream ends with an orderly close. */
    @Example
    void aStreamThatEndsInsideAnEventCountsAsAPossibleCrash() {
        DirectFixture entry = entry(false);
        entry.sendRequest("a", "Tokens", "100");
        respondUpTo(entry, UNFRAMED, EVENTS.get(0) + "id: 2\nda", EVENTS.get(0).length() + 8);
        assertThat(entry.probeCount).isEqualTo(1);
        assertThat(entry.linesWith("attempt a", "outcome=broken")).hasSize(1);
    }

    @Example
    void aWholeStreamIsPassedOnWhateverItsFraming() {
        for (List<String> events : streams()) {
            String whole = String.join("", events);
            for (String[] framing : FRAMINGS) {
                DirectFixture entry = entry(false);
                DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
                respondUpTo(entry, framing, whole, whole.length());
                assertThat(response.complete).isTrue();
                assertThat(response.body.toString()).isEqualTo(whole);
            }
        }
    }

    @Example
    void anEmptyStreamIsPassedOnIfItsUpstreamSaysThatItIsWhole() {
        DirectFixture entry = entry(false);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        respondUpTo(entry, new String[] {"Seal", "s", "Content-Length", "0"}, "", 0);
        assertThat(response.complete).isTrue();
        assertThat(response.status).isEqualTo(200);
    }

    /** Guards against a body that is no stream of events being taken for one that is broken. */
    @Example
    void aBodyOfAnotherTypeIsPassedOnAsItsFramingSays() {
        DirectFixture entry = entry(false);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        String[] head = {"Seal", "s", "Content-Length", "9", "Content-Type", "application/json"};
        respondUpTo(entry, head, "{\"a\":\"b\"}", 9);
        assertThat(response.complete).isTrue();
        assertThat(response.body.toString()).isEqualTo("{\"a\":\"b\"}");
    }

    private static DirectFixture plainEntry(RequestKind kind) {
        return new DirectFixture(DirectFixture.route(kind, 2, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED)
                .addUpstream("u2", Role.ROLE_MIXED);
    }

    /** Guards against a stream whose upstream crashed between two events and closed its connection in order. */
    @Example
    void aStreamThatEndsWithItsConnectionAndItsUpstreamIsBroken() {
        DirectFixture entry = entry(false);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        respondUpTo(entry, UNFRAMED, EVENTS.get(0), EVENTS.get(0).length());
        assertThat(response.complete).isFalse();
        assertThat(response.aborted).isTrue();
        assertThat(entry.sentRequests).hasSize(1);
    }

    /** Guards against the same on a route whose streams may go on at another upstream. */
    @Example
    void aResumableStreamThatEndsWithItsConnectionAndItsUpstreamGoesOnElsewhere() {
        DirectFixture entry = entry(true);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        respondUpTo(entry, UNFRAMED, EVENTS.get(0), EVENTS.get(0).length());
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.lastSent().request.headers().get("Last")).isEqualTo("1");
        String rest = EVENTS.get(1) + EVENTS.get(2);
        respondUpTo(entry, CHUNKED, rest, rest.length());
        assertThat(response.complete).isTrue();
        assertThat(response.body.toString()).isEqualTo(String.join("", EVENTS));
    }

    /** Guards against a plain answer without a stated length that is cut by a crash. */
    @Example
    void aPlainAnswerThatEndsWithItsConnectionAndItsUpstreamIsBroken() {
        DirectFixture entry = plainEntry(RequestKind.NON_IDEMPOTENT);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        respondUpTo(entry, UNFRAMED, "hel", 3);
        assertThat(response.status).isEqualTo(502);
        assertThat(entry.sentRequests).hasSize(1);
    }

    @Example
    void anAnswerThatEndsWithItsConnectionIsWholeIfItsUpstreamListens() {
        DirectFixture entry = plainEntry(RequestKind.NON_IDEMPOTENT);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        respondUpTo(entry, UNFRAMED, "hello", 5);
        assertThat(response.status).isEqualTo(200);
        assertThat(response.body.toString()).isEqualTo("hello");
    }

    /** Guards against whole answers being taken for broken as their upstream leaves after the last one. */
    @Example
    void anAnswerThatEndsWithItsConnectionIsWholeIfItsUpstreamHadSaidThatItLeaves() {
        DirectFixture entry = plainEntry(RequestKind.NON_IDEMPOTENT);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        String upstream = entry.lastSent().upstream;
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(9)
                .addUpstreams(DirectFixture.heartbeat(upstream, Role.ROLE_MIXED).toBuilder()
                        .setSequence(2)
                        .setLeaving(true)));
        entry.reachability = Reachability.REFUSED;
        respondUpTo(entry, UNFRAMED, "hello", 5);
        assertThat(response.status).isEqualTo(200);
    }

    @Example
    void anAnswerWithoutABodyIsWholeWhateverBecomesOfItsUpstream() {
        DirectFixture entry = plainEntry(RequestKind.NON_IDEMPOTENT);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().respondHead(204, UNFRAMED);
        entry.lastSent().handler.onComplete();
        assertThat(response.status).isEqualTo(204);
    }

    /** Guards against a stream that is resumed after its last event being taken for broken, again and again. */
    @Example
    void aStreamThatIsResumedAfterItsLastEventIsWholeWithoutAnother() {
        DirectFixture entry = entry(true);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100", "Last", "3");
        entry.advance(0);
        entry.answerStreamQuery("");
        respondUpTo(entry, UNFRAMED, "", 0);
        assertThat(response.complete).isTrue();
        assertThat(response.status).isEqualTo(200);
    }
}
