package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamCrash;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.routes.RequestKind;

/** Tests resumable streams whose upstreams fall silent, for a while or for good. */
class SilentStreamTest {

    private static final List<Long> SILENCES_MILLIS = List.of(300L, 700L, 1_000L, 1_900L);
    private static final RetryLimits NO_RETRIES = new RetryLimits(0, 0, 10_000);

    private static DirectFixture entry(int attempts, String... engines) {
        return addEngines(new DirectFixture(DirectFixture.patientRoute(RequestKind.STREAM, attempts)), engines);
    }

    private static DirectFixture addEngines(DirectFixture entry, String... engines) {
        entry.becomeReady();
        for (String engine : engines) {
            entry.addUpstream(engine, Role.ROLE_DECODE);
        }
        return entry;
    }

    private static DirectFixture.CallerResponse sendStream(DirectFixture entry, String id) {
        return entry.sendRequest(id, "Tokens", "500", "Deadline", "8000");
    }

    /** Sends a stream whose upstream has delivered its first event. */
    private static DirectFixture.CallerResponse startStream(DirectFixture entry, String id) {
        DirectFixture.CallerResponse response = sendStream(entry, id);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(event(1));
        return response;
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: e" + number + "\n\n";
    }

    /** Starts streams until there are so many, 1 ms after each other. */
    private static List<DirectFixture.CallerResponse> startStreams(DirectFixture entry, int count) {
        List<DirectFixture.CallerResponse> responses = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            responses.add(startStream(entry, "s" + number));
            entry.advance(1);
        }
        assertThat(entry.sentRequests).hasSize(count);
        return responses;
    }

    private static void respondFully(DirectFixture.SentRequest sent, int from) {
        sent.respondSealedHead(200);
        sent.respondBody(event(from));
        sent.handler.onComplete();
    }

    private static void assertCompleteAfter(DirectFixture.CallerResponse response, int events) {
        StringBuilder expected = new StringBuilder();
        for (int number = 1; number <= events; number++) {
            expected.append(event(number));
        }
        assertThat(response.body.toString()).isEqualTo(expected.toString());
        assertThat(response.complete).isTrue();
        assertThat(response.aborted).isFalse();
    }

    // ---- nothing else can take the stream: it goes on

    /* Guards against a stream that is ended as its sound upstream paused, though nothing else could continue it. */
    @Example
    void aStreamWhoseOnlyEnginePausesBetweenEventsGoesOn() {
        for (long silenceMillis : SILENCES_MILLIS) {
            DirectFixture entry = entry(3, "u1");
            DirectFixture.CallerResponse response = startStream(entry, "a");
            entry.advance(silenceMillis);
            assertThat(entry.lastSent().cancelled).isFalse();
            entry.lastSent().respondBody(event(2));
            entry.lastSent().handler.onComplete();
            assertCompleteAfter(response, 2);
            assertThat(entry.sentRequests).hasSize(1);
        }
    }

    /* Guards against the same failure before the head of the response. */
    @Example
    void aStreamWhoseOnlyEnginePausesBeforeTheHeadGoesOn() {
        for (long silenceMillis : SILENCES_MILLIS) {
            DirectFixture entry = entry(3, "u1");
            DirectFixture.CallerResponse response = sendStream(entry, "a");
            entry.advance(silenceMillis);
            assertThat(entry.lastSent().cancelled).isFalse();
            respondFully(entry.lastSent(), 1);
            assertCompleteAfter(response, 1);
        }
    }

    /* Guards against the same failure between the last event and the end of the stream. */
    @Example
    void aStreamWhoseOnlyEnginePausesBeforeTheEndGoesOn() {
        for (long silenceMillis : SILENCES_MILLIS) {
            DirectFixture entry = entry(3, "u1");
            DirectFixture.CallerResponse response = startStream(entry, "a");
            entry.lastSent().respondBody(event(2));
            entry.advance(silenceMillis);
            entry.lastSent().handler.onComplete();
            assertCompleteAfter(response, 2);
        }
    }

    /* Guards against a mass of new prefills, and of ended streams, when all engines pause at once. */
    @Example
    void aPauseOfAllEnginesEndsNoStreamAndStartsNoneAnew() {
        for (long silenceMillis : SILENCES_MILLIS) {
            DirectFixture entry = entry(3, "u1", "u2");
            List<DirectFixture.CallerResponse> responses = startStreams(entry, 12);
            entry.advance(silenceMillis);
            assertThat(entry.sentRequests).hasSize(12);
            for (DirectFixture.SentRequest sent : entry.sentRequests) {
                assertThat(sent.cancelled).isFalse();
                sent.respondBody(event(2));
                sent.handler.onComplete();
            }
            responses.forEach(response -> assertCompleteAfter(response, 2));
        }
    }

    /* Guards against refused calls after a pause: all engines were avoided, as each stream counted as a failure. */
    @Example
    void aPauseOfAllEnginesDoesNotMakeNewCallsRefused() {
        DirectFixture entry = entry(3, "u1", "u2");
        startStreams(entry, 8);
        entry.advance(1_900);
        DirectFixture.CallerResponse response = sendStream(entry, "new");
        assertThat(response.status).isZero();
        assertThat(entry.sentRequests).hasSize(9);
    }

    /* Guards against a stream that is ended for want of retries though its upstream is sound. */
    @Example
    void aSilentStreamGoesOnWithoutRetryBudget() {
        DirectFixture entry = addEngines(
                new DirectFixture(NO_RETRIES, DirectFixture.patientRoute(RequestKind.STREAM, 3)), "u1", "u2");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.advance(1_900);
        assertThat(entry.linesWith("attempt a", "outcome=kept", "reason=retry-budget-empty"))
                .hasSize(1);
        entry.lastSent().respondBody(event(2));
        entry.lastSent().handler.onComplete();
        assertCompleteAfter(response, 2);
    }

    /* Guards against a stream that is ended as upstreams crashed under copies of its request. */
    @Example
    void aSilentStreamGoesOnIfItsRequestIsSuspected() {
        DirectFixture entry = entry(3, "u1", "u2");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        Fingerprint request = Fingerprint.of("POST", "h", "/a/b", "", new byte[0]);
        for (String crashed : List.of("x1", "x2")) {
            entry.sendUpdate(Update.newBuilder()
                    .addCrashes(UpstreamCrash.newBuilder()
                            .setUpstream(crashed)
                            .addRuns(CrashedRun.newBuilder()
                                    .setHigh(request.high())
                                    .setLow(request.low())
                                    .setInvolvement(Involvement.JUST_BEGUN))));
        }
        entry.advance(1_900);
        assertThat(entry.sentRequests).hasSize(1);
        entry.lastSent().respondBody(event(2));
        entry.lastSent().handler.onComplete();
        assertCompleteAfter(response, 2);
    }

    // ---- a replacement is started beside the silent attempt

    /* Guards against callers that leave, 2 s after the last event, as a dark engine is not noticed. */
    @Example
    void streamsOfAnEngineThatIsDarkForGoodGoOnElsewhere() {
        DirectFixture entry = entry(3, "u1", "u2");
        List<DirectFixture.CallerResponse> responses = startStreams(entry, 6);
        String dark = entry.sentRequests.getFirst().upstream;
        for (int round = 0; round < 14; round++) {
            entry.advance(100);
            String next = event(round + 2);
            entry.sentRequests.stream()
                    .filter(sent -> !sent.upstream.equals(dark) && !sent.cancelled)
                    .toList()
                    .forEach(sent -> {
                        sent.respondSealedHead(200);
                        sent.respondBody(next);
                    });
        }
        assertThat(responses)
                .allSatisfy(response -> assertThat(response.body.toString()).contains("data: e15\n"));
        assertThat(entry.sentRequests)
                .allSatisfy(sent -> assertThat(sent.cancelled).isEqualTo(sent.upstream.equals(dark)));
    }

    /* Guards against a stream lost with its connection, which is dead without a reset, while the engine is sound. */
    @Example
    void aStreamOnADeadConnectionGoesOnElsewhereThoughItsEngineIsSound() {
        DirectFixture entry = entry(2, "u1", "u2");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        DirectFixture.SentRequest dead = entry.lastSent();
        sendStream(entry, "b");
        sendStream(entry, "c");
        List<DirectFixture.SentRequest> sound = List.copyOf(entry.sentRequests.subList(1, 3));
        assertThat(sound).anyMatch(sent -> sent.upstream.equals(dead.upstream));
        sound.forEach(sent -> sent.respondSealedHead(200));
        for (int round = 1; round <= 16; round++) {
            String next = event(round);
            sound.forEach(sent -> sent.respondBody(next));
            entry.advance(100);
            if (round == 14) {
                assertThat(entry.sentRequests)
                        .as("a busy engine gets more time")
                        .hasSize(3);
            }
        }
        assertThat(entry.sentRequests).hasSize(4);
        DirectFixture.SentRequest replacement = entry.sentRequests.get(3);
        assertThat(replacement.request.headers().get("Last")).isEqualTo("1");
        respondFully(replacement, 2);
        assertThat(dead.cancelled).isTrue();
        assertCompleteAfter(response, 2);
    }

    /** Returns an entry with a stream on a silent engine whose replacement was just sent to another engine. */
    private static DirectFixture entryWithReplacement(int attempts, DirectFixture.CallerResponse[] response) {
        DirectFixture entry = entry(attempts, "u1", "u2");
        response[0] = startStream(entry, "a");
        while (entry.sentRequests.size() < 2) {
            entry.advance(10);
        }
        assertThat(entry.sentRequests.get(0).cancelled).isFalse();
        return entry;
    }

    /** Returns an entry with a stream on a dead connection, whose replacement was sent while both engines are sound. */
    private static DirectFixture entryWithSoundEngines(String tokens, DirectFixture.CallerResponse[] response) {
        DirectFixture entry = entry(3, "u1", "u2");
        response[0] = entry.sendRequest("a", "Tokens", tokens, "Deadline", "8000");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(event(1));
        sendStream(entry, "b");
        sendStream(entry, "c");
        entry.sentRequests.subList(1, 3).forEach(sent -> sent.respondSealedHead(200));
        assertThat(entry.sentRequests).extracting(sent -> sent.upstream).contains("u1", "u2");
        while (entry.sentRequests.size() < 4) {
            advanceWithEvents(entry, 100);
        }
        return entry;
    }

    /** Lets time pass in which the streams beside the first one go on. */
    private static void advanceWithEvents(DirectFixture entry, int millis) {
        int stepMillis = 50;
        for (int passed = 0; passed < millis; passed += stepMillis) {
            entry.sentRequests.subList(1, 3).forEach(sent -> sent.respondBody("data: x\n\n"));
            entry.advance(stepMillis);
        }
    }

    /* Guards against a caller that leaves as the connection of the replacement died too, with an attempt to spare. */
    @Example
    void aReplacementOnADeadConnectionIsReplacedWhileTheCallerWaits() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithSoundEngines("500", response);
        advanceWithEvents(entry, 400);
        assertThat(entry.sentRequests).hasSize(5);
        assertThat(entry.lastSent().request.headers().get("Last")).isEqualTo("1");
        respondFully(entry.lastSent(), 2);
        assertCompleteAfter(response[0], 2);
    }

    /* Guards against a long prompt prefilled a third time, too late for the caller and while the second is on time. */
    @Example
    void aReplacementWhoseFirstEventIsNotDueInTimeIsNotReplacedEarly() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithSoundEngines("9000", response);
        advanceWithEvents(entry, 400);
        assertThat(entry.sentRequests).hasSize(4);
        respondFully(entry.lastSent(), 2);
        assertCompleteAfter(response[0], 2);
    }

    /** Returns an entry with a silent stream, beside which a prompt is sent to the other engine after a while. */
    private static DirectFixture entryWithAwaitedEngines(String tokens, long promptAtMillis) {
        DirectFixture entry = entry(3, "u1", "u2");
        entry.sendRequest("a", "Tokens", tokens, "Deadline", "8000");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(event(1));
        entry.advance(promptAtMillis);
        sendStream(entry, "b");
        assertThat(entry.lastSent().upstream).isNotEqualTo(entry.sentRequests.getFirst().upstream);
        return entry;
    }

    /* Guards against prompts prefilled again as all engines pause, which the entry knows of one of them only. */
    @Example
    void aStreamWaitsForASignOfTheOtherEngineIfARequestWaitsThere() {
        DirectFixture entry = entryWithAwaitedEngines("500", 700);
        entry.advance(500);
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(event(1));
        entry.advance(150);
        assertThat(entry.sentRequests).hasSize(3);
        assertThat(entry.lastSent().upstream).isEqualTo(entry.sentRequests.get(1).upstream);
    }

    /* Guards against a caller that leaves as its stream waits for that sign too long. */
    @Example
    void aStreamWithALongPromptMovesWithoutASignInTime() {
        DirectFixture entry = entryWithAwaitedEngines("9000", 900);
        entry.advance(400);
        assertThat(entry.sentRequests).hasSize(3);
        assertThat(entry.lastSent().request.headers().get("Last")).isEqualTo("1");
    }

    /* Guards against events of two runs in one stream. */
    @Example
    void theOldAttemptWinsIfItSendsFirst() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithReplacement(2, response);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 2\nda");
        entry.sentRequests.get(0).respondBody(event(2));
        assertThat(entry.lastSent().cancelled).isTrue();
        entry.lastSent().respondBody("ta: other\n\n");
        entry.advance(400);
        entry.sentRequests.get(0).respondBody(event(3));
        entry.sentRequests.get(0).handler.onComplete();
        assertCompleteAfter(response[0], 3);
    }

    /* Guards against events of two runs in one stream. */
    @Example
    void theReplacementWinsIfItSendsFirst() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithReplacement(2, response);
        entry.sentRequests.get(0).respondBody("id: 2\nda");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(event(2));
        assertThat(entry.sentRequests.get(0).cancelled).isTrue();
        entry.sentRequests.get(0).respondBody("ta: other\n\n");
        entry.lastSent().respondBody(event(3));
        entry.lastSent().handler.onComplete();
        assertCompleteAfter(response[0], 3);
        assertThat(entry.core.openCalls()).isZero();
    }

    /* Guards against two engines that work on one stream for longer than the overlap that is allowed. */
    @Example
    void theOldAttemptIsCancelledSoonAfterTheReplacementWasSent() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithReplacement(2, response);
        entry.advance(200);
        assertThat(entry.sentRequests.get(0).cancelled).isFalse();
        entry.advance(100);
        assertThat(entry.sentRequests.get(0).cancelled).isTrue();
        assertThat(entry.lastSent().cancelled).isFalse();
        respondFully(entry.lastSent(), 2);
        assertCompleteAfter(response[0], 2);
    }

    /* Guards against an overlap without a limit as a part of an event arrives from the old attempt. */
    @Example
    void aPartOfAnEventDoesNotProlongTheOldAttempt() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithReplacement(2, response);
        entry.advance(100);
        entry.sentRequests.get(0).respondBody("id: 2\nda");
        entry.advance(200);
        assertThat(entry.sentRequests.get(0).cancelled).isTrue();
        respondFully(entry.lastSent(), 2);
        assertCompleteAfter(response[0], 2);
    }

    /* Guards against a stream that is ended as its replacement is refused while the old attempt could go on. */
    @Example
    void theOldAttemptGoesOnIfTheReplacementFails() {
        List<Consumer<DirectFixture.SentRequest>> failures = List.of(
                sent -> {
                    sent.respondHead(503, "Not-Run", "1");
                    sent.handler.onComplete();
                },
                sent -> sent.handler.onFailed(false, "refused"),
                sent -> sent.handler.onFailed(true, "reset"),
                sent -> sent.respond(500, "no"));
        for (Consumer<DirectFixture.SentRequest> failure : failures) {
            DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
            DirectFixture entry = entryWithReplacement(2, response);
            failure.accept(entry.lastSent());
            entry.advance(500);
            assertThat(entry.sentRequests).hasSize(2);
            assertThat(entry.sentRequests.get(0).cancelled).isFalse();
            entry.sentRequests.get(0).respondBody(event(2));
            entry.sentRequests.get(0).handler.onComplete();
            assertCompleteAfter(response[0], 2);
        }
    }

    /* Guards against a stream that stays with a silent replacement though another engine could take it. */
    @Example
    void aReplacementThatFallsSilentIsReplacedToo() {
        DirectFixture entry = entry(3, "u1", "u2", "u3");
        DirectFixture.CallerResponse response = startStream(entry, "a");
        entry.advance(1_150);
        assertThat(entry.sentRequests).hasSize(2);
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(event(2));
        entry.advance(1_150);
        assertThat(entry.sentRequests).hasSize(3);
        assertThat(entry.lastSent().upstream).isNotEqualTo(entry.sentRequests.get(1).upstream);
        respondFully(entry.lastSent(), 3);
        assertCompleteAfter(response, 3);
    }

    /* Guards against a stream that is ended as its last attempt falls silent. */
    @Example
    void aSilentReplacementGoesOnOnceAttemptsAreUsedUp() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithReplacement(2, response);
        entry.advance(1_900);
        assertThat(entry.lastSent().cancelled).isFalse();
        respondFully(entry.lastSent(), 2);
        assertCompleteAfter(response[0], 2);
    }

    /* Guards against a route whose streams may not be resumed being sent twice. */
    @Example
    void aStreamThatMayNotBeResumedIsNeverReplaced() {
        DirectFixture entry =
                addEngines(new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, false, 8_000)), "u1", "u2");
        startStream(entry, "a");
        entry.advance(7_900);
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(entry.lastSent().cancelled).isFalse();
    }

    // ---- new calls

    /* Guards against new calls that wait for their first event at a dark engine while another one serves. */
    @Example
    void newCallsAvoidAnEngineThatIsSilentWhileAnotherServes() {
        DirectFixture entry = entry(3, "u1", "u2");
        startStreams(entry, 5);
        long onFirst = entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("u1"))
                .count();
        String dark = onFirst <= 2 ? "u1" : "u2";
        for (int round = 2; round < 9; round++) {
            String next = event(round);
            entry.advance(100);
            entry.sentRequests.stream()
                    .filter(sent -> !sent.upstream.equals(dark))
                    .forEach(sent -> sent.respondBody(next));
        }
        for (int number = 0; number < 2; number++) {
            sendStream(entry, "new" + number);
            assertThat(entry.lastSent().upstream).isNotEqualTo(dark);
        }
    }

    /* Guards against refused calls as the only engine of its role is silent. */
    @Example
    void theOnlyEngineOfItsRoleGetsNewCallsThoughItIsSilent() {
        DirectFixture entry = entry(3, "u1").addUpstream("p", Role.ROLE_PREFILL);
        startStream(entry, "a");
        entry.advance(700);
        sendStream(entry, "new");
        assertThat(entry.sentRequests).hasSize(2);
    }

    /* Guards against a call that fails for want of a slot at sound engines while a silent one has slots. */
    @Example
    void aCallWhoseAttemptFailedIsSentToASilentEngineIfNoOtherHasASlot() {
        DirectFixture entry = entry(3, "u1", "u2");
        startStreams(entry, 12);
        entry.addUpstream("u3", Role.ROLE_DECODE);
        DirectFixture.SentRequest finished = entry.sentRequests.getFirst();
        finished.respondBody(event(2));
        finished.handler.onComplete();
        for (int round = 2; round < 9; round++) {
            String next = event(round);
            entry.advance(100);
            entry.sentRequests.stream()
                    .filter(sent -> !sent.upstream.equals(finished.upstream))
                    .forEach(sent -> sent.respondBody(next));
        }
        sendStream(entry, "a");
        assertThat(entry.lastSent().upstream).isEqualTo("u3");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(entry.lastSent().upstream).isEqualTo(finished.upstream);
    }

    // ---- prefill

    /** Returns an entry that has sent a prompt to its only prefill engine. */
    private static DirectFixture entryWithPrefill(RetryLimits limits, DirectFixture.CallerResponse[] response) {
        DirectFixture entry = new DirectFixture(limits, DirectFixture.patientRoute(RequestKind.STREAM, 2))
                .becomeReady()
                .addUpstream("p", Role.ROLE_PREFILL)
                .addUpstream("d", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p", Role.ROLE_PREFILL, 5, 5).reportPrefillTimes("d", Role.ROLE_DECODE, 5, 16);
        startStream(entry, "warm");
        response[0] = entry.sendRequest("a", "Tokens", "9000", "Deadline", "8000");
        assertThat(entry.lastSent().upstream).isEqualTo("p");
        return entry;
    }

    @Example
    void aSilentPrefillIsCancelledWhenItsReplacementIsSent() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithPrefill(new RetryLimits(0.2, 100, 10_000), response);
        DirectFixture.SentRequest prefill = entry.lastSent();
        DirectFixture.SentRequest warm = entry.sentRequests.getFirst();
        for (int round = 2; entry.sentRequests.size() < 3 && round < 70; round++) {
            assertThat(prefill.cancelled).isFalse();
            entry.advance(100);
            warm.respondBody(event(round));
        }
        assertThat(prefill.cancelled).isTrue();
        assertThat(entry.lastSent().upstream).isEqualTo("d");
        respondFully(entry.lastSent(), 1);
        assertCompleteAfter(response[0], 1);
    }

    /* Guards against a call that is refused as its prefill engine paused and nothing else could take the prompt. */
    @Example
    void aSilentPrefillGoesOnIfNothingElseCanTakeThePrompt() {
        DirectFixture.CallerResponse[] response = new DirectFixture.CallerResponse[1];
        DirectFixture entry = entryWithPrefill(NO_RETRIES, response);
        DirectFixture.SentRequest prefill = entry.lastSent();
        for (int round = 2; round < 62; round++) {
            entry.advance(100);
            entry.sentRequests.getFirst().respondBody(event(round));
        }
        assertThat(prefill.cancelled).isFalse();
        prefill.respondHead(200);
        prefill.respondBody("kv1");
        prefill.handler.onComplete();
        assertThat(entry.lastSent().request.headers().get("Cache")).isEqualTo("kv1");
        respondFully(entry.lastSent(), 1);
        assertCompleteAfter(response[0], 1);
    }

    /* Guards against a KV cache that is fetched by two engines, or released while one of them fetches it. */
    @Example
    void aReplacementDoesNotUseTheKvCacheThatTheOldAttemptFetches() {
        for (boolean replacementWins : List.of(true, false)) {
            DirectFixture entry = new DirectFixture(DirectFixture.patientRoute(RequestKind.STREAM, 2))
                    .becomeReady()
                    .addUpstream("p", Role.ROLE_PREFILL)
                    .addUpstream("d1", Role.ROLE_DECODE)
                    .addUpstream("d2", Role.ROLE_DECODE)
                    .reportPrefillTimes("p", Role.ROLE_PREFILL, 5, 5)
                    .reportPrefillTimes("d1", Role.ROLE_DECODE, 5, 16);
            List<DirectFixture.CallerResponse> warm = new ArrayList<>();
            warm.add(startStream(entry, "w1"));
            warm.add(startStream(entry, "w2"));
            DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "9000", "Deadline", "8000");
            entry.lastSent().respondHead(200);
            entry.lastSent().respondBody("kv1");
            entry.lastSent().handler.onComplete();
            DirectFixture.SentRequest old = entry.lastSent();
            assertThat(old.request.headers().get("Cache")).isEqualTo("kv1");
            old.respondSealedHead(200);
            old.respondBody(event(1));
            for (int round = 2; entry.sentRequests.size() < 5 && round < 20; round++) {
                String next = event(round);
                entry.advance(100);
                entry.sentRequests.subList(0, 2).forEach(sent -> sent.respondBody(next));
            }
            DirectFixture.SentRequest replacement = entry.lastSent();
            assertThat(replacement.request.headers().contains("Cache")).isFalse();
            respondFully(replacementWins ? replacement : old, 2);
            assertCompleteAfter(response, 2);
            assertThat(entry.lastSent().request.method()).isEqualTo(replacementWins ? "DELETE" : "POST");
        }
    }

    // ---- time in which this process did not look

    /* Guards against sound streams that are cancelled as this process stood still and had not read its sockets. */
    @Example
    void timeInWhichTheEntryStoodStillIsNoSilenceOfItsUpstreams() {
        DirectFixture entry = entry(3, "u1", "u2", "u3");
        List<DirectFixture.CallerResponse> responses = startStreams(entry, 8);
        entry.advance(90);
        entry.standStill(1_200);
        entry.advance(5);
        assertThat(entry.sentRequests).hasSize(8);
        for (DirectFixture.SentRequest sent : entry.sentRequests) {
            sent.respondBody(event(2));
            sent.handler.onComplete();
        }
        responses.forEach(response -> assertCompleteAfter(response, 2));
    }

    /* Guards against a dark engine that is never noticed by an entry that has stood still. */
    @Example
    void silenceIsNoticedAfterTheEntryStoodStill() {
        DirectFixture entry = entry(3, "u1", "u2");
        startStream(entry, "a");
        entry.standStill(1_200);
        entry.advance(1_150);
        assertThat(entry.sentRequests).hasSize(2);
    }
}
