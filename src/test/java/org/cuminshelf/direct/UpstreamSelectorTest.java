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
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 1, false)).ready();
        // Long after its start: a young entry waits for upstreams that it has not heard of.
        entry.pass(5_000);
        for (int index = 0; index < prefill; index++) {
            entry.upstream("p" + index, Role.ROLE_PREFILL);
        }
        for (int index = 0; index < decode; index++) {
            entry.upstream("d" + index, Role.ROLE_DECODE);
        }
        // Engines that read 85 tokens a millisecond, half as many beside streams.
        if (prefill > 0) {
            entry.teach("p0", Role.ROLE_PREFILL, 5, 1_000 / 85.0);
        }
        entry.teach("d0", Role.ROLE_DECODE, 5, 2_000 / 85.0);
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
        entry.sent.clear();
        for (int index = 0; index < 60; index++) {
            entry.ask("r" + index, "Tokens", "2000");
        }
        entry.pass(PATIENCE_OVER);
        Map<String, Integer> counts = new HashMap<>();
        entry.sent.forEach(sent -> counts.merge(sent.upstream, 1, Integer::sum));
        assertThat(counts.getOrDefault("d0", 0)).isLessThanOrEqualTo(2);
        assertThat(counts.getOrDefault("d1", 0)).isLessThanOrEqualTo(2);
        // 2,000 tokens take 24 ms, so that some seven of them make 150 ms for the next.
        assertThat(counts.get("p0")).isBetween(6, 9);
        assertThat(counts.get("p1")).isBetween(6, 9);
    }

    /** A stream that pauses for nearly as long as callers bear. */
    private static void pausingStream(DirectFixture entry, String id) {
        entry.ask(id, "Tokens", "20");
        DirectFixture.Sent sent = entry.last();
        sent.sealed(200);
        for (int event = 1; event <= 5; event++) {
            sent.body("id: " + event + "\ndata: a\n\n");
            entry.pass(event == 3 ? DirectFixture.PAUSE_MILLIS - 10 : 20);
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
        DirectFixture.Answer answer = entry.ask("r", "Tokens", "4000");
        for (int index = 0; index < 20 && answer.status == 0; index++) {
            answer = entry.ask("r" + index, "Tokens", "4000");
        }
        entry.pass(PATIENCE_OVER);
        assertThat(answer.status).isEqualTo(503);
        assertThat(entry.sent).hasSizeBetween(3, 6);
        assertThat(answer.headers.get("Retry-After")).isNotNull();
    }

    /*
     * The engine that holds the shared part of a subject is busy, so the next request of the subject goes to another,
     * which reads the same 5,000 tokens again for 60 ms instead of fetching them in 10.
     */
    @Example
    void anEngineFetchesTheSharedPartsThatItLacksFromTheOneThatHoldsThem() {
        DirectFixture entry = fleet(2, 1);
        entry.ask("warm", "Tokens", "100", "Shared", "10");
        entry.ask("first", "Tokens", "6000", "Shared", "5000");
        DirectFixture.Sent first = entry.last();
        entry.pass(100);
        first.whole(200, "handle");
        DirectFixture.Sent next = first;
        for (int index = 0; next.upstream.equals(first.upstream) && index < 20; index++) {
            entry.ask("r" + index, "Tokens", "6000", "Shared", "5000");
            next = entry.last();
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
        entry.ask("first", "Tokens", "6000", "Shared", "5000");
        String first = entry.last().upstream;
        for (int index = 0; index < 20; index++) {
            entry.ask("r" + index, "Tokens", "6000", "Shared", "5000");
            DirectFixture.Sent next = entry.last();
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
        entry.ask("warm", "Tokens", "100");
        entry.ask("r0", "Tokens", "6000", "Shared", "5000");
        String home = entry.last().upstream;
        entry.ask("r1", "Tokens", "5500", "Shared", "5000");
        assertThat(entry.last().upstream).isEqualTo(home);
    }

    /*
     * Streams are refused for want of places while engines for prompts are idle: each short prompt is taken in by an
     * engine that generates, delays all its streams for twice the time, and their places come free later.
     */
    @Example
    void aShortPromptKeepsOffAnEngineCrowdedWithStreams() {
        DirectFixture entry = fleet(1, 1);
        for (int index = 0; index < 4; index++) {
            entry.ask("r" + index, "Tokens", "900");
            assertThat(entry.last().upstream).isEqualTo("d0");
            entry.last().sealed(200);
            entry.last().body("id: 1\ndata: a\n\n");
        }
        entry.ask("next", "Tokens", "900");
        assertThat(entry.last().upstream).isEqualTo("p0");
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
            entry.ask("r" + index, "Tokens", "12000", "Shared", "5000");
            entry.last().whole(200, "handle" + index);
            assertThat(entry.last().request.headers().get("Cache")).isEqualTo("handle" + index);
            engines.add(entry.last().upstream);
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
        DirectFixture.Answer answer = entry.ask("r", "Tokens", "100");
        for (int index = 0; index < 20; index++) {
            answer = entry.ask("r" + index, "Tokens", "100");
        }
        entry.pass(PATIENCE_OVER);
        long onDecode =
                entry.sent.stream().filter(sent -> sent.upstream.equals("d0")).count();
        assertThat(onDecode).isLessThanOrEqualTo(6);
        entry.sent.stream().filter(sent -> sent.upstream.equals("d0")).forEach(sent -> sent.sealed(200));
        assertThat(answer.status).isIn(0, 503);
        DirectFixture.Answer last = entry.ask("last", "Tokens", "100");
        entry.pass(PATIENCE_OVER);
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
            entry.ask("r" + index, "Tokens", "10");
        }
        DirectFixture.Answer waiting = entry.ask("waiting", "Tokens", "10");
        int before = entry.sent.size();
        entry.pass(20);
        assertThat(entry.sent).hasSize(before);
        assertThat(waiting.status).isZero();
        entry.sent.getFirst().whole(200, "id: 1\ndata: a\n\n");
        entry.pass(20);
        assertThat(entry.sent).hasSize(before + 1);
    }

    /*
     * A caller loses the half of a stream that it has: its engine died, and as all places of the others were taken, it
     * was refused like a new request.
     */
    @Example
    void aStreamThatHasBegunGoesOnThoughAllPlacesAreTaken() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, true)).ready();
        entry.upstream("d0", Role.ROLE_DECODE);
        DirectFixture.Answer answer = entry.ask("first", "Tokens", "100");
        DirectFixture.Sent first = entry.last();
        first.sealed(200);
        first.body("id: 1\ndata: a\n\n");
        entry.upstream("d1", Role.ROLE_DECODE);
        for (int index = 0; index < 30; index++) {
            entry.ask("r" + index, "Tokens", "100");
        }
        first.handler.onFailed(true, "reset");
        assertThat(entry.last().upstream).isEqualTo("d1");
        assertThat(answer.aborted).isFalse();
    }

    @Example
    void withoutEnginesForPromptsTheOthersTakeThemAll() {
        DirectFixture entry = fleet(0, 2);
        for (int index = 0; index < 6; index++) {
            entry.ask("r" + index, "Tokens", "2000");
        }
        entry.pass(PATIENCE_OVER);
        assertThat(entry.sent).hasSize(6);
    }
}
