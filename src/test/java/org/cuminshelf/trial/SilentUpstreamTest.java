package org.cuminshelf.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import net.jqwik.api.Example;

/**
 * Guards against answers that are ended because a sound upstream is silent for a while, and against streams that wait
 * on a dead connection for ever. Callers leave a stream after 2 s without an event.
 */
class SilentUpstreamTest {

    /** Seeds in CI; more by hand with -Dsilent.seeds=50. */
    private static final int SEEDS = Integer.getInteger("silent.seeds", 3);

    private static final int SHORTEST_MILLIS = 300;
    private static final int SHORT_MILLIS = 1_000;
    private static final int LONGEST_MILLIS = 2_000;
    private static final int FEWEST_STEPS_PUT_OFF = 100;
    private static final int PRINTED_FINDINGS = 3;
    private static final long[] SEEDS_WITH_FEW_WAITING_REQUESTS = {11, 13, 32, 39, 47};

    /** Silences of at most a second, after which every caller that still waits must be answered. */
    private static void assertNothingLost(String what, Consumer<SilentDay> disturbances) {
        assertNothingLost(what, seed -> SilentDay.of(seed, SHORTEST_MILLIS, SHORT_MILLIS), disturbances);
    }

    private static void assertNothingLost(String what, LongFunction<SilentDay> days, Consumer<SilentDay> disturbances) {
        assertNothingLost(what, days, disturbances, SilentDay::audit);
    }

    private static void assertNothingLost(
            String what,
            LongFunction<SilentDay> days,
            Consumer<SilentDay> disturbances,
            Function<SilentDay, AnswerAudit> audit) {
        List<AnswerAudit.Finding> findings = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            SilentDay day = days.apply(seed);
            disturbances.accept(day);
            List<AnswerAudit.Finding> ofDay = audit.apply(day.run()).findings();
            System.out.println("silent upstreams, " + what + ", seed " + seed + ": " + day.summary() + ", found "
                    + AnswerAudit.counts(ofDay));
            ofDay.stream().limit(PRINTED_FINDINGS).forEach(System.out::println);
            assertThat(day.served()).as("served, seed %d", seed).isGreaterThan(day.calls.size() / 2);
            findings.addAll(ofDay);
        }
        System.out.println(
                "silent upstreams, " + what + ", " + SEEDS + " seeds, found " + AnswerAudit.counts(findings));
        assertThat(findings.stream().limit(PRINTED_FINDINGS))
                .as("%s", AnswerAudit.counts(findings))
                .isEmpty();
    }

    private static void silenceAgain(SilentDay day, SilentDay.Disturbance disturbance) {
        day.again(700, 2_500, disturbance);
    }

    @Example
    void noCallIsLostWhileOneEngineIsSilent() {
        assertNothingLost("one engine", day -> silenceAgain(day, it -> it.silence(1, EngineSilence.Scope.EVERYTHING)));
    }

    /** Guards against attempts that are ended though there is nowhere else to go. */
    @Example
    void noCallIsLostWhileTheOnlyEngineIsSilent() {
        assertNothingLost(
                "the only engine",
                seed -> SilentDay.ofOneEngine(seed, SHORTEST_MILLIS, SHORT_MILLIS),
                day -> silenceAgain(day, SilentDay::silenceSomehow));
    }

    @Example
    void noCallIsLostWhileAllEnginesButOneAreSilent() {
        assertNothingLost("all engines but one", day -> silenceAgain(day, SilentDay::silenceAllButOne));
    }

    @Example
    void noCallIsLostWhileAllEnginesAreSilent() {
        assertNothingLost("all engines", day -> silenceAgain(day, SilentDay::silenceAll));
    }

    @Example
    void noCallIsLostWhileOneEngineFallsSilentAgainAndAgain() {
        assertNothingLost("one engine again and again", day -> day.again(300, 1_300, SilentDay::silenceFirst));
    }

    @Example
    void noCallIsLostThroughSilenceBeforeTheHead() {
        assertNothingLost(
                "before the head", day -> silenceAgain(day, it -> it.silence(2, EngineSilence.Scope.BEFORE_HEAD)));
    }

    @Example
    void noCallIsLostThroughSilenceBetweenEvents() {
        assertNothingLost(
                "between events", day -> silenceAgain(day, it -> it.silence(2, EngineSilence.Scope.BETWEEN_EVENTS)));
    }

    @Example
    void noCallIsLostThroughSilenceBeforeWholeAnswers() {
        assertNothingLost(
                "whole answers", day -> silenceAgain(day, it -> it.silence(2, EngineSilence.Scope.WHOLE_ANSWERS)));
    }

    @Example
    void noCallIsLostThroughSilenceToSomeRequests() {
        assertNothingLost(
                "some requests", day -> silenceAgain(day, it -> it.silence(4, EngineSilence.Scope.SOME_REQUESTS)));
    }

    /** Guards against calls that are ended while a configuration comes in force. */
    @Example
    void noCallIsLostThroughSilenceBesideChangesOfTheConfiguration() {
        assertNothingLost(
                "beside changes of the configuration",
                seed -> SilentDay.ofTwoServices(seed, SHORTEST_MILLIS, SHORT_MILLIS),
                day -> {
                    silenceAgain(day, SilentDay::silenceSomehow);
                    day.again(500, 2_000, SilentDay::reconfigure);
                });
    }

    /** Guards against calls that are ended because no retry is left, and against more retries than are allowed. */
    @Example
    void noCallIsLostWhereTheServiceAllowsFewRetries() {
        assertNothingLost(
                "few retries",
                seed -> SilentDay.ofFewRetries(seed, SHORTEST_MILLIS, SHORT_MILLIS),
                day -> silenceAgain(day, SilentDay::silenceAll));
    }

    /** Guards against streams that are taken for silent because their entry did not read its sockets. */
    @Example
    void noCallOfALivingEntryIsLostWhereEntriesRestartOrStandStill() {
        assertNothingLost("entries restart or stand still", day -> {
            silenceAgain(day, SilentDay::silenceSomehow);
            day.again(500, 2_000, SilentDay::disturbEntry);
        });
    }

    @Example
    void noCallIsLostWhereAllOfItHappensAtOnce() {
        assertNothingLost("all at once", day -> {
            silenceAgain(day, SilentDay::silenceSomehow);
            day.again(300, 1_300, SilentDay::silenceFirst);
            day.again(500, 2_000, SilentDay::reconfigure);
            day.again(500, 2_000, SilentDay::disturbEntry);
        });
    }

    /** Guards against all prompts being prefilled anew because the network or all engines paused. */
    @Example
    void silenceOfAllEnginesAtOnceMakesNoPromptBePrefilledAgain() {
        assertNothingLost(
                "all engines, prompts",
                seed -> SilentDay.of(seed, SHORTEST_MILLIS, LONGEST_MILLIS),
                day -> day.again(3_000, 4_000, SilentDay::silenceAll),
                day -> day.audit().expectEachPromptOnce());
    }

    /** Guards against the same where an entry has requests at one engine only and can't tell that all are silent. */
    @Example
    void silenceOfAllEnginesMakesNoPromptBePrefilledAgainWhereFewRequestsWait() {
        for (long seed : SEEDS_WITH_FEW_WAITING_REQUESTS) {
            SilentDay day = SilentDay.of(seed, SHORTEST_MILLIS, LONGEST_MILLIS);
            day.again(3_000, 4_000, SilentDay::silenceAll);
            AnswerAudit audit = day.run().audit().expectEachPromptOnce();
            assertThat(audit.findings()).as("seed %d", seed).isEmpty();
        }
    }

    /**
     * Guards against a mend of the above that waits for ever. Only streams that have begun are asserted: a caller who
     * has heard nothing yet can't tell a dead connection from a long prompt.
     */
    @Example
    void callsOnADeadConnectionGoOnElsewhereInTime() {
        assertNothingLost(
                "dead connections",
                seed -> SilentDay.of(seed, SHORTEST_MILLIS, SHORT_MILLIS),
                day -> day.again(300, 600, SilentDay::killConnection),
                day -> day.audit().expectStreamsToBeResumed().expectIdempotentRequestsToBeRepeated());
    }

    /**
     * Silences of one engine of four at a time, each of which a stream meets once: the entry ends no answer, as the
     * engine goes on; and no caller of a stream that may be resumed and has begun leaves with an attempt to spare, as
     * another engine takes a tenth of a second to go on.
     */
    @Example
    void noStreamIsLostThroughSilencesOfUpToTwoSeconds() {
        assertNothingLost(
                "two seconds",
                seed -> SilentDay.of(seed, SHORT_MILLIS, LONGEST_MILLIS),
                day -> day.again(3_500, 4_500, it -> it.silence(1, EngineSilence.Scope.EVERYTHING)),
                day -> day.audit().expectStreamsToBeResumed());
    }

    /** Guards against tests that pass because no request met a silence. */
    @Example
    void theSilencesAreMet() {
        SilentDay day = SilentDay.of(1, SHORTEST_MILLIS, SHORT_MILLIS);
        silenceAgain(day, SilentDay::silenceSomehow);
        assertThat(day.run().stepsPutOff()).isGreaterThan(FEWEST_STEPS_PUT_OFF);
    }
}
