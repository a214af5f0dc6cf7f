package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Tests what retries, replacements and suspicions of silence may not cost: other calls, and the call itself. */
class RetryBoundsTest {

    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final RetryLimits USUAL_LIMITS = new RetryLimits(0.2, 100, 10_000);
    private static final RetryLimits FEW_RETRIES = new RetryLimits(0, 60, 10_000);

    private static DirectFixture entry(RequestKind kind, int attempts, RetryLimits limits, Role role, String... names) {
        DirectFixture entry = new DirectFixture(limits, DirectFixture.patientRoute(kind, attempts)).becomeReady();
        // An entry that has just started queues calls for upstreams that it has not discovered yet.
        entry.advance(5_000);
        for (String name : names) {
            entry.addUpstream(name, role);
        }
        return entry;
    }

    private static DirectFixture streams(int attempts, RetryLimits limits, String... engines) {
        return entry(RequestKind.STREAM, attempts, limits, Role.ROLE_DECODE, engines);
    }

    private static DirectFixture idempotent(int attempts, String... upstreams) {
        return entry(RequestKind.IDEMPOTENT, attempts, USUAL_LIMITS, Role.ROLE_MIXED, upstreams);
    }

    private static DirectFixture.CallerResponse startStream(DirectFixture entry, String id) {
        DirectFixture.CallerResponse response = entry.sendRequest(id, "Tokens", "20", "Deadline", "8000");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        return response;
    }

    /** Fails all connections that are opened during a time before anything is sent on them. */
    private static void refuseConnections(DirectFixture entry, int millis) {
        int handled = entry.sentRequests.size();
        for (int passed = 0; passed < millis; passed += 10) {
            entry.advance(10);
            while (handled < entry.sentRequests.size()) {
                entry.sentRequests.get(handled).handler.onFailed(false, "reset before it was sent");
                handled++;
            }
        }
    }

    /** Guards against new calls that are refused though an engine has free slots, because it is silent for a moment. */
    @Example
    void newStreamsUseTheFreeSlotsOfASilentEngineRatherThanBeRefused() {
        DirectFixture entry = streams(3, USUAL_LIMITS, "d1");
        startStream(entry, "one");
        entry.advance(700);
        entry.addUpstream("d2", Role.ROLE_DECODE);
        List<DirectFixture.CallerResponse> responses = new ArrayList<>();
        for (int index = 0; index < 11; index++) {
            responses.add(entry.sendRequest("s" + index, "Tokens", "20", "Deadline", "8000"));
            if (entry.lastSent().upstream.equals("d2")) {
                entry.lastSent().respondSealedHead(200);
                entry.lastSent().respondBody(EVENT_1);
            }
        }
        entry.advance(60);
        assertThat(responses).noneMatch(response -> response.status == 503);
        assertThat(entry.sentRequests).hasSize(12);
    }

    /** Guards against all new calls going to one upstream because the usual latency of the others is long. */
    @Example
    void slowPlainUpstreamsAreNotTakenForSilent() {
        DirectFixture entry = idempotent(1, "u1", "u2", "u3");
        for (int index = 0; index < 6; index++) {
            entry.sendRequest("slow" + index, "Deadline", "8000");
        }
        entry.advance(700);
        entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("u3"))
                .findFirst()
                .orElseThrow()
                .respond(200, "x");
        Set<String> used = new HashSet<>();
        for (int index = 0; index < 30; index++) {
            entry.sendRequest("n" + index, "Deadline", "8000");
            used.add(entry.lastSent().upstream);
        }
        assertThat(used).containsExactlyInAnyOrder("u1", "u2", "u3");
    }

    /** Guards against one call that uses up the retries of its service at an upstream that accepts no connection. */
    @Example
    void connectionsThatAreRefusedDoNotUseUpTheRetryBudget() {
        DirectFixture entry = streams(3, FEW_RETRIES, "d1");
        startStream(entry, "a");
        entry.lastSent().handler.onFailed(true, "reset");
        entry.sentRequests.getLast().handler.onFailed(false, "reset before it was sent");
        refuseConnections(entry, 600);
        assertThat(entry.sentRequests).hasSizeLessThan(15);
        entry.addUpstream("d2", Role.ROLE_DECODE).addUpstream("d3", Role.ROLE_DECODE);
        DirectFixture.CallerResponse other = startStream(entry, "b");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(other.aborted).isFalse();
    }

    /** Guards against a stream that is cut because the engine that was to go on with it had no room. */
    @Example
    void aStreamWhoseReplacementIsRejectedLateGoesOn() {
        DirectFixture entry = streams(2, USUAL_LIMITS, "d1", "d2");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        while (entry.sentRequests.size() < 2) {
            entry.advance(10);
        }
        entry.advance(260);
        entry.lastSent().respondHead(503, "Not-Run", "1");
        entry.lastSent().handler.onComplete();
        entry.advance(20);
        assertThat(response.aborted).isFalse();
        assertThat(entry.sentRequests).hasSize(3);
    }

    /** Guards against a sound only upstream that is not asked again because the time to wait in the queue is over. */
    @Example
    void aConnectionThatBreaksLateIsMadeUpForAtTheOnlyUpstream() {
        DirectFixture entry = idempotent(3, "u1");
        entry.sendRequest("before", "Deadline", "8000");
        entry.lastSent().respond(200, "x");
        entry.sendRequest("a", "Deadline", "8000");
        entry.advance(1_600);
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.sentRequests).hasSize(3);
    }

    /** Guards against a hedge that is given up for a response of which only the head has arrived. */
    @Example
    void aHedgeStaysOpenUntilTheOtherResponseIsWhole() {
        DirectFixture entry = idempotent(2, "u1", "u2");
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Deadline", "8000");
        entry.advance(200);
        assertThat(entry.sentRequests).hasSize(2);
        entry.sentRequests.getFirst().respondSealedHead(200);
        entry.advance(10);
        entry.sentRequests.getFirst().handler.onFailed(true, "reset");
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }
}
