package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.cuminshelf.message.Role;
import org.cuminshelf.routes.RequestKind;

/** Where requests go under the load patterns of the first users. */
class UpstreamSelectorTest {

    /** Milliseconds after which no request waits at the entry any more. */
    private static final long PATIENCE_OVER = 200;

    private static DirectFixture fleet(int prefill, int decode) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).becomeReady();
        // Long after its start: a young entry waits for upstreams that it has not heard of.
        entry.advance(5_000);
        for (int index = 0; index < prefill; index++) {
            entry.addUpstream("p" + index, Role.ROLE_PREFILL);
        }
        for (int index = 0; index < decode; index++) {
            entry.addUpstream("d" + index, Role.ROLE_DECODE);
        }
        // Engines that read 85 tokens a millisecond, half as many beside streams.
        if (prefill > 0) {
            entry.reportPrefillTimes("p0", Role.ROLE_PREFILL, 5, 1_000 / 85.0);
        }
        entry.reportPrefillTimes("d0", Role.ROLE_DECODE, 5, 2_000 / 85.0);
        return entry;
    }

    /*
     * Streams pause for longer than callers bear: a burst of prompts is taken in by the engines that generate, in
     * between their tokens. Only a little may wait there; the rest goes to the engines kept for prompts.
     */
    @Example
    void aBurstOfPromptsLeavesTheEnginesThatGenerateNearlyFree() {
        DirectFixture entry = fleet(2, 2);
        for (int index = 0; index < 12; index++) {
            pausingStream(entry, "s" + index);
        }
        entry.sentRequests.clear();
        for (int index = 0; index < 60; index++) {
            entry.sendRequest("r" + index, "Tokens", "2000");
        }
        entry.advance(PATIENCE_OVER);
        Map<String, Integer> counts = new HashMap<>();
        entry.sentRequests.forEach(sent -> counts.merge(sent.upstream, 1, Integer::sum));
        assertThat(counts.getOrDefault("d0", 0)).isLessThanOrEqualTo(2);
        assertThat(counts.getOrDefault("d1", 0)).isLessThanOrEqualTo(2);
        // 2,000 tokens take 24 ms, so that some seven of them make 150 ms for the next.
        assertThat(counts.get("p0")).isBetween(6, 9);
        assertThat(counts.get("p1")).isBetween(6, 9);
    }

    /** A stream that pauses for nearly as long as callers bear. */
    private static void pausingStream(DirectFixture entry, String id) {
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
     * Every answer is late though engines are as busy as they can be: each prompt is taken in after half a second of
     * others. What would wait for longer than 150 ms is refused once a short wait did not help.
     */
    @Example
    void aPromptThatWouldWaitForManyOthersIsRefused() {
        DirectFixture entry = fleet(1, 1);
        DirectFixture.CallerResponse answer = entry.sendRequest("r", "Tokens", "4000");
        for (int index = 0; index < 20 && answer.status == 0; index++) {
            answer = entry.sendRequest("r" + index, "Tokens", "4000");
        }
        entry.advance(PATIENCE_OVER);
        assertThat(answer.status).isEqualTo(503);
        assertThat(entry.sentRequests).hasSizeBetween(3, 6);
        assertThat(answer.headers.get("Retry-After")).isNotNull();
    }

    /*
     * The engine that holds the shared part of a subject is busy, so the next request of the subject goes to another,
     * which reads the same 5,000 tokens again for 60 ms instead of fetching them in 10.
     */
    @Example
    void anEngineFetchesTheSharedPartsThatItLacksFromTheOneThatHoldsThem() {
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
     * An answer comes 0.5 s late: its engine was to fetch the shared part from another, which had not read it yet, and
     * had to read all of it. A part that is still being read is no source for others.
     */
    @Example
    void aPartThatIsStillBeingReadIsNotFetched() {
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
     * The same 5,000 tokens of a subject are read again by every engine. Requests of one subject keep to one engine as
     * long as it is not late there.
     */
    @Example
    void requestsOfOneSubjectKeepToOneEngineWhileItIsNotLate() {
        DirectFixture entry = fleet(4, 1);
        entry.sendRequest("warm", "Tokens", "100");
        entry.sendRequest("r0", "Tokens", "6000", "Shared", "5000");
        String home = entry.lastSent().upstream;
        entry.sendRequest("r1", "Tokens", "5500", "Shared", "5000");
        assertThat(entry.lastSent().upstream).isEqualTo(home);
    }

    /*
     * Streams are refused for want of places while engines for prompts are idle: each short prompt is taken in by an
     * engine that generates, delays all its streams for twice the time, and their places come free later.
     */
    @Example
    void aShortPromptKeepsOffAnEngineCrowdedWithStreams() {
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
     * Shared parts are read over and over: engines in the prefill role drop them within seconds, and each stream goes
     * on at another engine, so that none of those that have room for the parts holds them when they are next asked for.
     */
    @Example
    void streamsOfOneSubjectGoOnAtTheSameEngine() {
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
     * Engines put running requests back and read their prompts again, and all streams slow down, long after a burst:
     * more streams were sent to them than they have places. What has no place is refused at once, with a time to come
     * back.
     */
    @Example
    void moreStreamsThanThereArePlacesAreRefusedWithATimeToComeBack() {
        DirectFixture entry = fleet(1, 1);
        DirectFixture.CallerResponse answer = entry.sendRequest("r", "Tokens", "100");
        for (int index = 0; index < 20; index++) {
            answer = entry.sendRequest("r" + index, "Tokens", "100");
        }
        entry.advance(PATIENCE_OVER);
        long onDecode = entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("d0"))
                .count();
        assertThat(onDecode).isLessThanOrEqualTo(6);
        entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("d0"))
                .forEach(sent -> sent.respondSealedHead(200));
        assertThat(answer.status).isIn(0, 503);
        DirectFixture.CallerResponse last = entry.sendRequest("last", "Tokens", "100");
        entry.advance(PATIENCE_OVER);
        assertThat(last.headers.get("Retry-After")).isEqualTo("1.0");
    }

    /*
     * Requests come in clumps: for a few milliseconds there is no place for one more stream, and what came then was
     * refused, though the next place came free 20 ms later.
     */
    @Example
    void aStreamWaitsAMomentForAPlace() {
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
     * A caller loses the half of a stream that it has: its engine died, and as all places of the others were taken, it
     * was refused like a new request.
     */
    @Example
    void aStreamThatHasBegunGoesOnThoughAllPlacesAreTaken() {
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
    void withoutEnginesForPromptsTheOthersTakeThemAll() {
        DirectFixture entry = fleet(0, 2);
        for (int index = 0; index < 6; index++) {
            entry.sendRequest("r" + index, "Tokens", "2000");
        }
        entry.advance(PATIENCE_OVER);
        assertThat(entry.sentRequests).hasSize(6);
    }
}
