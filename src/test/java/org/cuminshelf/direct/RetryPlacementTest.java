package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.cuminshelf.exchange.CallerLimits;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.routes.Route;
import org.cuminshelf.routes.RouteTable;
import org.cuminshelf.routes.RoutedService;
import org.cuminshelf.routes.WeightedService;

/** Tests where and when a call is sent again, whose attempt has failed while nothing else of it is running. */
class RetryPlacementTest {

    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";
    private static final String DEADLINE_MILLIS = "8000";
    /** Slots of a decode engine that are given to usual streams. */
    private static final int STREAMS_PER_ENGINE = 6;

    private static Route route(String path, RequestKind kind, String service) {
        List<WeightedService> services = List.of(new WeightedService(service, 1));
        return new Route(
                service, "h", path, kind, 10_000, 200, 0, services, 3, true, DirectFixture.PAUSE_MILLIS, false);
    }

    private static DirectFixture entry(RequestKind kind) {
        DirectFixture entry = new DirectFixture(route("/a/", kind, "s")).becomeReady();
        // An entry that has just started queues calls for upstreams that it has not discovered yet.
        entry.advance(5_000);
        return entry;
    }

    private static DirectFixture entryWithDecodeEngines(String... engines) {
        DirectFixture entry = entry(RequestKind.STREAM);
        for (String engine : engines) {
            entry.addUpstream(engine, Role.ROLE_DECODE);
        }
        return entry;
    }

    private static DirectFixture.CallerResponse startStream(DirectFixture entry, String id) {
        DirectFixture.CallerResponse response = entry.sendRequest(id, "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        return response;
    }

    /** Sends streams until one is placed on an engine, and returns its request there. */
    private static DirectFixture.SentRequest sendStreamTo(DirectFixture entry, String engine) {
        for (int index = 0; index < 2 * STREAMS_PER_ENGINE; index++) {
            entry.sendRequest(engine + index, "Tokens", "20", "Deadline", DEADLINE_MILLIS);
            if (entry.lastSent().upstream.equals(engine)) {
                return entry.lastSent();
            }
        }
        throw new AssertionError("no stream was placed on " + engine);
    }

    /** Rejects a request for lack of capacity, so that its engine is avoided for a tenth of a second. */
    private static void reject(DirectFixture.SentRequest sent) {
        sent.respondHead(503, "Not-Run", "1");
        sent.handler.onComplete();
    }

    /** Runs a stream on {@code d1} while {@code d2} has just rejected another one for lack of capacity. */
    private static DirectFixture.CallerResponse startStreamBesideBusyEngine(DirectFixture entry) {
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.addUpstream("d2", Role.ROLE_DECODE);
        reject(sendStreamTo(entry, "d2"));
        entry.advance(30);
        return response;
    }

    /** Guards against a stream that is cut because no engine accepts it at the very moment its connection breaks. */
    @Example
    void aStartedStreamWaitsForAnEngineThatIsBusyOnlyBriefly() {
        DirectFixture entry = entryWithDecodeEngines("d1").addUpstream("p", Role.ROLE_PREFILL);
        DirectFixture.CallerResponse response = startStreamBesideBusyEngine(entry);
        entry.sentRequests.getFirst().handler.onFailed(true, "reset");
        assertThat(response.aborted).isFalse();
        entry.advance(120);
        assertThat(entry.lastSent().upstream).isEqualTo("d2");
        assertThat(entry.lastSent().request.headers().get("Last")).isEqualTo("1");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_2);
        entry.lastSent().handler.onComplete();
        assertThat(response.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(response.complete).isTrue();
    }

    /** Guards against a stream that waits on although its caller has left, or is cut before. */
    @Example
    void aStartedStreamWaitsAsLongAsItsCallerAndNoLonger() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("d2", Role.ROLE_DECODE).toBuilder()
                        .setChanging(true)));
        entry.advance(300);
        entry.reachability = Reachability.REFUSED;
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(1_200);
        assertThat(response.aborted).isFalse();
        entry.advance(400);
        assertThat(response.aborted).isTrue();
        assertThat(entry.sentRequests).hasSize(1);
    }

    /** Guards against a caller that waits for nothing: no engine takes its stream before it leaves. */
    @Example
    void aStartedStreamIsGivenUpAtOnceIfEveryOtherEngineRestsForLonger() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.addUpstream("d2", Role.ROLE_DECODE);
        DirectFixture.SentRequest resting = sendStreamTo(entry, "d2");
        resting.respondHead(503, "Not-Run", "1", "Rest", "3000");
        resting.handler.onComplete();
        entry.reachability = Reachability.REFUSED;
        entry.sentRequests.getFirst().handler.onFailed(true, "reset");
        assertThat(response.aborted).isTrue();
    }

    /** Guards against a stream that is cut although its other engine has asked for a rest of half a second only. */
    @Example
    void aStartedStreamWaitsForTheEndOfAShortRest() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.addUpstream("d2", Role.ROLE_DECODE);
        DirectFixture.SentRequest resting = sendStreamTo(entry, "d2");
        resting.respondHead(503, "Not-Run", "1", "Rest", "500");
        resting.handler.onComplete();
        entry.reachability = Reachability.REFUSED;
        entry.sentRequests.getFirst().handler.onFailed(true, "reset");
        assertThat(response.aborted).isFalse();
        entry.advance(480);
        assertThat(entry.lastSent().request.headers().contains("Last")).isFalse();
        entry.advance(50);
        assertThat(entry.lastSent().upstream).isEqualTo("d2");
        assertThat(entry.lastSent().request.headers().get("Last")).isEqualTo("1");
    }

    /** Guards against a caller that waits for nothing: the only engine of its stream has crashed. */
    @Example
    void aStartedStreamWhoseOnlyEngineCrashedIsGivenUpAtOnce() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.reachability = Reachability.REFUSED;
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(response.aborted).isTrue();
        assertThat(entry.core.openCalls()).isZero();
    }

    /** Guards against a stream that is cut although only its connection broke and its engine is sound. */
    @Example
    void aStartedStreamContinuesOnItsOwnEngineIfThereIsNoOther() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(20);
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_2);
        entry.lastSent().handler.onComplete();
        assertThat(response.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(response.complete).isTrue();
    }

    /** Guards against a stream without an event that fails because all slots are in use when its connection breaks. */
    @Example
    void aStreamThatMayHaveRunWaitsForASlot() {
        DirectFixture entry = entryWithDecodeEngines("d1", "d2");
        List<DirectFixture.CallerResponse> responses = new ArrayList<>();
        for (int index = 0; index < 2 * STREAMS_PER_ENGINE; index++) {
            responses.add(entry.sendRequest("a" + index, "Tokens", "20", "Deadline", DEADLINE_MILLIS));
        }
        int sentBefore = entry.sentRequests.size();
        assertThat(sentBefore).isEqualTo(2 * STREAMS_PER_ENGINE);
        DirectFixture.SentRequest broken = entry.sentRequests.getFirst();
        DirectFixture.SentRequest elsewhere = entry.sentRequests.stream()
                .filter(sent -> !sent.upstream.equals(broken.upstream))
                .findFirst()
                .orElseThrow();
        broken.handler.onFailed(true, "reset");
        assertThat(responses.getFirst().status).isZero();
        entry.advance(30);
        elsewhere.respond(200, EVENT_1);
        entry.advance(20);
        assertThat(entry.sentRequests).hasSize(sentBefore + 1);
        assertThat(entry.lastSent().upstream).isEqualTo(elsewhere.upstream);
    }

    /** Guards against a stream without an event that waits for full engines although its own one has a free slot. */
    @Example
    void aStreamReturnsToItsOwnEngineWhileAllOthersAreFull() {
        DirectFixture entry = entryWithDecodeEngines("d1", "d2");
        for (int index = 0; index < 2 * STREAMS_PER_ENGINE; index++) {
            entry.sendRequest("a" + index, "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        }
        DirectFixture.SentRequest broken = entry.sentRequests.getFirst();
        broken.handler.onFailed(true, "reset");
        entry.advance(120);
        assertThat(entry.sentRequests).hasSize(2 * STREAMS_PER_ENGINE + 1);
        assertThat(entry.lastSent().upstream).isEqualTo(broken.upstream);
    }

    /** Guards against a sound stream that is held up because another engine may soon end a change of its role. */
    @Example
    void aStartedStreamDoesNotWaitForARoleChangeIfItsOwnEngineIsSound() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        startStream(entry, "a");
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("d2", Role.ROLE_DECODE).toBuilder()
                        .setChanging(true)));
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(20);
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.lastSent().upstream).isEqualTo("d1");
    }

    /** Guards against a slot that goes to a new call while a stream whose connection broke waits for one. */
    @Example
    void aRetryComesBeforeNewCalls() {
        DirectFixture entry = entryWithDecodeEngines("d1", "d2");
        for (int index = 0; index < 2 * STREAMS_PER_ENGINE; index++) {
            entry.sendRequest("a" + index, "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        }
        DirectFixture.SentRequest broken = entry.sentRequests.getFirst();
        DirectFixture.SentRequest elsewhere = entry.sentRequests.stream()
                .filter(sent -> !sent.upstream.equals(broken.upstream))
                .findFirst()
                .orElseThrow();
        broken.handler.onFailed(true, "reset");
        entry.sendRequest("takes-the-slot", "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        entry.sendRequest("waits", "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        entry.sentRequests.clear();
        elsewhere.respond(200, EVENT_1);
        entry.advance(12);
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(entry.lastSent().request.headers().get("Request")).isEqualTo("a0");
    }

    /** Guards against a prefilled prompt that is refused, its cache released, while its engine is busy briefly. */
    @Example
    void aPrefilledPromptWaitsForAnEngineThatGenerates() {
        DirectFixture entry = entryWithDecodeEngines("d1").addUpstream("p", Role.ROLE_PREFILL);
        entry.sendRequest("a", "Tokens", "9000", "Deadline", DEADLINE_MILLIS);
        DirectFixture.SentRequest prefill = entry.lastSent();
        assertThat(prefill.upstream).isEqualTo("p");
        reject(sendStreamTo(entry, "d1"));
        prefill.respondHead(200);
        prefill.respondBody("kv1");
        prefill.handler.onComplete();
        entry.advance(110);
        assertThat(entry.lastSent().upstream).isEqualTo("d1");
        assertThat(entry.lastSent().request.headers().get("Cache")).isEqualTo("kv1");
    }

    /** Guards against an idempotent request that ends as "may have run" because the other upstream is busy briefly. */
    @Example
    void anIdempotentRequestThatMayHaveRunWaitsForAnUpstream() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT);
        entry.addUpstream("u1", Role.ROLE_MIXED);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.addUpstream("u2", Role.ROLE_MIXED);
        reject(sendStreamTo(entry, "u2"));
        entry.advance(30);
        entry.sentRequests.getFirst().handler.onFailed(true, "reset");
        assertThat(response.status).isZero();
        entry.advance(110);
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }

    /** Guards against a waiting call that is still open after its deadline. */
    @Example
    void aWaitingCallEndsAtItsDeadline() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "20", "Deadline", "200");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.addUpstream("d2", Role.ROLE_DECODE);
        reject(sendStreamTo(entry, "d2"));
        entry.advance(110);
        DirectFixture.SentRequest first = entry.sentRequests.getFirst();
        reject(sendStreamTo(entry, "d2"));
        entry.reachability = Reachability.REFUSED;
        first.handler.onFailed(true, "reset");
        entry.advance(200);
        assertThat(response.aborted).isTrue();
    }

    /** Guards against a stream that is held until its engines could only be reached in the last moments of its time. */
    @Example
    void aStartedStreamIsGivenUpAtOnceIfEveryEngineRestsUntilItsDeadline() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "20", "Deadline", "320");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.addUpstream("d2", Role.ROLE_DECODE);
        DirectFixture.SentRequest resting = sendStreamTo(entry, "d2");
        resting.respondHead(503, "Not-Run", "1", "Rest", "300");
        resting.handler.onComplete();
        entry.reachability = Reachability.REFUSED;
        entry.sentRequests.getFirst().handler.onFailed(true, "reset");
        assertThat(response.aborted).isTrue();
    }

    /** Guards against a caller that is told too late to send its request again. */
    @Example
    void anIdempotentRequestIsGivenUpAfterHalfOfItsTime() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT);
        entry.addUpstream("u1", Role.ROLE_MIXED);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Deadline", "1000");
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("u2", Role.ROLE_MIXED).toBuilder()
                        .setChanging(true)));
        entry.reachability = Reachability.REFUSED;
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(200);
        assertThat(response.status).isZero();
        entry.advance(350);
        assertThat(response.status).isEqualTo(502);
    }

    /** Guards against new calls that are refused because calls of another service ahead of them find no engine. */
    @Example
    void callsThatWaitForOneServiceDoNotHoldBackThoseOfAnother() {
        DirectFixture entry = entryWithDecodeEngines("d1");
        entry.applyConfig(RouteTable.of(
                8,
                List.of(route("/a/", RequestKind.STREAM, "s"), route("/t/", RequestKind.STREAM, "t")),
                Map.of(
                        "s", new RoutedService("s", 100, Optional.empty()),
                        "t", new RoutedService("t", 100, Optional.empty())),
                Organisations.unrestricted(),
                CallerLimits.DEFAULT));
        List<DirectFixture.CallerResponse> responses = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            responses.add(startStream(entry, "a" + index));
        }
        List<DirectFixture.SentRequest> streams = List.copyOf(entry.sentRequests);
        entry.addUpstream("d2", Role.ROLE_DECODE);
        reject(sendStreamTo(entry, "d2"));
        entry.advance(30);
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("t1", Role.ROLE_DECODE).toBuilder()
                        .setService("t")
                        .setSlots(1)));
        entry.sendRequestTo("/t/b", "t1", "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        DirectFixture.SentRequest running = entry.lastSent();
        assertThat(running.upstream).isEqualTo("t1");
        entry.sendRequestTo("/t/b", "t2", "Tokens", "20", "Deadline", DEADLINE_MILLIS);
        assertThat(entry.lastSent()).isSameAs(running);
        streams.forEach(sent -> sent.handler.onFailed(true, "reset"));
        running.respond(200, EVENT_1);
        entry.advance(11);
        assertThat(entry.lastSent().request.headers().get("Request")).isEqualTo("t2");
        assertThat(responses).noneMatch(response -> response.aborted);
    }
}
