package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A fleet whose callers share segments of their prompts: 40 sound requests a second with one of a few first and middle
 * segments, and requests with a segment that crashes engines, no two of them alike.
 */
final class SegmentDay {

    static final long SECOND = 1_000_000_000L;
    static final long START = 8 * SECOND;
    /** Requests that may reach engines later than {@link #SETTLED_NANOS} after the fifth crash. */
    static final int ALLOWED_LATER = 3;

    private static final int ENTRIES = 3;
    private static final int ENGINES = 8;
    private static final int CRASHES = 5;
    private static final long SETTLED_NANOS = 3 * SECOND;
    /** Time before the end of a day from which on a crash is not counted, so that what follows it is seen. */
    private static final long LEAST_OBSERVED_NANOS = 12 * SECOND;

    private static final int FIRST_SEGMENTS = 3;
    private static final int MIDDLE_SEGMENTS = 12;
    private static final long SOUND_EVERY_NANOS = SECOND / 40;
    private static final long POISON_EVERY_NANOS = SECOND / 6;
    private static final long RETURN_NANOS = SECOND / 2;
    private static final long RESTART_MILLIS = 500;

    final DirectFleet fleet;
    private final long seed;
    private final String poisonPath;
    private final List<DirectFleet.Call> sound = new ArrayList<>();
    private final List<DirectFleet.Call> returned = new ArrayList<>();
    private final List<DirectFleet.Call> poison = new ArrayList<>();
    private int firstSegments = FIRST_SEGMENTS;
    private int nextRequest;

    SegmentDay(long seed) {
        this(seed, ENTRIES, ENGINES);
    }

    SegmentDay(long seed, int entries, int engines) {
        this.seed = seed;
        this.fleet = new DirectFleet(seed, entries, engines);
        this.poisonPath = seed % 2 == 0 ? DirectFleet.RESUMABLE : DirectFleet.ONCE;
        fleet.time.at(START, this::askSound);
    }

    void oneFirstSegment() {
        firstSegments = 1;
    }

    private String first() {
        return "first-" + fleet.random.nextInt(firstSegments);
    }

    private String middle() {
        return "middle-" + fleet.random.nextInt(MIDDLE_SEGMENTS);
    }

    /** A sound caller, which asks once more where it failed. */
    private void askSound() {
        String path = fleet.random.nextBoolean() ? DirectFleet.RESUMABLE : DirectFleet.ONCE;
        List<String> segments = List.of(first(), middle());
        String body = "sound-" + nextRequest++;
        Consumer<DirectFleet.Call> again = call -> {
            if (!call.isServed()) {
                fleet.time.after(
                        RETURN_NANOS,
                        () -> returned.add(fleet.ask(fleet.anyEntry(), path, body, segments, second -> {})));
            }
        };
        sound.add(fleet.ask(fleet.anyEntry(), path, body, segments, again));
        fleet.time.after(SOUND_EVERY_NANOS, this::askSound);
    }

    /** Sends requests whose middle segment crashes engines. */
    void poisonInTheMiddle(long from, String segment) {
        fleet.records.poisonSegments.add(segment);
        askWithSegmentAt(from, segment);
    }

    /** Sends requests with a middle segment. */
    void askWithSegmentAt(long from, String segment) {
        fleet.time.at(from, () -> {
            askPoison(List.of(first(), segment));
            askWithSegmentAt(fleet.time.now() + POISON_EVERY_NANOS, segment);
        });
    }

    /** Sends requests whose first segment crashes engines. */
    void poisonAtTheStart(long from, String segment) {
        fleet.records.poisonSegments.add(segment);
        fleet.time.at(from, () -> {
            askPoison(List.of(segment, middle()));
            poisonAtTheStart(fleet.time.now() + POISON_EVERY_NANOS, segment);
        });
    }

    private void askPoison(List<String> segments) {
        poison.add(fleet.ask(fleet.anyEntry(), poisonPath, "request-" + nextRequest++, segments, call -> {}));
    }

    /** Has a caller send a poison request again and again. */
    void returningPoisonRequest(long from) {
        fleet.time.at(
                from,
                () -> fleet.ask(
                        fleet.anyEntry(),
                        poisonPath,
                        CrashingEngine.POISON,
                        List.of(first(), middle()),
                        call -> returningPoisonRequest(fleet.time.now() + RETURN_NANOS)));
    }

    /** Crashes engines at random times. */
    void crashByChance(int crashes, long from, long until) {
        for (int crash = 0; crash < crashes; crash++) {
            CrashingEngine engine = fleet.engines.get(fleet.random.nextInt(fleet.engines.size()));
            fleet.time.at(from + fleet.random.nextLong(until - from), () -> crash(engine));
        }
    }

    /** Crashes all engines, with a time between two. */
    void crashAll(long from, long everyNanos) {
        for (int engine = 0; engine < fleet.engines.size(); engine++) {
            CrashingEngine next = fleet.engines.get(engine);
            fleet.time.at(from + engine * everyNanos, () -> crash(next));
        }
    }

    private static void crash(CrashingEngine engine) {
        if (engine.isUp()) {
            engine.crash();
        }
    }

    /** Does something once engines have crashed so often under requests with such segments. */
    void afterCrashes(int count, Runnable action) {
        fleet.records.afterCrash(number -> {
            if (number == count) {
                fleet.time.after(SECOND / 10, action);
            }
        });
    }

    void restartAnEntryAfterEachSecondCrash() {
        fleet.records.afterCrash(number -> {
            if (number % 2 == 0) {
                fleet.time.after(SECOND / 10, () -> fleet.restartEntry(fleet.anyEntry(), RESTART_MILLIS));
            }
        });
    }

    void runUntil(long second) {
        fleet.time.runUntil(second * SECOND);
        System.out.printf(
                "seed %d: engines crashed under segments: %d, requests with them: %d; sound: %d, served: %d, "
                        + "refused as poison: %d, as quarantined: %d%n",
                seed,
                fleet.records.crashes.size(),
                poison.size(),
                sound.size(),
                sound.stream().filter(DirectFleet.Call::isServed).count(),
                sound.stream().filter(DirectFleet.Call::isRefusedAsPoison).count(),
                sound.stream().filter(DirectFleet.Call::isQuarantined).count());
    }

    private long fifthCrash(String segment) {
        List<Long> crashes = fleet.records.crashesUnder(segment);
        return crashes.size() < CRASHES ? Long.MAX_VALUE - SETTLED_NANOS : crashes.get(CRASHES - 1);
    }

    long requestsAfter(String segment, long time) {
        return fleet.records.arrivals.stream()
                .filter(arrival -> arrival.segment().equals(segment) && arrival.at() > time)
                .map(CrashingEngine.Arrival::request)
                .distinct()
                .count();
    }

    void assertStopped(String segment) {
        assertThat(requestsAfter(segment, fifthCrash(segment) + SETTLED_NANOS))
                .as(
                        "requests with %s that reached engines later than 3 s after the fifth crash, seed %d; %d"
                                + " crashed",
                        segment, seed, fleet.records.crashesUnder(segment).size())
                .isLessThanOrEqualTo(ALLOWED_LATER);
        assertThat(poison.getLast().askedAt).isGreaterThan(fleet.time.now() - SECOND);
    }

    /** Checks that from 6 s after the fifth crash on sound requests begin at least half as often as before. */
    void assertOthersAreServed(String segment) {
        List<Long> crashes = fleet.records.crashesUnder(segment).stream()
                .filter(at -> at < fleet.time.now() - LEAST_OBSERVED_NANOS)
                .toList();
        long decided = crashes.get(Math.min(CRASHES, crashes.size()) - 1) + 2 * SETTLED_NANOS;
        double before = begunShare(START + SECOND, crashes.getFirst() - SECOND);
        double after = begunShare(decided, fleet.time.now() - SECOND);
        assertThat(after)
                .as("sound requests that began at the first attempt, before %.2f, seed %d", before, seed)
                .isGreaterThanOrEqualTo(before / 2);
        assertNothingIsQuarantined();
    }

    /** Checks that no sound stream is wrong, joined, run twice, or refused after it ran. */
    void assertAnswersAreWhole() {
        List<AnswerAudit.Finding> findings = AnswerAudit.of(fleet, sound).findings();
        assertThat(findings.stream().filter(finding -> OrderlyCrashTest.WRONG.contains(finding.loss())))
                .as("seed %d", seed)
                .isEmpty();
    }

    private double begunShare(long from, long until) {
        List<DirectFleet.Call> asked = sound.stream()
                .filter(call -> call.askedAt >= from && call.askedAt < until)
                .toList();
        long begun = asked.stream().filter(call -> call.status == 200).count();
        return (double) begun / asked.size();
    }

    void assertNothingIsQuarantined() {
        assertThat(sound.stream()
                        .filter(DirectFleet.Call::isQuarantined)
                        .map(call -> call.body.toString())
                        .distinct())
                .as("refusals of sound requests in quarantine, seed %d", seed)
                .isEmpty();
        assertThat(returned)
                .as("sound requests in quarantine at their return, seed %d", seed)
                .noneMatch(DirectFleet.Call::isQuarantined);
    }
}
