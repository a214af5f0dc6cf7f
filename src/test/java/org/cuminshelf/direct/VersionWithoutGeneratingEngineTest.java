package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.assertj.core.data.Offset;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.message.StreamRecordBatch;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.routes.RequestKind;

/**
 * Guards against begun streams that wait in vain, or come back too early or too late, while the engines of their
 * software version only prefill. The stream was begun at v1.1, and two engines of v1.1 have the prefill role.
 */
class VersionWithoutGeneratingEngineTest {

    private static final String OLD = "v1.1";
    private static final String NEW = "v1.2";
    private static final String REASON = "reason=no-generating-upstream-of-version";
    /** Time that a role change takes if neither the configuration nor an earlier change tells. */
    private static final double USUAL_CHANGE_SECONDS = 3;
    /** Time after its start in which an entry may not know all upstreams. */
    private static final long WARM_UP_MILLIS = 2_500;
    /** Time within which control orders an engine to generate. */
    private static final double ORDER_SECONDS = 1;

    private final DirectFixture entry =
            new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, true, 30_000)).becomeReady();
    private int directoryVersion = 100;
    private int sequence;

    VersionWithoutGeneratingEngineTest() {
        entry.advance(WARM_UP_MILLIS);
        addRecordAndPrefillingEngines(entry);
        beat("d2", Role.ROLE_DECODE, NEW, false);
    }

    private void addRecordAndPrefillingEngines(DirectFixture at) {
        for (String id : new String[] {"p1", "p2"}) {
            at.sendUpdate(update(
                    DirectFixture.heartbeat(id, Role.ROLE_PREFILL).toBuilder().setVersion(OLD)));
        }
        StreamRecord record = StreamRecord.newBuilder()
                .setStream("a")
                .setService("s")
                .setVersion(OLD)
                .setAgeMs(700)
                .build();
        at.core.accept(
                at.now,
                Envelope.newBuilder()
                        .setFrom("10.0.1.2:7000")
                        .setStreamRecords(StreamRecordBatch.newBuilder().addRecords(record))
                        .build(),
                at.out);
    }

    private void beat(String id, Role role, String version, boolean changing) {
        send(DirectFixture.heartbeat(id, role).toBuilder().setVersion(version).setChanging(changing));
    }

    private void delete(String id) {
        send(DirectFixture.heartbeat(id, Role.ROLE_MIXED).toBuilder().setDeleted(true));
    }

    private void send(UpstreamBeat.Builder heartbeat) {
        entry.sendUpdate(update(heartbeat));
    }

    private Update.Builder update(UpstreamBeat.Builder heartbeat) {
        return Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(heartbeat.setSequence(++sequence));
    }

    private DirectFixture.CallerResponse resume(String id, int deadlineMillis) {
        return resumeAt(entry, id, deadlineMillis);
    }

    private static DirectFixture.CallerResponse resumeAt(DirectFixture at, String id, int deadlineMillis) {
        return at.sendRequest(
                id, "Tokens", "100", "Last", "4", "Resumes", "a", "Deadline", String.valueOf(deadlineMillis));
    }

    private static double retryAfterSeconds(DirectFixture.CallerResponse response) {
        assertThat(response.status).isEqualTo(503);
        return Double.parseDouble(response.headers.get("Retry-After"));
    }

    /** Guards against a stream that waits in the queue for slots of engines that only prefill. */
    @Example
    void itsStreamIsRefusedAtOnceAndSentNowhere() {
        DirectFixture.CallerResponse response = resume("b", 8_000);
        assertThat(response.complete).isTrue();
        assertThat(entry.sentRequests).isEmpty();
        assertThat(entry.linesWith("request b", REASON)).hasSize(1);
    }

    @Example
    void itsCallerIsToldToReturnWhenControlHasOrderedAChangeAndItIsOver() {
        double expected = ORDER_SECONDS + USUAL_CHANGE_SECONDS;
        assertThat(retryAfterSeconds(resume("b", 20_000))).isEqualTo(expected, within());
    }

    @Example
    void itsCallerIsToldTheTimeThatIsLeftOfARoleChange() {
        beat("p1", Role.ROLE_PREFILL, OLD, true);
        entry.advance(1_000);
        assertThat(retryAfterSeconds(resume("b", 20_000))).isEqualTo(USUAL_CHANGE_SECONDS - 1, within());
    }

    /** Guards against another reason, and another time, if the only engine left is the one that is changing. */
    @Example
    void itsCallerIsToldTheSameIfNoOtherEngineIsLeft() {
        beat("p1", Role.ROLE_PREFILL, OLD, true);
        delete("p2");
        entry.advance(1_000);
        assertThat(retryAfterSeconds(resume("b", 20_000))).isEqualTo(USUAL_CHANGE_SECONDS - 1, within());
        assertThat(entry.linesWith("request b", REASON)).hasSize(1);
    }

    /** Guards against callers that give up, as they wait at most a third of their remaining time. */
    @Example
    void itsCallerIsNotToldMoreThanAThirdOfItsTime() {
        assertThat(retryAfterSeconds(resume("b", 3_000))).isEqualTo(1, within());
        beat("p1", Role.ROLE_PREFILL, OLD, true);
        assertThat(retryAfterSeconds(resume("c", 3_000))).isEqualTo(1, within());
    }

    /** Guards against callers that come back at once, again and again, if a change takes longer than expected. */
    @Example
    void itsCallerIsToldAShortTimeIfAChangeIsDueOrOverdue() {
        beat("p1", Role.ROLE_PREFILL, OLD, true);
        entry.advance(2_990);
        assertThat(retryAfterSeconds(resume("b", 20_000))).isBetween(0.1, 0.5);
        entry.advance(2_000);
        assertThat(retryAfterSeconds(resume("c", 20_000))).isBetween(0.1, 0.5);
    }

    @Example
    void itsStreamGoesOnOnceTheEngineGenerates() {
        beat("p1", Role.ROLE_PREFILL, OLD, true);
        resume("b", 8_000);
        beat("p1", Role.ROLE_DECODE, OLD, false);
        resume("c", 8_000);
        assertThat(entry.lastSent().upstream).isEqualTo("p1");
    }

    /** Guards against times of a fixed length where role changes take longer, or less. */
    @Example
    void theTimeIsThatOfTheLastChangeThatWasSeen() {
        beat("p3", Role.ROLE_PREFILL, NEW, true);
        entry.advance(900);
        beat("p3", Role.ROLE_DECODE, NEW, false);
        beat("d2", Role.ROLE_DECODE, NEW, true);
        entry.advance(2_000);
        beat("d2", Role.ROLE_PREFILL, NEW, false);
        beat("p1", Role.ROLE_PREFILL, OLD, true);
        entry.advance(300);
        assertThat(retryAfterSeconds(resume("b", 20_000))).isEqualTo(0.6, within());
    }

    /** Guards against streams that are refused at a restarted entry, which has not heard of all engines yet. */
    @Example
    void itsStreamWaitsAtAnEntryThatMayNotKnowAllEngines() {
        DirectFixture restarted =
                new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, true, 30_000)).becomeReady();
        addRecordAndPrefillingEngines(restarted);
        DirectFixture.CallerResponse response = resumeAt(restarted, "b", 8_000);
        restarted.advance(500);
        assertThat(response.complete).isFalse();
        restarted.sendUpdate(update(
                DirectFixture.heartbeat("d1", Role.ROLE_DECODE).toBuilder().setVersion(OLD)));
        restarted.advance(50);
        assertThat(restarted.lastSent().upstream).isEqualTo("d1");
    }

    /** Guards against streams that are sent to, or wait for, the engine that just crashed. */
    @Example
    void anEngineThatCrashedDoesNotCountAsGenerating() {
        beat("d1", Role.ROLE_DECODE, OLD, false);
        entry.reachability = Reachability.REFUSED;
        DirectFixture.CallerResponse first = resume("b", 20_000);
        assertThat(entry.lastSent().upstream).isEqualTo("d1");
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(200);
        assertThat(first.complete || first.aborted).isTrue();
        assertThat(retryAfterSeconds(resume("c", 20_000))).isEqualTo(ORDER_SECONDS + USUAL_CHANGE_SECONDS, within());
        assertThat(entry.linesWith("request c", REASON)).hasSize(1);
        assertThat(entry.sentRequests).hasSize(1);
    }

    /** Guards against streams that are told to wait for a role change while the engine that generates is only full. */
    @Example
    void aVersionWhoseGeneratingEngineIsFullHasOne() {
        beat("d1", Role.ROLE_DECODE, OLD, false);
        entry.reportLoad(EntryLoad.newBuilder()
                .addUpstreams(UpstreamLoad.newBuilder().setId("d1").setRunning(6)));
        DirectFixture.CallerResponse response = resume("b", 20_000);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.complete).isFalse();
        entry.advance(900);
        assertThat(entry.linesWith("request b", REASON)).isEmpty();
    }

    /** Guards against callers that wait for a role change where no engine is left that could change its role. */
    @Example
    void aVersionWhoseOnlyEngineCrashedIsGone() {
        beat("d1", Role.ROLE_DECODE, OLD, false);
        delete("p1");
        delete("p2");
        entry.reachability = Reachability.REFUSED;
        resume("b", 20_000);
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(200);
        resume("c", 20_000);
        assertThat(entry.linesWith("request c", "reason=no-upstream-of-version"))
                .hasSize(1);
    }

    /** Guards against new streams that are refused for the sake of a version to which they are not bound. */
    @Example
    void aNewStreamIsNotRefusedForAVersionWhereNothingGenerates() {
        delete("d2");
        entry.sendRequest("n", "Tokens", "100");
        entry.advance(500);
        assertThat(entry.linesWith("request n", REASON)).isEmpty();
        assertThat(entry.linesWith("request n", "not-run")).hasSize(1);
    }

    /** Guards against new streams that are refused with it: they may begin at another version. */
    @Example
    void newStreamsBeginAtTheOtherVersion() {
        entry.sendRequest("n", "Tokens", "100");
        assertThat(entry.lastSent().upstream).isEqualTo("d2");
    }

    private static Offset<Double> within() {
        return Offset.offset(0.05);
    }
}
