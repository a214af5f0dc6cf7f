package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Tests which upstream is selected under the load patterns of the first deployments. */
class UpstreamSelectorTest {

    /** Milliseconds after which no request waits in the admission queue any more. */
    private static final long MAX_QUEUE_MILLIS = 200;

    private static DirectFixture fleet(int prefill, int decode) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).becomeReady();
        // An entry that has just started queues calls for upstreams that it has not discovered yet.
        entry.advance(5_000);
        for (int index = 0; index < prefill; index++) {
            entry.addUpstream("p" + index, Role.ROLE_PREFILL);
        }
        for (int index = 0; index < decode; index++) {
            entry.addUpstream("d" + index, Role.ROLE_DECODE);
        }
        // Engines that prefill 85 tokens per millisecond, and half as many beside streams.
        if (prefill > 0) {
            entry.reportPrefillTimes("p0", Role.ROLE_PREFILL, 5, 1_000 / 85.0);
        }
        entry.reportPrefillTimes("d0", Role.ROLE_DECODE, 5, 2_000 / 85.0);
        return entry;
    }

    /*
     * Guards against stream pauses that exceed the limit of callers: engines that generate prefill a burst of prompts
     * between the tokens of their streams. Only a short backlog is allowed there; the other prompts go to the prefill
     * engines.
     */
    @Example
    void aBurstOfPromptsLeavesEnginesThatGenerateNearlyIdle() {
        DirectFixture entry = fleet(2, 2);
        for (int index = 0; index < 12; index++) {
            streamWithPause(entry, "s" + index);
        }
        entry.sentRequests.clear();
        for (int index = 0; index < 60; index++) {
            entry.sendRequest("r" + index, "Tokens", "2000");
        }
        entry.advance(MAX_QUEUE_MILLIS);
        Map<String, Integer> counts = new HashMap<>();
        entry.sentRequests.forEach(sent -> counts.merge(sent.upstream, 1, Integer::sum));
        assertThat(counts.getOrDefault("d0", 0)).isLessThanOrEqualTo(2);
        assertThat(counts.getOrDefault("d1", 0)).isLessThanOrEqualTo(2);
        // 2,000 tokens take 24 ms, so about seven of them are a queue of 150 ms for the next.
        assertThat(counts.get("p0")).isBetween(6, 9);
        assertThat(counts.get("p1")).isBetween(6, 9);
    }

    /** Runs a stream with a pause that is nearly as long as callers accept. */
    private static void streamWithPause(DirectFixture entry, String id) {
        entry.sendRequest(id, "Tokens", "20");
        DirectFixture.SentRequest sent = entry.lastSent();
        sent.respondSealedHead(200);
        for (int event = 1; event <= 5; event++) {
            sent.respondBody("id: " + event + "\ndata: a\n\n");
            entry.advance(event == 3 ? DirectFixture.PAUSE_MILLIS - 10 : 20);
        }
        sent.handler.onComplete();
    }

    /*
     * Guards against late answers from fully used engines, where each prompt is prefilled after half a second of
     * others. A prompt that would wait for longer than 150 ms is refused after a short wait.
     */
    @Example
    void aPromptThatWouldWaitTooLongIsRefused() {
        DirectFixture entry = fleet(1, 1);
        DirectFixture.CallerResponse answer = entry.sendRequest("r", "Tokens", "4000");
        for (int index = 0; index < 20 && answer.status == 0; index++) {
            answer = entry.sendRequest("r" + index, "Tokens", "4000");
        }
        entry.advance(MAX_QUEUE_MILLIS);
        assertThat(answer.status).isEqualTo(503);
        assertThat(entry.sentRequests).hasSizeBetween(3, 6);
        assertThat(answer.headers.get("Retry-After")).isNotNull();
    }

    /*
     * The engine that has cached the shared segment is busy, so the next request with that segment goes to another
     * engine. It must not prefill the same 5,000 tokens again in 60 ms, but fetch them in 10.
     */
    @Example
    void anEngineFetchesMissingSharedSegmentsFromTheEngineThatHasCachedThem() {
        DirectFixture entry = fleet(2, 1);
        entry.sendRequest("warm", "Tokens", "100", "Shared", "10");
        entry.sendRequest("first", "Tokens", "6000", "Shared", "5000");
        DirectFixture.SentRequest first = entry.lastSent();
        entry.advance(100);
        first.respond(200, "handle");
        DirectFixture.SentRequest next = first;
        for (int index = 0; next.upstream.equals(first.upstream) && index < 20; index++) {
            entry.sendRequest("r" + index, "Tokens", "6000", "Shared", "5000");
            next = entry.lastSent();
        }
        assertThat(next.upstream).isNotEqualTo(first.upstream);
        assertThat(next.request.headers().get("Parts-From"))
                .isEqualTo(DirectFixture.address(first.upstream).value());
    }

    /*
     * Guards against an answer that is 0.5 s late because its engine was told to fetch a shared segment from another
     * one that had not prefilled it yet, and had to prefill all of it. A segment that is still being prefilled is no
     * source for other engines.
     */
    @Example
    void aSegmentThatIsStillBeingPrefilledIsNotFetched() {
        DirectFixture entry = fleet(2, 1);
        entry.sendRequest("first", "Tokens", "6000", "Shared", "5000");
        String first = entry.lastSent().upstream;
        for (int index = 0; index < 20; index++) {
            entry.sendRequest("r" + index, "Tokens", "6000", "Shared", "5000");
            DirectFixture.SentRequest next = entry.lastSent();
            assertThat(next.upstream.equals(first) || !next.request.headers().contains("Parts-From"))
                    .isTrue();
        }
    }

    /*
     * Guards against every engine prefilling the same 5,000 shared tokens. Requests with a common prefix go to one
     * engine as long as they are not late there.
     */
    @Example
    void requestsWithACommonPrefixGoToOneEngineWhileTheyAreInTime() {
        DirectFixture entry = fleet(4, 1);
        entry.sendRequest("warm", "Tokens", "100");
        entry.sendRequest("r0", "Tokens", "6000", "Shared", "5000");
        String home = entry.lastSent().upstream;
        entry.sendRequest("r1", "Tokens", "5500", "Shared", "5000");
        assertThat(entry.lastSent().upstream).isEqualTo(home);
    }

    /*
     * Guards against streams refused for lack of slots while prefill engines are idle: each short prompt is prefilled
     * by an engine that generates, delays all its streams for twice the time, and their slots are released later.
     */
    @Example
    void aShortPromptAvoidsAnEngineWithManyStreams() {
        DirectFixture entry = fleet(1, 1);
        for (int index = 0; index < 4; index++) {
            entry.sendRequest("r" + index, "Tokens", "900");
            assertThat(entry.lastSent().upstream).isEqualTo("d0");
            entry.lastSent().respondSealedHead(200);
            entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        }
        entry.sendRequest("next", "Tokens", "900");
        assertThat(entry.lastSent().upstream).isEqualTo("p0");
    }

    /*
     * Guards against prefilling shared segments again and again: prefill engines evict them within seconds, and if each
     * stream continued at a different engine, none of the engines with enough memory would have cached them for the
     * next request.
     */
    @Example
    void streamsWithACommonPrefixContinueAtTheSameEngine() {
        DirectFixture entry = fleet(1, 4);
        Set<String> engines = new HashSet<>();
        for (int index = 0; index < 4; index++) {
            entry.sendRequest("r" + index, "Tokens", "12000", "Shared", "5000");
            entry.lastSent().respond(200, "handle" + index);
            assertThat(entry.lastSent().request.headers().get("Cache")).isEqualTo("handle" + index);
            engines.add(entry.lastSent().upstream);
        }
        assertThat(engines).hasSize(1);
    }

    /*
     * Guards against sending more streams to engines than they have slots: engines then preempt running requests and
     * prefill their prompts again, and all streams slow down until long after a burst. A stream without a slot is
     * refused with a time to retry.
     */
    @Example
    void streamsBeyondTheAvailableSlotsAreRefusedWithARetryTime() {
        DirectFixture entry = fleet(1, 1);
        DirectFixture.CallerResponse answer = entry.sendRequest("r", "Tokens", "100");
        for (int index = 0; index < 20; index++) {
            answer = entry.sendRequest("r" + index, "Tokens", "100");
        }
        entry.advance(MAX_QUEUE_MILLIS);
        long onDecode = entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("d0"))
                .count();
        assertThat(onDecode).isLessThanOrEqualTo(6);
        entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("d0"))
                .forEach(sent -> sent.respondSealedHead(200));
        assertThat(answer.status).isIn(0, 503);
        DirectFixture.CallerResponse last = entry.sendRequest("last", "Tokens", "100");
        entry.advance(MAX_QUEUE_MILLIS);
        assertThat(last.headers.get("Retry-After")).isEqualTo("1.0");
    }

    /*
     * Guards against refusals during clustered arrivals: for a few milliseconds there is no free slot, although the
     * next one is released 20 ms later.
     */
    @Example
    void aStreamWaitsBrieflyForASlot() {
        DirectFixture entry = fleet(0, 1);
        for (int index = 0; index < 6; index++) {
            entry.sendRequest("r" + index, "Tokens", "10");
        }
        DirectFixture.CallerResponse waiting = entry.sendRequest("waiting", "Tokens", "10");
        int before = entry.sentRequests.size();
        entry.advance(20);
        assertThat(entry.sentRequests).hasSize(before);
        assertThat(waiting.status).isZero();
        entry.sentRequests.getFirst().respond(200, "id: 1\ndata: a\n\n");
        entry.advance(20);
        assertThat(entry.sentRequests).hasSize(before + 1);
    }

    /*
     * Guards against losing a stream that the caller has received in part: its engine failed, and because all slots of
     * the other engines were in use, it was refused like a new request.
     */
    @Example
    void aStreamThatHasBegunContinuesAlthoughAllSlotsAreInUse() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, true)).becomeReady();
        entry.addUpstream("d0", Role.ROLE_DECODE);
        DirectFixture.CallerResponse answer = entry.sendRequest("first", "Tokens", "100");
        DirectFixture.SentRequest first = entry.lastSent();
        first.respondSealedHead(200);
        first.respondBody("id: 1\ndata: a\n\n");
        entry.addUpstream("d1", Role.ROLE_DECODE);
        for (int index = 0; index < 30; index++) {
            entry.sendRequest("r" + index, "Tokens", "100");
        }
        first.handler.onFailed(true, "reset");
        assertThat(entry.lastSent().upstream).isEqualTo("d1");
        assertThat(answer.aborted).isFalse();
    }

    @Example
    void withoutPrefillEnginesTheOtherEnginesPrefillAllPrompts() {
        DirectFixture entry = fleet(0, 2);
        for (int index = 0; index < 6; index++) {
            entry.sendRequest("r" + index, "Tokens", "2000");
        }
        entry.advance(MAX_QUEUE_MILLIS);
        assertThat(entry.sentRequests).hasSize(6);
    }
}
