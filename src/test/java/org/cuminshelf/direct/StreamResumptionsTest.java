package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.message.StreamRecordBatch;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RequestKind;

/** Tests how an entry learns which software version began a stream that its caller takes up again there. */
class StreamResumptionsTest {

    private static final String[] OTHERS = {"10.0.1.2:7000", "10.0.1.3:7000", "10.0.1.4:7000"};
    private static final List<String> CONTROL = List.of("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000");
    private static final String OLD = "v1.1";
    private static final String NEW = "v1.2";
    private static final long LONGEST_WAIT_MILLIS = 500;

    private final DirectFixture entry =
            new DirectFixture(DirectFixture.patientRoute(RequestKind.STREAM, 3)).becomeReady();
    private final List<RecordingOutbox.Sent> sent = new ArrayList<>();
    private int directoryVersion = 100;

    StreamResumptionsTest() {
        entry.setEntries(OTHERS);
    }

    private void add(String id, String version) {
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .setWatchedMs(60_000)
                .addUpstreams(DirectFixture.heartbeat(id, Role.ROLE_DECODE).toBuilder()
                        .setVersion(version)));
    }

    private DirectFixture.CallerResponse resume() {
        DirectFixture.CallerResponse response =
                entry.sendRequest("b", "Tokens", "100", "Last", "4", "Resumes", "a", "Deadline", "5000");
        entry.core.tick(entry.now, entry.out);
        return response;
    }

    /** All messages that the entry has sent. */
    private List<RecordingOutbox.Sent> sent() {
        sent.addAll(entry.out.takeSent());
        return sent;
    }

    private List<StreamQuery> queries() {
        return sent().stream()
                .map(RecordingOutbox.Sent::message)
                .filter(Envelope::hasStreamQuery)
                .map(Envelope::getStreamQuery)
                .toList();
    }

    private void answer(String from, StreamAnswer.Builder answer) {
        accept(
                from,
                Envelope.newBuilder()
                        .setStreamAnswer(answer.setNumber(queries().getFirst().getNumber())));
    }

    private void accept(String from, Envelope.Builder message) {
        entry.core.accept(entry.now, message.setFrom(from).build(), entry.out);
    }

    private static StreamRecord record(String version) {
        return StreamRecord.newBuilder()
                .setStream("a")
                .setService("s")
                .setVersion(version)
                .setAgeMs(700)
                .build();
    }

    @Example
    void theEntriesThatKeepTheRecordAreAskedOnce() {
        add("u1", OLD);
        add("u2", NEW);
        resume();
        assertThat(queries())
                .hasSize(OTHERS.length)
                .allMatch(query -> query.getStream().equals("a"));
        assertThat(entry.sentRequests).isEmpty();
    }

    /** Guards against a stream that nobody knows, as all entries have lost the memory in which its record was. */
    @Example
    void twoControlProcessesAreAskedTooAndTheirRecordDecides() {
        add("u1", OLD);
        add("u2", NEW);
        entry.sendUpdate(Update.newBuilder().setVoter(true).addAllControl(CONTROL));
        resume();
        List<String> asked = sent().stream()
                .filter(message -> message.message().hasStreamQuery())
                .map(message -> message.to().value())
                .toList();
        assertThat(asked).hasSize(OTHERS.length + 2).contains(OTHERS);
        String process = asked.stream().filter(CONTROL::contains).findFirst().orElseThrow();
        answer(process, StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
    }

    @Example
    void aRecordOfAnyOfThemDecides() {
        add("u1", OLD);
        add("u2", NEW);
        resume();
        answer(OTHERS[0], StreamAnswer.newBuilder().addVersions(OLD).addVersions(NEW));
        assertThat(entry.sentRequests).isEmpty();
        answer(OTHERS[1], StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
        assertThat(entry.linesWith(
                        "resumption b", "outcome=record-by-answer", "version=v1.2", "resumes=a", "age-ms=700"))
                .hasSize(1);
    }

    /** Guards against a caller that gets no answer, as records here and elsewhere state different versions. */
    @Example
    void aStreamOfWhichTwoVersionsAreRecordedIsRefused() {
        add("u1", OLD);
        add("u2", NEW);
        for (String version : new String[] {OLD, NEW}) {
            accept(
                    OTHERS[0],
                    Envelope.newBuilder()
                            .setStreamRecords(StreamRecordBatch.newBuilder().addRecords(record(version))));
        }
        DirectFixture.CallerResponse response = resume();
        answer(OTHERS[1], StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(entry.core.openCalls()).isZero();
        assertThat(entry.linesWith("resumption b", "outcome=unknown-not-sure")).hasSize(1);
    }

    @Example
    void aRecordThatWasSentHereDecidesWithoutAQuestion() {
        add("u1", OLD);
        add("u2", NEW);
        accept(
                OTHERS[0],
                Envelope.newBuilder()
                        .setStreamRecords(StreamRecordBatch.newBuilder().addRecords(record(OLD))));
        resume();
        assertThat(queries()).isEmpty();
        assertThat(entry.lastSent().upstream).isEqualTo("u1");
        assertThat(entry.linesWith("resumption b", "outcome=record-here")).hasSize(1);
    }

    /** Guards against the guess that only one version serves, at an entry that has not heard of another one. */
    @Example
    void aVersionThatOnlyAnotherEntryKnowsMakesTheStreamBeRefused() {
        add("u1", OLD);
        DirectFixture.CallerResponse response = resume();
        for (String other : OTHERS) {
            answer(
                    other,
                    StreamAnswer.newBuilder().addVersions(OLD).addVersions(NEW).setComplete(true));
        }
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After")).isEqualTo("0.5");
        assertThat(entry.linesWith("resumption b", "outcome=unknown-no-record")).hasSize(1);
    }

    @Example
    void agreementOnOneVersionLetsTheStreamGoOn() {
        add("u1", OLD);
        resume();
        answer(OTHERS[0], StreamAnswer.newBuilder().addVersions(OLD));
        assertThat(entry.sentRequests).isEmpty();
        answer(DirectFixture.CONTROL.value(), onlyOld());
        assertThat(entry.lastSent().upstream).isEqualTo("u1");
        assertThat(entry.linesWith("resumption b", "outcome=only-version")).hasSize(1);
    }

    @Example
    void withoutAnAnswerOfAnEntryOneVersionIsBelievedWhereControlAnswers() {
        add("u1", OLD);
        resume();
        answer(DirectFixture.CONTROL.value(), onlyOld());
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(entry.lastSent().upstream).isEqualTo("u1");
    }

    // Guards against a stream of a new version that goes on at the old one, at an entry that missed the new one.
    @Example
    void anEntryThatHeardControlAMomentAgoAndNobodyAnswersBelievesNoVersion() {
        for (long silentMillis : new long[] {0, 100, 400, 700, 1_000, 1_300}) {
            StreamResumptionsTest test = new StreamResumptionsTest();
            CONTROL.forEach(process -> test.tellWholeDirectory(process));
            test.entry.advance(silentMillis);
            DirectFixture.CallerResponse response = test.resume();
            test.entry.advance(LONGEST_WAIT_MILLIS);
            assertThat(test.entry.sentRequests).as("after %s ms", silentMillis).isEmpty();
            assertThat(response.status).isEqualTo(503);
            assertThat(test.entry.linesWith("resumption b", "outcome=unknown-unanswered"))
                    .hasSize(1);
        }
    }

    // Guards against the same at an entry that reads, after the stream has arrived, what was sent before.
    @Example
    void anUpdateThatArrivesAfterTheStreamShowsNothing() {
        CONTROL.forEach(this::tellWholeDirectory);
        DirectFixture.CallerResponse response = resume();
        CONTROL.forEach(this::tellWholeDirectory);
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
    }

    // Guards against the belief of an entry that is out of step itself, and of a single control process.
    @Example
    void neitherEntriesNorAMinorityOfControlShowThatThereIsOnlyOneVersion() {
        CONTROL.forEach(this::tellWholeDirectory);
        DirectFixture.CallerResponse response = resume();
        for (String other : OTHERS) {
            answer(other, StreamAnswer.newBuilder().addVersions(OLD).setComplete(true));
        }
        answer(CONTROL.getFirst(), onlyOld());
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
    }

    @Example
    void aMajorityOfControlShowsThatThereIsOnlyOneVersion() {
        CONTROL.forEach(this::tellWholeDirectory);
        resume();
        answer(OTHERS[0], StreamAnswer.newBuilder().addVersions(OLD));
        answer(CONTROL.getFirst(), onlyOld());
        assertThat(entry.sentRequests).isEmpty();
        answer(CONTROL.getLast(), onlyOld());
        assertThat(entry.lastSent().upstream).isEqualTo("u1");
    }

    // Guards against control processes that have just started and have not heard of all upstreams yet.
    @Example
    void controlProcessesThatHaveNotListenedForLongEnoughShowNothing() {
        CONTROL.forEach(this::tellWholeDirectory);
        DirectFixture.CallerResponse response = resume();
        answer(OTHERS[0], StreamAnswer.newBuilder().addVersions(OLD));
        CONTROL.forEach(process -> answer(process, StreamAnswer.newBuilder().addVersions(OLD)));
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
    }

    private static StreamAnswer.Builder onlyOld() {
        return StreamAnswer.newBuilder().addVersions(OLD).setComplete(true);
    }

    /** Delivers the whole directory of a control process that lists one upstream, of the old version. */
    private void tellWholeDirectory(String process) {
        accept(
                process,
                Envelope.newBuilder()
                        .setUpdate(Update.newBuilder()
                                .setVoter(true)
                                .addAllControl(CONTROL)
                                .setDirectoryIncarnation(1)
                                .setDirectoryVersion(++directoryVersion)
                                .setWholeDirectory(true)
                                .setWatchedMs(60_000)
                                .addUpstreams(DirectFixture.heartbeat("u1", Role.ROLE_DECODE).toBuilder()
                                        .setVersion(OLD))));
    }

    /** Guards against the same guess at an entry that is cut off from everyone. */
    @Example
    void anEntryThatHearsNobodyRefusesWhatItDoesNotKnow() {
        add("u1", OLD);
        entry.advance(3_000);
        DirectFixture.CallerResponse response = resume();
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.linesWith("resumption b", "outcome=unknown-unanswered"))
                .hasSize(1);
    }

    /** Guards against a refusal because one message was lost. */
    @Example
    void aHolderThatHasNotAnsweredIsAskedAgain() {
        add("u1", OLD);
        add("u2", NEW);
        resume();
        answer(OTHERS[0], StreamAnswer.newBuilder().addVersions(OLD).addVersions(NEW));
        entry.advance(LONGEST_WAIT_MILLIS / 2);
        assertThat(sentTo(OTHERS[0])).hasSize(1);
        assertThat(sentTo(OTHERS[1])).hasSizeGreaterThan(1);
        answer(OTHERS[1], StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
    }

    /** Guards against an entry's own lateness that is taken for the silence of those it asks. */
    @Example
    void anEntryThatStoodStillReadsAnswersBeforeItGivesUp() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        entry.standStill(3 * LONGEST_WAIT_MILLIS);
        assertThat(response.status).isZero();
        answer(OTHERS[2], StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
    }

    /** Guards against the same at an entry that runs late all the time. */
    @Example
    void anEntryThatRunsLateAsksAsOftenAsOneThatDoesNot() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        for (int step = 0; step < 4; step++) {
            entry.standStill(350);
        }
        assertThat(response.status).isZero();
        assertThat(sentTo(OTHERS[0])).hasSize(5);
    }

    /** Guards against a version that is taken for the only one by an answer from which nothing follows. */
    @Example
    void anEmptyAnswerOfControlDecidesNothingWhileEntriesMayHoldTheRecord() {
        entry.sendUpdate(Update.newBuilder().addControl(DirectFixture.CONTROL.value()));
        add("u1", OLD);
        resume();
        answer(DirectFixture.CONTROL.value(), StreamAnswer.newBuilder());
        assertThat(entry.sentRequests).isEmpty();
        add("u2", NEW);
        answer(OTHERS[1], StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
    }

    /** Guards against a version that this entry hears of while it asks and doesn't count. */
    @Example
    void aVersionThatAppearsWhileHoldersAreAskedCounts() {
        add("u1", OLD);
        DirectFixture.CallerResponse response = resume();
        add("u2", NEW);
        answer(OTHERS[0], StreamAnswer.newBuilder().addVersions(OLD).setComplete(true));
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
    }

    /** Guards against a record that reaches a restarted entry by itself while it asks others. */
    @Example
    void aRecordThatArrivesMeanwhileDecides() {
        add("u1", OLD);
        add("u2", NEW);
        resume();
        accept(
                OTHERS[0],
                Envelope.newBuilder()
                        .setStreamRecords(StreamRecordBatch.newBuilder().addRecords(record(NEW))));
        entry.advance(LONGEST_WAIT_MILLIS / 2);
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
    }

    /** Guards against a refusal before anything was read, after a pause of half of the caller's time. */
    @Example
    void anEntryThatStoodStillForLongStillReadsAnswers() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        entry.standStill(2_600);
        entry.advance(100);
        assertThat(response.status).isZero();
        answer(OTHERS[2], StreamAnswer.newBuilder().setRecord(record(NEW)));
        assertThat(entry.linesWith("resumption b", "outcome=record-by-answer")).hasSize(1);
    }

    /** Guards against a caller that waits for ever at an entry that always runs late. */
    @Example
    void anEntryThatAlwaysRunsLateRefusesByTheDeadline() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        for (int step = 0; step < 15; step++) {
            entry.standStill(350);
        }
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.core.openCalls()).isZero();
    }

    /** Guards against holders that join while a stream is looked up and are never asked. */
    @Example
    void anEntryThatBecomesAHolderMeanwhileIsAsked() {
        entry.setEntries(OTHERS[0]);
        add("u1", OLD);
        add("u2", NEW);
        resume();
        entry.setEntries(OTHERS);
        entry.advance(LONGEST_WAIT_MILLIS / 2);
        assertThat(sentTo(OTHERS[1])).isNotEmpty();
    }

    /** Guards against a caller that waits for nothing, as none of the holders is left. */
    @Example
    void aStreamWhoseHoldersAreSilentIsRefusedInTime() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        entry.advance(LONGEST_WAIT_MILLIS);
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.core.openCalls()).isZero();
    }

    private List<RecordingOutbox.Sent> sentTo(String address) {
        return sent().stream()
                .filter(message -> message.to().equals(Address.of(address)))
                .filter(message -> message.message().hasStreamQuery())
                .toList();
    }

    /** Guards against a version being forgotten whose last upstream has just gone. */
    @Example
    void aVersionWhoseUpstreamsHaveJustGoneStillCounts() {
        add("u1", OLD);
        add("u2", NEW);
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat("u1", Role.ROLE_DECODE).toBuilder()
                        .setVersion(OLD)
                        .setDeleted(true)));
        DirectFixture.CallerResponse response = resume();
        for (String other : OTHERS) {
            answer(other, StreamAnswer.newBuilder().addVersions(NEW).setComplete(true));
        }
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.sentRequests).isEmpty();
    }

    @Example
    void theFirstEventOfAStreamIsRecordedAtTheOthers() {
        add("u1", OLD);
        entry.sendRequest("a", "Tokens", "100");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        entry.advance(10);
        List<StreamRecord> records = sent().stream()
                .map(RecordingOutbox.Sent::message)
                .filter(Envelope::hasStreamRecords)
                .flatMap(message -> message.getStreamRecords().getRecordsList().stream())
                .toList();
        assertThat(records)
                .hasSize(OTHERS.length)
                .allMatch(record -> record.getVersion().equals(OLD));
    }

    @Example
    void aCallerThatLeavesWhileItsStreamIsLookedUpLeavesNothingBehind() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        assertThat(entry.core.openCalls()).isEqualTo(1);
        entry.core.onDisconnect(response);
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void aProcessThatStopsRefusesTheStreamsThatItLooksUp() {
        add("u1", OLD);
        add("u2", NEW);
        DirectFixture.CallerResponse response = resume();
        entry.core.endOpenCalls();
        assertThat(response.status).isEqualTo(503);
        assertThat(entry.core.openCalls()).isZero();
    }

    @Example
    void anotherEntryIsToldTheRecordAndTheKnownVersions() {
        add("u1", OLD);
        add("u2", NEW);
        accept(
                OTHERS[0],
                Envelope.newBuilder()
                        .setStreamRecords(StreamRecordBatch.newBuilder().addRecords(record(OLD))));
        accept(
                OTHERS[1],
                Envelope.newBuilder()
                        .setStreamQuery(StreamQuery.newBuilder()
                                .setNumber(9)
                                .setStream("a")
                                .setService("s")
                                .setWindowMs(10_000)));
        StreamAnswer answer = sent().stream()
                .filter(message -> message.to().equals(Address.of(OTHERS[1])))
                .map(RecordingOutbox.Sent::message)
                .filter(Envelope::hasStreamAnswer)
                .map(Envelope::getStreamAnswer)
                .findFirst()
                .orElseThrow();
        assertThat(answer.getRecord().getVersion()).isEqualTo(OLD);
        assertThat(answer.getVersionsList()).containsExactly(OLD, NEW);
        assertThat(answer.getComplete())
                .as("an entry may be out of step and not know it")
                .isFalse();
    }
}
