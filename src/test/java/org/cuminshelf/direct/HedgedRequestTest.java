package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.routes.RequestKind;

/** Tests idempotent requests that are sent to another upstream beside one that has not responded yet. */
class HedgedRequestTest {

    private static DirectFixture entry(int attempts, String... upstreams) {
        DirectFixture entry =
                new DirectFixture(DirectFixture.patientRoute(RequestKind.IDEMPOTENT, attempts)).becomeReady();
        for (String upstream : upstreams) {
            entry.addUpstream(upstream, Role.ROLE_MIXED);
        }
        return entry;
    }

    private static DirectFixture.CallerResponse send(DirectFixture entry) {
        return entry.sendRequest("a", "Deadline", "8000");
    }

    /** Returns an entry whose request was sent to a second upstream as the first did not respond. */
    private static DirectFixture entryWithHedge(DirectFixture.CallerResponse[] response) {
        DirectFixture entry = entry(2, "u1", "u2");
        entry.setEntries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        response[0] = send(entry);
        entry.advance(200);
        assertThat(entry.sentRequests).hasSize(2);
        assertThat(entry.sentRequests).noneMatch(sent -> sent.cancelled);
        return entry;
    }

    /* Guards against a 502 for a request whose only upstream paused. */
    @Example
    void aRequestWhoseOnlyUpstreamPausesIsAnswered() {
        for (long silenceMillis : List.of(300L, 500L, 700L, 1_000L, 1_900L)) {
            DirectFixture entry = entry(3, "u1");
            DirectFixture.CallerResponse response = send(entry);
            entry.advance(silenceMillis);
            entry.lastSent().respond(200, "x");
            assertThat(response.status).isEqualTo(200);
            assertThat(response.body.toString()).isEqualTo("x");
        }
    }

    /* Guards against a 502 for a request whose upstreams all pause at once. */
    @Example
    void aRequestWhoseUpstreamsAllPauseIsAnsweredByTheFirstToGoOn() {
        DirectFixture entry = entry(3, "u1", "u2");
        DirectFixture.CallerResponse response = send(entry);
        entry.advance(1_900);
        entry.sentRequests.getFirst().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void theFirstUpstreamWinsIfItRespondsFirst() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithHedge(response);
        entry.sentRequests.get(0).respondSealedHead(200);
        assertThat(entry.sentRequests.get(1).cancelled).isFalse();
        entry.sentRequests.get(0).respondBody("first");
        entry.sentRequests.get(0).handler.onComplete();
        assertThat(entry.sentRequests.get(1).cancelled).isTrue();
        entry.sentRequests.get(1).respond(200, "second");
        assertThat(response[0].body.toString()).isEqualTo("first");
    }

    @Example
    void theSecondUpstreamWinsIfItRespondsFirst() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithHedge(response);
        entry.sentRequests.get(1).respond(200, "second");
        assertThat(entry.sentRequests.get(0).cancelled).isTrue();
        entry.sentRequests.get(0).respond(200, "first");
        assertThat(response[0].body.toString()).isEqualTo("second");
        assertThat(entry.core.openCalls()).isZero();
    }

    /* Guards against an error of one upstream that is reported while the other could still answer. */
    @Example
    void aFailureOfOneUpstreamEndsOnlyItsOwnAttempt() {
        for (int failing : List.of(0, 1)) {
            List<Consumer<DirectFixture.SentRequest>> failures = List.of(
                    sent -> sent.respond(500, "no"),
                    sent -> sent.handler.onFailed(true, "reset"),
                    sent -> sent.handler.onFailed(false, "refused"),
                    sent -> {
                        sent.respondHead(503, "Not-Run", "1");
                        sent.handler.onComplete();
                    });
            for (Consumer<DirectFixture.SentRequest> failure : failures) {
                DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
                DirectFixture entry = entryWithHedge(response);
                failure.accept(entry.sentRequests.get(failing));
                assertThat(response[0].status).isZero();
                entry.sentRequests.get(1 - failing).respond(200, "x");
                assertThat(response[0].status).isEqualTo(200);
            }
        }
    }

    /* Guards against "did not run" for a request of which one attempt may have run. */
    @Example
    void onceBothAttemptsFailedTheCallerIsToldThatItMayHaveRun() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithHedge(response);
        entry.sentRequests.get(0).handler.onFailed(true, "reset");
        entry.sentRequests.get(1).respondHead(503, "Not-Run", "1");
        entry.sentRequests.get(1).handler.onComplete();
        assertThat(response[0].status).isEqualTo(502);
        assertThat(entry.core.openCalls()).isZero();
    }

    /* Guards against a request that waits for a dead upstream until its time is up. */
    @Example
    void aRequestOfADarkUpstreamIsAnsweredByAnother() {
        DirectFixture entry = entry(3, "u1", "u2");
        DirectFixture.CallerResponse response = send(entry);
        String dark = entry.lastSent().upstream;
        entry.advance(200);
        assertThat(entry.lastSent().upstream).isNotEqualTo(dark);
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }

    /* Guards against work that goes on at an upstream after the call has ended, and counts there as load for good. */
    @Example
    void theEndOfACallEndsAllItsAttempts() {
        Fingerprint request = Fingerprint.of("POST", "h", "/a/b", "", new byte[0]);
        List<BiConsumer<DirectFixture, DirectFixture.CallerResponse>> ends = List.of(
                (entry, response) -> entry.core.onDisconnect(response),
                (entry, response) -> entry.advance(8_000),
                (entry, response) -> entry.sendUpdate(Update.newBuilder()
                        .addQuarantined(QuarantinedRequest.newBuilder()
                                .setHigh(request.high())
                                .setLow(request.low())
                                .setGeneration(1)
                                .addAllUpstreams(List.of("a", "b", "c")))));
        for (BiConsumer<DirectFixture, DirectFixture.CallerResponse> end : ends) {
            DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
            DirectFixture entry = entryWithHedge(response);
            assertThat(reportedLoad(entry)).isEqualTo(2);
            end.accept(entry, response[0]);
            entry.advance(300);
            assertThat(entry.sentRequests).hasSize(2).allMatch(sent -> sent.cancelled);
            assertThat(entry.core.openCalls()).isZero();
            assertThat(reportedLoad(entry)).isZero();
        }
    }

    /** Returns the running attempts that the entry last reported to the other entry. */
    private static int reportedLoad(DirectFixture entry) {
        return entry.out.take(message -> message.hasEntryLoad()).getLast().getEntryLoad().getUpstreamsList().stream()
                .mapToInt(upstream -> upstream.getRunning())
                .sum();
    }

    /* Guards against attempts in quick succession: only the silence of the last one calls for another. */
    @Example
    void anotherHedgeIsSentOnlyOnceTheLastOneIsSilent() {
        DirectFixture entry = entry(3, "u1", "u2", "u3");
        send(entry);
        entry.advance(290);
        assertThat(entry.sentRequests).hasSize(2);
        entry.advance(20);
        assertThat(entry.sentRequests).hasSize(3);
    }

    /* Guards against an upstream that has answered all its requests and passes for silent. */
    @Example
    void anUpstreamThatOwesNothingIsNotSilent() {
        DirectFixture entry = entry(1, "u1", "u2");
        send(entry);
        entry.advance(100);
        String answered = entry.lastSent().upstream;
        entry.lastSent().respond(200, "x");
        entry.advance(750);
        send(entry);
        send(entry);
        assertThat(entry.sentRequests.subList(1, 3)).anyMatch(sent -> sent.upstream.equals(answered));
    }

    /* Guards against two attempts of a request after one of them was answered by an error of the caller. */
    @Example
    void aClientErrorOfOneUpstreamEndsBothAttempts() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithHedge(response);
        entry.sentRequests.get(1).respond(404, "no");
        assertThat(response[0].status).isEqualTo(404);
        assertThat(entry.sentRequests.get(0).cancelled).isTrue();
    }

    /* Guards against a request that runs twice although it may not. */
    @Example
    void aNonIdempotentRequestIsNeverHedged() {
        DirectFixture entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.NON_IDEMPOTENT, 2))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED)
                .addUpstream("u2", Role.ROLE_MIXED);
        send(entry);
        entry.advance(7_900);
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(entry.lastSent().cancelled).isFalse();
    }

    /* Guards against attempts of requests whose answer is in the socket when the entry goes on. */
    @Example
    void timeInWhichTheEntryStoodStillIsNoSilenceOfItsUpstreams() {
        DirectFixture entry = entry(2, "u1", "u2");
        DirectFixture.CallerResponse response = send(entry);
        entry.advance(20);
        entry.standStill(1_200);
        assertThat(entry.sentRequests).hasSize(1);
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }

    /* Guards against calls that fail for want of retries: each retry after an error was charged twice. */
    @Example
    void aRetryAfterAnErrorIsChargedOnce() {
        RetryLimits oneRetry = new RetryLimits(0, 1.5, 10_000);
        DirectFixture entry = new DirectFixture(oneRetry, DirectFixture.route(RequestKind.IDEMPOTENT, 2, false))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_MIXED)
                .addUpstream("u2", Role.ROLE_MIXED);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        entry.lastSent().respond(500, "no");
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
    }
}
