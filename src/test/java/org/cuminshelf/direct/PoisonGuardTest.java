package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.AttributeKind;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamCrash;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.RequestAttribute;
import org.cuminshelf.routes.RequestKind;

/** Tests how an entry handles requests that crash upstreams. */
class PoisonGuardTest {

    /** The fingerprint of all requests of {@link DirectFixture#sendRequest}. */
    private static final Fingerprint REQUEST = Fingerprint.of("POST", "h", "/a/b", "", new byte[0]);

    private static DirectFixture entry(boolean resumable) {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, resumable)).becomeReady();
        for (int number = 1; number <= 4; number++) {
            entry.addUpstream("u" + number, Role.ROLE_DECODE);
        }
        return entry;
    }

    private static UpstreamCrash crash(String upstream) {
        return crash(upstream, REQUEST);
    }

    private static UpstreamCrash crash(String upstream, Fingerprint request) {
        return UpstreamCrash.newBuilder()
                .setUpstream(upstream)
                .addRuns(CrashedRun.newBuilder()
                        .setHigh(request.high())
                        .setLow(request.low())
                        .setInvolvement(Involvement.JUST_BEGUN))
                .build();
    }

    private static QuarantinedRequest quarantined() {
        return QuarantinedRequest.newBuilder()
                .setHigh(REQUEST.high())
                .setLow(REQUEST.low())
                .setGeneration(1)
                .addAllUpstreams(List.of("a", "b", "c"))
                .build();
    }

    private static final RequestAttribute SEGMENT =
            RequestAttribute.shared(AttributeKind.PROMPT_SEGMENT, "s", "shared of model m");

    private static UpstreamCrash crash(String upstream, RequestAttribute attribute) {
        return crash(upstream, attribute, Involvement.JUST_BEGUN);
    }

    private static UpstreamCrash crash(String upstream, RequestAttribute attribute, Involvement involvement) {
        return UpstreamCrash.newBuilder()
                .setUpstream(upstream)
                .addRuns(CrashedRun.newBuilder()
                        .setHigh(attribute.fingerprint().high())
                        .setLow(attribute.fingerprint().low())
                        .setKind(attribute.kind())
                        .setService(attribute.service())
                        .setName(attribute.name())
                        .setRequests(1)
                        .setInvolvement(involvement))
                .build();
    }

    private static QuarantinedRequest quarantinedSegment() {
        return QuarantinedRequest.newBuilder()
                .setHigh(SEGMENT.fingerprint().high())
                .setLow(SEGMENT.fingerprint().low())
                .setKind(SEGMENT.kind())
                .setService(SEGMENT.service())
                .setName(SEGMENT.name())
                .setGeneration(1)
                .addAllUpstreams(List.of("a", "b", "c"))
                .build();
    }

    @Example
    void aRequestWithAQuarantinedSegmentIsRefusedWithTheSegmentsName() {
        DirectFixture entry = entry(true);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantinedSegment()));
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After"))
                .as("until the next trial")
                .isEqualTo("30.0");
        assertThat(response.body.toString())
                .contains(
                        "prompt segment shared of model m of service s",
                        SEGMENT.fingerprint().toString());
        entry.sendRequest("b");
        assertThat(entry.sentRequests).as("a request without the segment").hasSize(1);
    }

    /** Guards against a crash by a request that was being prefilled when its segment was quarantined. */
    @Example
    void aPromptThatIsBeingPrefilledIsNotHandedOverOnceItsSegmentIsQuarantined() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, true))
                .becomeReady()
                .addUpstream("p", Role.ROLE_PREFILL)
                .addUpstream("d", Role.ROLE_DECODE);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "5000");
        DirectFixture.SentRequest prefill = entry.lastSent();
        assertThat(prefill.upstream).isEqualTo("p");
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantinedSegment()));
        entry.advance(1);
        assertThat(prefill.cancelled).isTrue();
        prefill.respond(200, "{\"handle\":\"h\"}");
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(response.status).isEqualTo(503);
    }

    @Example
    void aStreamThatHasRunForAWhileGoesOnAndReleasesItsQuarantinedSegment() {
        DirectFixture entry = entry(false);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        entry.advance(400);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantinedSegment()));
        entry.advance(1);
        assertThat(entry.lastSent().cancelled).isFalse();
        entry.lastSent().handler.onComplete();
        assertThat(response.complete).isTrue();
        entry.advance(1_500);
        assertThat(entry.core.quarantinedRequests()).isZero();
    }

    /** Guards against a segment that was quarantined by mistake and is refused until an operator notices. */
    @Example
    void oneRequestIsLetThroughAfterAWhileAndItsSuccessReleasesTheSegment() {
        DirectFixture entry = entry(false);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantinedSegment()));
        entry.sendRequest("a", "Tokens", "600");
        assertThat(entry.sentRequests).isEmpty();
        entry.advance(30_000);
        entry.sendRequest("b", "Tokens", "600");
        entry.sendRequest("c", "Tokens", "600");
        assertThat(entry.sentRequests).as("one trial at a time").hasSize(1);
        entry.lastSent().respond(200, "id: 1\ndata: a\n\n");
        entry.sendRequest("d", "Tokens", "600");
        assertThat(entry.sentRequests).hasSize(2);
    }

    /** Guards against as many crashes as there are entries, each of which tries the same segment. */
    @Example
    void onlyOneOfAllEntriesLetsARequestThrough() {
        int trials = 0;
        List<String> addresses = List.of("10.0.1.1:7000", "10.0.1.2:7000", "10.0.1.3:7000", "10.0.1.4:7000");
        for (String self : addresses) {
            AttributeTrials entry = new AttributeTrials(Address.of(self));
            entry.onEntries(addresses.stream().map(Address::of).toList());
            entry.dueNanos(0, quarantinedSegment());
            trials += entry.tryStart(Durations.nanos(31_000), quarantinedSegment()) ? 1 : 0;
        }
        assertThat(trials).isEqualTo(1);
    }

    @Example
    void aTrialThatCrashesAnUpstreamDelaysTheNextOne() {
        AttributeTrials trials = new AttributeTrials(DirectFixture.SELF);
        QuarantinedRequest failed =
                quarantinedSegment().toBuilder().setFailedTrials(1).build();
        assertThat(trials.dueNanos(0, quarantinedSegment())).isEqualTo(Durations.nanos(30_000));
        assertThat(trials.dueNanos(0, failed)).isEqualTo(Durations.nanos(120_000));
    }

    /**
     * Guards against a further crash by each of the requests that arrive while it is not known whether their segment
     * is the cause.
     */
    @Example
    void requestsWithASuspectedSegmentAreHeldBackAndThenSentOneAtATime() {
        DirectFixture entry = entryThatHoldsBack();
        DirectFixture.CallerResponse held = entry.sendRequest("a", "Tokens", "600");
        assertThat(entry.sentRequests).isEmpty();
        assertThat(held.status).isEqualTo(503);
        assertThat(held.headers.get("Retry-After")).isEqualTo("0.5");
        entry.advance(300);
        entry.sendRequest("b", "Tokens", "600");
        entry.sendRequest("c", "Tokens", "600");
        assertThat(entry.sentRequests).hasSize(1);
        entry.lastSent().respond(200, "id: 1\ndata: a\n\n");
        entry.sendRequest("d", "Tokens", "600");
        assertThat(entry.sentRequests).as("the success clears the segment").hasSize(2);
    }

    /** Guards against a second crash by a request that was let through to test its segment, and retried. */
    @Example
    void aRequestThatTestsItsSegmentIsNotRetriedAfterACrash() {
        DirectFixture entry = entry(true);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantinedSegment()));
        entry.sendRequest("a", "Tokens", "600");
        entry.advance(30_000);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse quarantined = entry.sendRequest("b", "Tokens", "600");
        entry.lastSent().handler.onFailed(true, "closed");
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(quarantined.status).isEqualTo(502);
        DirectFixture other = entryThatHoldsBack();
        other.advance(400);
        other.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse suspected = other.sendRequest("c", "Tokens", "600");
        other.lastSent().handler.onFailed(true, "closed");
        assertThat(other.sentRequests).hasSize(1);
        assertThat(suspected.status).isEqualTo(502);
    }

    /** Guards against a sound segment that is blamed for the crash of a trial, whose request has a poison one too. */
    @Example
    void aRequestWithTwoSuspectedSegmentsIsNotSentWhereOthersHaveOneOfThem() {
        DirectFixture entry = entryThatHoldsBackTwoSegments();
        entry.sendRequest("a", "Tokens", "600");
        for (int request = 0; request < 8; request++) {
            entry.advance(500);
            entry.sendRequest("b" + request, "Tokens", "600", "Segment", "second");
        }
        assertThat(entry.sentRequests).isEmpty();
    }

    /** Guards against two segments that all requests have and that are refused for ever, as neither is ever tested. */
    @Example
    void aRequestWithTwoSuspectedSegmentsIsSentWhereAllHaveBoth() {
        DirectFixture entry = entryThatHoldsBackTwoSegments();
        entry.sendRequest("a", "Tokens", "600", "Segment", "second");
        entry.advance(500);
        entry.sendRequest("b", "Tokens", "600", "Segment", "second");
        assertThat(entry.sentRequests).as("each may be seen alone in its turn").isEmpty();
        entry.advance(1_000);
        entry.sendRequest("c", "Tokens", "600", "Segment", "second");
        assertThat(entry.sentRequests).hasSize(1);
    }

    /** Returns an entry that holds back requests with the segment, and requests with a second one. */
    private static DirectFixture entryThatHoldsBackTwoSegments() {
        DirectFixture entry = entryThatHoldsBack();
        RequestAttribute second = RequestAttribute.shared(AttributeKind.PROMPT_SEGMENT, "s", "second of model m");
        entry.sendUpdate(Update.newBuilder().addCrashes(crash("a", second)).addCrashes(crash("b", second)));
        entry.advance(100);
        return entry;
    }

    /** Returns an entry that holds back requests with the segment. */
    private static DirectFixture entryThatHoldsBack() {
        DirectFixture entry = entry(true);
        RequestAttribute other = RequestAttribute.shared(AttributeKind.PROMPT_SEGMENT, "s", "other");
        entry.sendUpdate(Update.newBuilder().addCrashes(crash("a", SEGMENT)));
        entry.advance(400);
        entry.sendUpdate(
                Update.newBuilder().addCrashes(crash("b", SEGMENT)).addCrashes(crash("b", other, Involvement.CLEARED)));
        entry.advance(100);
        return entry;
    }

    /** Returns the messages with crashes that the entry sent to control since the previous call, and within 20 ms. */
    private static List<Subscribe> reportedCrashes(DirectFixture entry) {
        entry.advance(20);
        return entry.out.take(message -> message.hasSubscribe()).stream()
                .map(message -> message.getSubscribe())
                .filter(subscribe -> subscribe.getCrashesCount() > 0)
                .toList();
    }

    @Example
    void aQuarantinedRequestIsRefusedWithRetryAfterBeforeAnythingIsSent() {
        DirectFixture entry = entry(true);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantined()));
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After")).isEqualTo("3600.0");
        assertThat(response.body.toString()).contains(REQUEST.toString());
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void aReleasedRequestIsServedAgain() {
        DirectFixture entry = entry(true);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantined()));
        entry.sendUpdate(
                Update.newBuilder().addQuarantined(quarantined().toBuilder().setReleased(true)));
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().respond(200, "id: 1\ndata: a\n\n");
        assertThat(response.status).isEqualTo(200);
    }

    /* Guards against a further crash by a copy of a known request that waited or ran when it was quarantined. */
    @Example
    void waitingCopiesAreRefusedWhenTheRequestIsQuarantined() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, true)).becomeReady();
        DirectFixture.CallerResponse waiting = entry.sendRequest("a", "Tokens", "600");
        assertThat(waiting.complete).as("no upstream is known yet").isFalse();
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantined()));
        entry.advance(1);
        assertThat(waiting.status).isEqualTo(503);
        assertThat(waiting.headers.get("Retry-After")).isEqualTo("3600.0");
    }

    @Example
    void runningCopiesAreCancelledWhenTheRequestIsQuarantined() {
        DirectFixture entry = entry(false);
        DirectFixture.CallerResponse running = entry.sendRequest("a", "Tokens", "600");
        assertThat(entry.sentRequests).hasSize(1);
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantined()));
        entry.advance(1);
        assertThat(entry.lastSent().cancelled).isTrue();
        assertThat(running.status).as("it may have run").isEqualTo(502);
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void aRequestThatCrashedTwoUpstreamsIsNotRetriedWithinItsCall() {
        DirectFixture entry = entry(true);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().handler.onFailed(true, "closed");
        assertThat(entry.sentRequests).as("placed again after the first").hasSize(2);
        entry.lastSent().handler.onFailed(true, "closed");
        assertThat(entry.sentRequests).as("not placed again after the second").hasSize(2);
        assertThat(response.status).isEqualTo(502);
    }

    @Example
    void aCrashIsReportedToControlAtOnceWithTheInvolvementOfTheRequest() {
        DirectFixture entry = entry(false);
        entry.sendRequest("a", "Tokens", "600");
        reportedCrashes(entry);
        entry.reachability = Reachability.REFUSED;
        entry.lastSent().handler.onFailed(true, "closed");
        List<Subscribe> told = reportedCrashes(entry);
        assertThat(told).hasSize(1);
        CrashedRun run = told.getFirst().getCrashes(0).getRuns(0);
        assertThat(new Fingerprint(run.getHigh(), run.getLow())).isEqualTo(REQUEST);
        assertThat(run.getInvolvement()).isEqualTo(Involvement.JUST_BEGUN);
    }

    @Example
    void aStreamThatHadRunForAWhileIsReportedAsUnderWay() {
        DirectFixture entry = entry(false);
        entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        entry.advance(400);
        entry.reachability = Reachability.REFUSED;
        entry.lastSent().handler.onFailed(true, "closed");
        assertThat(reportedCrashes(entry).getFirst().getCrashes(0).getRuns(0).getInvolvement())
                .isEqualTo(Involvement.UNDER_WAY);
    }

    /* Guards against the quarantine of a harmless request whose connections were reset three times. */
    @Example
    void aConnectionFailureIsNoCrashIfTheUpstreamStillListens() {
        DirectFixture entry = entry(false);
        entry.reachability = Reachability.LISTENING;
        entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().handler.onFailed(true, "reset");
        assertThat(reportedCrashes(entry)).isEmpty();
    }

    @Example
    void anAnnouncedShutdownIsNoCrash() {
        DirectFixture entry = entry(false);
        entry.reachability = Reachability.REFUSED;
        entry.sendRequest("a", "Tokens", "600");
        String upstream = entry.lastSent().upstream;
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat(upstream, Role.ROLE_DECODE).toBuilder()
                        .setSequence(2)
                        .setLeaving(true)));
        entry.lastSent().handler.onFailed(true, "closed");
        assertThat(reportedCrashes(entry)).isEmpty();
        assertThat(entry.probeCount).as("no probe is needed").isZero();
    }

    @Example
    void aShutdownAnnouncedJustAfterItsConnectionsFailedIsNoCrash() {
        DirectFixture entry = entry(false);
        entry.reachability = Reachability.UNKNOWN;
        entry.sendRequest("a", "Tokens", "600");
        String upstream = entry.lastSent().upstream;
        entry.lastSent().handler.onFailed(true, "closed");
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat(upstream, Role.ROLE_DECODE).toBuilder()
                        .setSequence(2)
                        .setLeaving(true)));
        entry.advance(2_000);
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("next", Role.ROLE_DECODE).toBuilder()
                        .setAddress(DirectFixture.address(upstream).value())));
        assertThat(reportedCrashes(entry)).isEmpty();
    }

    /*
     * Guards against a missed crash when a poison request takes down the whole VM: no connection is refused, and
     * another instance sends a heartbeat from the address only seconds later.
     */
    @Example
    void aCrashIsConfirmedWhenAnotherInstanceTakesTheAddress() {
        DirectFixture entry = entry(false);
        entry.reachability = Reachability.UNKNOWN;
        entry.sendRequest("a", "Tokens", "600");
        String upstream = entry.lastSent().upstream;
        entry.lastSent().handler.onFailed(true, "closed");
        assertThat(reportedCrashes(entry)).isEmpty();
        entry.advance(2_000);
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("next", Role.ROLE_DECODE).toBuilder()
                        .setAddress(DirectFixture.address(upstream).value())));
        assertThat(reportedCrashes(entry)).hasSize(1);
    }

    /*
     * Guards against one lost call per entry and crash on routes with a single attempt: each entry finds out by a
     * failed call that another instance has the address. With a hundred entries, three crashes lost 111 of 489 calls.
     */
    @Example
    void anUpstreamThatAnotherEntryReportedAsCrashedGetsNoCalls() {
        DirectFixture entry = entry(false);
        Fingerprint other = new Fingerprint(3, 4);
        for (String upstream : List.of("u1", "u2", "u3")) {
            entry.sendUpdate(Update.newBuilder().addCrashes(crash(upstream, other)));
        }
        for (int call = 0; call < 4; call++) {
            entry.sendRequest("b" + call, "Tokens", "600");
        }
        assertThat(entry.sentRequests).hasSize(4).allMatch(sent -> sent.upstream.equals("u4"));
    }

    /** Guards against a third crash by a stream that waits for an engine while two others end under it. */
    @Example
    void aWaitingStreamIsGivenUpAfterTheSecondCrash() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, true))
                .becomeReady()
                .addUpstream("u1", Role.ROLE_DECODE);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        entry.sendUpdate(Update.newBuilder()
                .addUpstreams(DirectFixture.heartbeat("u2", Role.ROLE_DECODE).toBuilder()
                        .setChanging(true)));
        entry.reachability = Reachability.REFUSED;
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(20);
        assertThat(response.aborted).isFalse();
        entry.sendUpdate(Update.newBuilder()
                .addCrashes(crash("x"))
                .addUpstreams(DirectFixture.heartbeat("u2", Role.ROLE_DECODE)));
        entry.advance(20);
        assertThat(response.aborted).isTrue();
        assertThat(entry.sentRequests).hasSize(1);
    }

    @Example
    void aSuspectThatSucceedsIsReportedAsCleared() {
        DirectFixture entry = entry(false);
        entry.sendUpdate(Update.newBuilder().addCrashes(crash("a")));
        entry.sendRequest("a", "Tokens", "600");
        entry.lastSent().respond(200, "id: 1\ndata: a\n\n");
        entry.advance(600);
        assertThat(reportedCrashes(entry).getLast().getCrashes(0).getRuns(0).getInvolvement())
                .isEqualTo(Involvement.CLEARED);
        entry.advance(1_000);
        assertThat(entry.core.suspectedRequests()).isZero();
    }

    /*
     * Guards against a wrong decision on a request that is retried within the 0.3 s in which it is not yet known which
     * other requests were involved in the third crash: a harmless one would be refused for an hour, or a poison one
     * would crash a fourth engine.
     */
    @Example
    void aSuspectIsRefusedWithRetryAfterUntilAllCrashesAreReported() {
        DirectFixture entry = entry(false);
        entry.sendUpdate(Update.newBuilder()
                .addCrashes(crash("a"))
                .addCrashes(crash("b"))
                .addCrashes(crash("c")));
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After")).isEqualTo("0.5");
        entry.advance(1_400);
        assertThat(entry.core.quarantinedRequests()).isEqualTo(1);
    }

    @Example
    void aQuarantinedRequestThatWaitedForTheRoutesIsRefused() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 2, true));
        entry.sendUpdate(Update.newBuilder().addQuarantined(quarantined()));
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "600");
        entry.becomeReady().addUpstream("u1", Role.ROLE_DECODE);
        entry.advance(10);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
    }
}
