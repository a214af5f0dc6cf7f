package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Stop;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.message.StreamRecordBatch;
import org.cuminshelf.message.Update;
import org.cuminshelf.routes.RequestKind;
import org.cuminshelf.streams.StreamRecordHolders;

/** Tests to whom an entry sends the records of streams, and when. */
class StreamRecordsTest {

    private static final List<String> CONTROL = List.of("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000");
    private static final String[] OTHERS = {"10.0.1.2:7000", "10.0.1.3:7000", "10.0.1.4:7000"};
    private static final String OLD = "v1.1";
    private static final String NEW = "v1.2";
    private static final int ROUTE_TIMEOUT_MILLIS = 1_000;
    private static final int STREAMS = 60;

    private final DirectFixture entry =
            new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, true, ROUTE_TIMEOUT_MILLIS)).becomeReady();
    private int directoryVersion = 100;

    StreamRecordsTest() {
        entry.setEntries(OTHERS);
        addUpstream("u1");
    }

    private void addUpstream(String id) {
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat(id, Role.ROLE_DECODE).toBuilder()
                        .setVersion(OLD)));
    }

    /** Starts streams whose first event is delivered, and ends them. */
    private void beginStreams(String prefix, int count) {
        for (int number = 0; number < count; number++) {
            DirectFixture.CallerResponse response = entry.sendRequest(prefix + number, "Tokens", "100");
            assertThat(entry.lastSent().request.headers().get("Request")).isEqualTo(prefix + number);
            entry.lastSent().respondSealedHead(200);
            entry.lastSent().respondBody("id: 1\ndata: a\n\n");
            entry.core.onDisconnect(response);
        }
    }

    private void update(String control, long incarnation, List<String> members) {
        accept(
                control,
                Envelope.newBuilder()
                        .setUpdate(Update.newBuilder()
                                .setVoter(true)
                                .setDirectoryIncarnation(incarnation)
                                .addAllControl(members)));
    }

    private void accept(String from, Envelope.Builder message) {
        entry.core.accept(entry.now, message.setFrom(from).build(), entry.out);
    }

    /** The streams of the records that were sent to an address since this was last asked for any. */
    private static Set<String> streamsTo(List<RecordingOutbox.Sent> sent, String address) {
        Set<String> streams = new TreeSet<>();
        sent.stream()
                .filter(message -> message.to().equals(Address.of(address)))
                .filter(message -> message.message().hasStreamRecords())
                .flatMap(message -> message.message().getStreamRecords().getRecordsList().stream())
                .forEach(record -> streams.add(record.getStream()));
        return streams;
    }

    private static StreamRecordBatch.Builder record(String stream, String version) {
        return StreamRecordBatch.newBuilder()
                .addRecords(StreamRecord.newBuilder()
                        .setStream(stream)
                        .setService("s")
                        .setVersion(version)
                        .setAgeMs(20));
    }

    /** Guards against records that no control process keeps after all members were replaced in turn. */
    @Example
    void eachRecordIsKeptByTwoControlProcessesAfterAllWereReplacedInTurn() {
        CONTROL.forEach(process -> update(process, 1, CONTROL));
        beginStreams("a", STREAMS);
        entry.advance(20);
        List<RecordingOutbox.Sent> sent = new ArrayList<>(entry.out.takeSent());
        List<String> members = new ArrayList<>(CONTROL);
        for (int number = 0; number < CONTROL.size(); number++) {
            members.add("10.0.0.1" + number + ":7000");
            members.forEach(process -> update(process, 1, members));
            entry.advance(50);
            members.removeFirst();
            members.forEach(process -> update(process, 1, members));
            entry.advance(50);
            sent.addAll(entry.out.takeSent());
        }
        StreamRecordHolders holders = StreamRecordHolders.among(Map.of())
                .withControl(members.stream().map(Address::of).toList());
        for (int number = 0; number < STREAMS; number++) {
            String stream = "a" + number;
            assertThat(holders.control(stream))
                    .as(stream)
                    .hasSize(2)
                    .allMatch(holder -> streamsTo(sent, holder.value()).contains(stream));
        }
    }

    /** Guards against records that are lost with all entries at once. */
    @Example
    void eachRecordIsSentToTwoControlProcesses() {
        update(CONTROL.getFirst(), 1, CONTROL);
        entry.out.takeSent();
        beginStreams("a", STREAMS);
        entry.advance(20);
        List<RecordingOutbox.Sent> sent = entry.out.takeSent();
        int copies = 0;
        for (String process : CONTROL) {
            assertThat(streamsTo(sent, process)).isNotEmpty();
            copies += streamsTo(sent, process).size();
        }
        assertThat(copies).isEqualTo(2 * STREAMS);
    }

    /** Guards against messages into a control process that grow with the number of entries. */
    @Example
    void amongManyEntriesControlIsSentRecordsInFewMessages() {
        List<String> entries = new ArrayList<>();
        for (int number = 0; number < 330; number++) {
            entries.add("10.0." + (2 + number / 200) + "." + number % 200 + ":7000");
        }
        entry.setEntries(entries.toArray(new String[0]));
        update(CONTROL.getFirst(), 1, CONTROL);
        for (int number = 0; number < 100; number++) {
            addUpstream("v" + number);
        }
        entry.advance(250);
        entry.out.takeSent();
        List<RecordingOutbox.Sent> sent = new ArrayList<>();
        for (int number = 0; number < 100; number++) {
            beginStreams("a" + number + "-", 1);
            entry.advance(10);
            sent.addAll(entry.out.takeSent());
        }
        entry.advance(250);
        sent.addAll(entry.out.takeSent());
        for (String process : CONTROL) {
            assertThat(sent.stream()
                            .filter(message -> message.to().equals(Address.of(process)))
                            .filter(message -> message.message().hasStreamRecords()))
                    .hasSizeBetween(4, 7);
        }
        assertThat(CONTROL.stream()
                        .mapToInt(process -> streamsTo(sent, process).size())
                        .sum())
                .isEqualTo(200);
    }

    /** Guards against the loss of the streams that begin in the last milliseconds before an entry stops. */
    @Example
    void aStoppingEntrySendsAtOnceWhatItHasNotSent() {
        update(CONTROL.getFirst(), 1, CONTROL);
        beginStreams("a", 1);
        entry.out.takeSent();
        accept(Address.PROCESS.value(), Envelope.newBuilder().setStop(Stop.getDefaultInstance()));
        List<RecordingOutbox.Sent> sent = entry.out.takeSent();
        assertThat(CONTROL.stream().filter(process -> !streamsTo(sent, process).isEmpty()))
                .hasSize(2);
        assertThat(List.of(OTHERS)).allMatch(other -> !streamsTo(sent, other).isEmpty());
    }

    /** Guards against the loss of the streams that begin while an entry drains, as its process ends right after. */
    @Example
    void whatBeganWhileAnEntryDrainsIsSentBeforeItReportsThatItHasStopped() {
        update(CONTROL.getFirst(), 1, CONTROL);
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        accept(Address.PROCESS.value(), Envelope.newBuilder().setStop(Stop.getDefaultInstance()));
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody("id: 1\ndata: a\n\n");
        entry.core.onDisconnect(response);
        entry.out.takeSent();
        entry.core.tick(entry.now, entry.out);
        List<Envelope> sent = entry.out.takeSent().stream()
                .map(RecordingOutbox.Sent::message)
                .filter(message -> message.hasStreamRecords() || message.hasStopped())
                .toList();
        assertThat(sent).hasSize(6);
        assertThat(sent.getLast().hasStopped()).isTrue();
    }

    /** Guards against records that control has lost as its processes restarted, while entries still hold them. */
    @Example
    void aRestartedControlProcessIsSentTheRecordsThatItIsToKeepOnce() {
        update(CONTROL.getFirst(), 1, CONTROL);
        beginStreams("a", STREAMS);
        entry.advance(20);
        Set<String> before = streamsTo(entry.out.takeSent(), CONTROL.getFirst());
        accept(OTHERS[0], Envelope.newBuilder().setStreamRecords(record("b", NEW)));
        update(CONTROL.getFirst(), 2, CONTROL);
        entry.advance(20);
        Set<String> again = new TreeSet<>(streamsTo(entry.out.takeSent(), CONTROL.getFirst()));
        again.remove("b");
        assertThat(again).isEqualTo(before).isNotEmpty();
        update(CONTROL.getFirst(), 2, CONTROL);
        entry.advance(300);
        assertThat(streamsTo(entry.out.takeSent(), CONTROL.getFirst())).isEmpty();
    }

    /** Guards against records that only entries have, as the processes that keep them in control are replaced. */
    @Example
    void aControlProcessThatJoinsTheMembersIsSentTheRecordsThatItIsToKeep() {
        update(CONTROL.getFirst(), 1, CONTROL.subList(0, 2));
        beginStreams("a", STREAMS);
        entry.advance(20);
        update(CONTROL.getLast(), 5, List.of());
        entry.advance(20);
        assertThat(streamsTo(entry.out.takeSent(), CONTROL.getLast())).isEmpty();
        update(CONTROL.getFirst(), 1, CONTROL);
        update(CONTROL.getLast(), 5, CONTROL);
        entry.advance(20);
        assertThat(streamsTo(entry.out.takeSent(), CONTROL.getLast())).isNotEmpty();
    }

    /** Guards against the cost of records that nobody can ask for any more. */
    @Example
    void recordsOfStreamsThatNobodyCanResumeAreNotSentAgain() {
        update(CONTROL.getFirst(), 1, CONTROL);
        beginStreams("a", STREAMS);
        entry.advance(2 * ROUTE_TIMEOUT_MILLIS + 100);
        entry.out.takeSent();
        update(CONTROL.getFirst(), 2, CONTROL);
        entry.advance(300);
        assertThat(streamsTo(entry.out.takeSent(), CONTROL.getFirst())).isEmpty();
    }

    /** Guards against a version that is guessed where two entries state different ones. */
    @Example
    void whereTwoVersionsAreRecordedOfOneStreamNeitherIsTold() {
        for (String version : new String[] {OLD, NEW, OLD}) {
            accept(OTHERS[0], Envelope.newBuilder().setStreamRecords(record("a", version)));
        }
        entry.out.takeSent();
        accept(
                OTHERS[1],
                Envelope.newBuilder()
                        .setStreamQuery(StreamQuery.newBuilder().setNumber(9).setStream("a")));
        List<Envelope> answers = entry.out.take(Envelope::hasStreamAnswer);
        assertThat(answers).hasSize(1);
        assertThat(answers.getFirst().getStreamAnswer().hasRecord()).isFalse();
    }
}
