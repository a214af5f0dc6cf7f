package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.routes.RequestKind;

/** Tests upstreams that answer requests with errors while their health checks pass. */
class UpstreamOutliersTest {

    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String BAD = "u1";
    /** Time between two requests, and time in which a sound upstream answers one. */
    private static final long INTERVAL_MILLIS = 20;

    private static final long ANSWER_MILLIS = 60;

    /** Decides whether an upstream fails its n-th request, and does so at once. */
    private interface Faults {
        boolean fails(String upstream, int number);
    }

    /** Requests at a constant rate, and upstreams that answer them. */
    private static final class Traffic {
        private final DirectFixture entry;
        private final String[] headers;
        private final Map<String, Integer> counts = new HashMap<>();
        private final Map<DirectFixture.SentRequest, Long> running = new HashMap<>();
        private int handled;
        private int number;

        private Traffic(DirectFixture entry, String... headers) {
            this.entry = entry;
            this.headers = headers;
        }

        private void run(long millis, Faults faults) {
            counts.clear();
            for (long end = entry.now + Durations.nanos(millis); entry.now < end; ) {
                entry.sendRequest("r" + number++, headers);
                answer(faults);
                entry.advance(INTERVAL_MILLIS);
            }
        }

        private void answer(Faults faults) {
            for (DirectFixture.SentRequest sent : List.copyOf(running.keySet())) {
                if (entry.now >= running.get(sent)) {
                    running.remove(sent);
                    sent.respond(200, headers.length == 0 ? "x" : EVENT);
                }
            }
            while (handled < entry.sentRequests.size()) {
                DirectFixture.SentRequest sent = entry.sentRequests.get(handled++);
                if (faults.fails(sent.upstream, counts.merge(sent.upstream, 1, Integer::sum))) {
                    sent.respond(500, "error");
                } else {
                    running.put(sent, entry.now + Durations.nanos(ANSWER_MILLIS));
                }
            }
        }

        private int count(String upstream) {
            return counts.getOrDefault(upstream, 0);
        }
    }

    private static DirectFixture entry(RequestKind kind, int attempts, int upstreams) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(kind, attempts, false)).becomeReady();
        // An entry that has just started queues calls for upstreams that it has not discovered yet.
        entry.advance(5_000);
        for (int index = 1; index <= upstreams; index++) {
            entry.addUpstream("u" + index, Role.ROLE_MIXED);
        }
        return entry;
    }

    private static Faults most(String upstream) {
        return (sentTo, number) -> sentTo.equals(upstream) && number % 7 != 0;
    }

    private static EntryLoad.Builder report(String upstream, int answers, int errors) {
        return EntryLoad.newBuilder()
                .addUpstreams(UpstreamLoad.newBuilder()
                        .setId(upstream)
                        .setAnswers(answers)
                        .setErrors(errors));
    }

    /** Counts the requests of the next ones that go to an upstream; all are answered. */
    private static long share(DirectFixture entry, int requests, Predicate<String> upstream) {
        int before = entry.sentRequests.size();
        for (int index = 0; index < requests; index++) {
            entry.sendRequest("share" + before + "-" + index);
            entry.lastSent().respond(200, "x");
        }
        return entry.sentRequests.stream()
                .skip(before)
                .filter(sent -> upstream.test(sent.upstream))
                .count();
    }

    /** Guards against a failing plain upstream that stays the least loaded and ends most requests. */
    @Example
    void aPlainUpstreamThatAnswersMostRequestsWith500GetsAFewOfThemOnly() {
        Traffic traffic = new Traffic(entry(RequestKind.NON_IDEMPOTENT, 1, 3));
        traffic.run(7_000, most(BAD));
        assertThat(traffic.count(BAD)).isBetween(5, 15);
        assertThat(traffic.entry.core.outlierUpstreams()).isEqualTo(1);
        assertThat(traffic.entry.linesWith("upstream " + BAD, "outcome=outlier ", "own=", "evidence-age-ms="))
                .hasSizeBetween(1, 2);
    }

    /** Guards against a failing engine that stays the least loaded and ends most prompts. */
    @Example
    void anEngineThatAnswersMostPromptsWith500GetsAFewOfThemOnly() {
        Traffic traffic = new Traffic(entry(RequestKind.STREAM, 1, 4), "Tokens", "400");
        traffic.run(7_000, most(BAD));
        assertThat(traffic.count(BAD)).isBetween(5, 16);
        assertThat(traffic.count("u2")).isGreaterThan(60);
    }

    /** Guards against prompts that are prefilled for an engine that fails all it takes over. */
    @Example
    void anEngineThatFailsTheStreamsThatItTakesOverGetsAFewOfThemOnly() {
        DirectFixture entry = entry(RequestKind.STREAM, 1, 0);
        entry.addUpstream("p", Role.ROLE_PREFILL);
        entry.addUpstream("d1", Role.ROLE_DECODE);
        entry.addUpstream("d2", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p", Role.ROLE_PREFILL, 5, 2);
        entry.reportPrefillTimes("d1", Role.ROLE_DECODE, 5, 100);
        int failed = 0;
        for (int index = 0; index < 100; index++) {
            entry.sendRequest("r" + index, "Tokens", "4000");
            if (entry.lastSent().upstream.equals("p")) {
                entry.lastSent().respond(200, "handle" + index);
            }
            boolean fails = entry.lastSent().upstream.equals("d1");
            failed += fails ? 1 : 0;
            entry.lastSent().respond(fails ? 500 : 200, fails ? "error" : EVENT);
            entry.advance(INTERVAL_MILLIS);
        }
        assertThat(failed).isBetween(1, 6);
    }

    /** Guards against prompts that are lost or prefilled twice as an engine fails all prefills at once. */
    @Example
    void anEngineThatFailsPrefillsGetsAFewOfThemOnly() {
        DirectFixture entry = entry(RequestKind.STREAM, 1, 0);
        entry.addUpstream("p1", Role.ROLE_PREFILL);
        entry.addUpstream("p2", Role.ROLE_PREFILL);
        entry.addUpstream("d1", Role.ROLE_DECODE);
        entry.reportPrefillTimes("p1", Role.ROLE_PREFILL, 5, 2);
        entry.reportPrefillTimes("d1", Role.ROLE_DECODE, 5, 100);
        int failed = 0;
        for (int index = 0; index < 100; index++) {
            entry.sendRequest("r" + index, "Tokens", "4000");
            if (entry.lastSent().upstream.startsWith("p")) {
                boolean fails = entry.lastSent().upstream.equals("p1");
                failed += fails ? 1 : 0;
                entry.lastSent().respond(fails ? 400 : 200, "handle" + index);
            }
            entry.lastSent().respond(200, EVENT);
            entry.advance(INTERVAL_MILLIS);
        }
        assertThat(failed).isBetween(1, 6);
        assertThat(entry.core.upstreamErrors()).isEqualTo(failed);
    }

    /** Guards against sound upstreams that are avoided, as one kind of request fails by itself now and then. */
    @Example
    void aServiceOfWhichFourteenInAHundredRequestsFailEverywhereHasNoOutlier() {
        Traffic traffic = new Traffic(entry(RequestKind.NON_IDEMPOTENT, 1, 4));
        traffic.run(20_000, (upstream, number) -> number % 7 == upstream.hashCode() % 7);
        assertThat(traffic.entry.linesWith("outcome=outlier")).isEmpty();
        assertThat(traffic.counts.values()).allMatch(count -> count > 200);
    }

    /** Guards against requests that are refused or sent to one upstream only because all of them fail. */
    @Example
    void ifAllUpstreamsFailAllAreUsed() {
        Traffic traffic = new Traffic(entry(RequestKind.NON_IDEMPOTENT, 1, 3));
        traffic.run(2_000, (upstream, number) -> number % 7 != 0);
        traffic.run(6_000, (upstream, number) -> number % 7 != 0);
        assertThat(traffic.counts.values()).hasSize(3).allMatch(count -> count > 30);
        assertThat(traffic.counts.values().stream().mapToInt(Integer::intValue).sum())
                .isEqualTo(300);
    }

    /** Guards against an upstream that is sound again and stays unused while the others carry its load. */
    @Example
    void anUpstreamThatRecoversIsUsedAgainWithinTwoSeconds() {
        Traffic traffic = new Traffic(entry(RequestKind.IDEMPOTENT, 2, 3));
        traffic.run(5_000, most(BAD));
        traffic.run(2_000, (upstream, number) -> false);
        assertThat(traffic.entry.core.outlierUpstreams()).isZero();
        traffic.run(1_000, (upstream, number) -> false);
        assertThat(traffic.count(BAD)).isGreaterThan(10);
    }

    /** Guards against an engine that is found to be sound only when its streams have ended, seconds later. */
    @Example
    void theFirstEventOfAStreamIsAnAnswer() {
        DirectFixture entry = entry(RequestKind.STREAM, 2, 2);
        entry.reportLoad(report(BAD, 3, 3));
        for (int index = 0; index < 3; index++) {
            entry.advance(800);
            entry.sendRequest("r" + index, "Tokens", "100", "Deadline", "8000");
            entry.lastSent().respondSealedHead(200);
            entry.lastSent().respondBody(EVENT);
        }
        assertThat(entry.core.outlierUpstreams()).isZero();
        assertThat(entry.linesWith("outcome=outlier-ended").getFirst()).doesNotContain("source=time");
    }

    /** Guards against trials that are lost although a request that may be repeated comes soon. */
    @Example
    void aTrialIsARequestThatMayBeRepeatedIfThereIsOne() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, 2, 2);
        entry.reportLoad(report(BAD, 3, 3));
        entry.advance(700);
        DirectFixture.CallerResponse response = entry.sendRequest("a");
        assertThat(entry.lastSent().upstream).isEqualTo(BAD);
        entry.lastSent().respond(500, "error");
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
        entry.lastSent().respond(200, "x");
        assertThat(response.status).isEqualTo(200);
        assertThat(entry.core.requestsToOutliers()).isEqualTo(1);
    }

    /** Guards against entries that each lose requests to learn what another one knows. */
    @Example
    void errorsThatAnotherEntryReportsCount() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, 1, 2);
        entry.reportLoad(report(BAD, 3, 3));
        assertThat(share(entry, 10, BAD::equals)).isZero();
        assertThat(entry.linesWith("outcome=outlier ", "reported=3/3")).hasSize(1);
    }

    /** Guards against an upstream that is avoided for seconds because of an outdated report. */
    @Example
    void aReportThatIsASecondOldIsOutweighedByTwoAnswers() {
        DirectFixture entry = entry(RequestKind.IDEMPOTENT, 2, 2);
        Traffic traffic = new Traffic(entry);
        traffic.run(2_000, (upstream, number) -> false);
        entry.reportLoad(report(BAD, 3, 3));
        traffic.run(2_000, (upstream, number) -> false);
        assertThat(entry.core.outlierUpstreams()).isZero();
    }

    /** Guards against observations that are counted in each report, or never if nothing runs at the upstream. */
    @Example
    void eachOutcomeIsInOneReport() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, 1, 2);
        entry.setEntries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        entry.out.take(Envelope::hasEntryLoad);
        for (int index = 0; index < 10; index++) {
            entry.sendRequest("r" + index);
            entry.lastSent().respond(index < 4 ? 500 : 200, "x");
        }
        entry.advance(1_000);
        List<UpstreamLoad> loads = new ArrayList<>();
        entry.out
                .take(Envelope::hasEntryLoad)
                .forEach(message -> loads.addAll(message.getEntryLoad().getUpstreamsList()));
        assertThat(loads.stream().mapToInt(UpstreamLoad::getAnswers).sum()).isEqualTo(10);
        assertThat(loads.stream().mapToInt(UpstreamLoad::getErrors).sum()).isEqualTo(4);
    }

    /** Guards against other entries that use a failing upstream for a tenth of a second longer. */
    @Example
    void anErrorIsReportedWithinMilliseconds() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, 1, 2);
        entry.setEntries(DirectFixture.SELF.value(), "10.0.1.2:7000");
        entry.advance(1_000);
        entry.out.take(Envelope::hasEntryLoad);
        entry.sendRequest("r");
        entry.lastSent().respond(500, "x");
        assertThat(entry.core.nextDue() - entry.now).isLessThan(Durations.nanos(5));
        entry.advance(5);
        assertThat(entry.out.take(Envelope::hasEntryLoad)).hasSize(1);
    }

    /** Guards against a new start that gets no requests for the errors of the one before. */
    @Example
    void anUpstreamThatStartsAgainBeginsClean() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, 1, 2);
        entry.reportLoad(report(BAD, 5, 5));
        UpstreamBeat restarted = DirectFixture.heartbeat(BAD, Role.ROLE_MIXED).toBuilder()
                .setId(BAD + "@2")
                .setBornMs(2)
                .build();
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(100)
                .addUpstreams(restarted));
        entry.reportLoad(report(BAD, 5, 5));
        assertThat(share(entry, 20, restarted.getId()::equals)).isGreaterThan(5);
        entry.advance(300);
        assertThat(entry.core.outlierUpstreams()).isZero();
    }

    /** Guards against an upstream that is avoided because it is short of capacity for a moment. */
    @Example
    void rejectionsForLackOfCapacityAreNoErrors() {
        DirectFixture entry = entry(RequestKind.NON_IDEMPOTENT, 1, 2);
        for (int index = 0; index < 10; index++) {
            entry.sendRequest("r" + index);
            entry.lastSent().respondHead(503, "Not-Run", "1");
            entry.lastSent().handler.onComplete();
            entry.advance(150);
        }
        assertThat(entry.core.upstreamErrors()).isZero();
        assertThat(entry.core.outlierUpstreams()).isZero();
    }

    /** Guards against an engine that breaks its streams while it goes on listening, and is used on. */
    @Example
    void streamsThatBreakWhileTheirEngineLivesAreErrorsAndThoseOfACrashAreNot() {
        DirectFixture entry = entry(RequestKind.STREAM, 1, 2);
        breakStreams(entry, 4);
        assertThat(entry.core.upstreamErrors()).isEqualTo(4);
        entry.reachability = Reachability.REFUSED;
        breakStreams(entry, 1);
        assertThat(entry.core.upstreamErrors()).isEqualTo(4);
    }

    private static void breakStreams(DirectFixture entry, int count) {
        for (int index = 0; index < count; index++) {
            entry.sendRequest("broken" + index, "Tokens", "100");
            entry.lastSent().respondSealedHead(200);
            entry.lastSent().respondBody(EVENT);
            entry.lastSent().handler.onFailed(true, "reset");
            entry.advance(1_000);
        }
    }

    /*
     * Guards against late calls that are sent under overload, as an engine which is avoided for its errors is idle and
     * so makes engine time look free.
     */
    @Example
    void anOutlierThatIsIdleDoesNotMakeLateCallsBeSent() {
        DirectFixture entry = entry(RequestKind.STREAM, 1, 0);
        for (String engine : List.of("d0", "d1")) {
            entry.addUpstream(engine, Role.ROLE_DECODE);
            entry.reportPrefillTimes(engine, Role.ROLE_DECODE, 5, 2_000 / 85.0);
        }
        entry.reportLoad(EntryLoad.newBuilder()
                .addUpstreams(
                        UpstreamLoad.newBuilder().setId("d1").setAnswers(20).setErrors(20)));
        entry.sentRequests.clear();
        for (int call = 0; call < 20; call++) {
            entry.sendRequest("late" + call, "Tokens", "4000");
        }
        entry.advance(100);
        assertThat(entry.sentRequests.stream().filter(sent -> sent.upstream.equals("d0")))
                .hasSizeLessThan(7);
        assertThat(entry.linesWith("outcome=not-run", "too-dear")).hasSizeGreaterThan(10);
    }

    /*
     * Guards against requests that are sent one after the other to an engine that answers no connection request: it
     * looks idle, and each of them loses the time of a connection timeout.
     */
    @Example
    void anEngineThatAcceptsNoConnectionGetsAFewRequestsOnly() {
        DirectFixture entry = entry(RequestKind.STREAM, 1, 4);
        int refused = 0;
        int handled = 0;
        for (int request = 0; request < 200; request++) {
            entry.sendRequest("r" + request, "Tokens", "400");
            while (handled < entry.sentRequests.size()) {
                DirectFixture.SentRequest sent = entry.sentRequests.get(handled++);
                if (sent.upstream.equals("u1")) {
                    refused++;
                    sent.handler.onFailed(false, "no connection");
                } else {
                    sent.respond(200, EVENT);
                }
            }
            entry.advance(10);
        }
        // Two show the fault, and one in 0.5 s shows whether it lasts.
        assertThat(refused).isLessThan(9);
    }
}
