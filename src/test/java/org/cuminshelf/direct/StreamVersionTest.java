package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;
import org.cuminshelf.organisations.Organisations;
import org.cuminshelf.routes.RequestKind;

/** Guards against streams that go on at another software version than the one that began them. */
class StreamVersionTest {

    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final List<String> CONTROL = List.of("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000");
    private int directoryVersion = 100;

    private DirectFixture entry() {
        return new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, true)).becomeReady();
    }

    private void add(DirectFixture entry, String id, Role role, String version) {
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat(id, role).toBuilder().setVersion(version)));
    }

    private static void breakAfterFirstEvent(DirectFixture entry) {
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.lastSent().handler.onFailed(true, "reset");
    }

    /** Guards against a retry at another version after the connection broke. */
    @Example
    void aBrokenStreamGoesOnAtItsVersionOnly() {
        for (int round = 0; round < 10; round++) {
            DirectFixture entry = entry();
            add(entry, "u1", Role.ROLE_DECODE, "v1.1");
            DirectFixture.CallerResponse response = entry.sendRequest("a" + round, "Tokens", "100");
            add(entry, "u2", Role.ROLE_DECODE, "v1.2");
            add(entry, "u3", Role.ROLE_DECODE, "v1.1");
            add(entry, "u4", Role.ROLE_DECODE, "v1.2");
            breakAfterFirstEvent(entry);
            assertThat(entry.lastSent().upstream).isEqualTo("u3");
            entry.lastSent().respond(200, "id: 2\ndata: b\n\n");
            assertThat(response.complete).isTrue();
        }
    }

    /** Guards against the same where no upstream of the version is left: its caller is told at once. */
    @Example
    void aBrokenStreamWhoseVersionIsGoneIsAborted() {
        DirectFixture entry = entry();
        add(entry, "u1", Role.ROLE_DECODE, "v1.1");
        DirectFixture.CallerResponse response = entry.sendRequest("a", "Tokens", "100");
        add(entry, "u2", Role.ROLE_DECODE, "v1.2");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat("u1", Role.ROLE_DECODE).toBuilder()
                        .setVersion("v1.1")
                        .setDeleted(true)));
        entry.lastSent().handler.onFailed(true, "reset");
        entry.advance(50);
        assertThat(entry.sentRequests).hasSize(1);
        assertThat(response.aborted).isTrue();
    }

    /** Guards against a replacement of a silent attempt at another version. */
    @Example
    void aSilentStreamIsReplacedAtItsVersionOnly() {
        DirectFixture entry = entry();
        add(entry, "u1", Role.ROLE_DECODE, "v1.1");
        entry.sendRequest("a", "Tokens", "100", "Deadline", "8000");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        add(entry, "u2", Role.ROLE_DECODE, "v1.2");
        entry.advance(950);
        assertThat(entry.sentRequests).hasSize(1);
    }

    /** Guards against KV caches that one version wrote and another one reads. */
    @Example
    void aPrefilledPromptIsHandedOverAtItsVersionOnly() {
        // One of the two is the home engine of the prompt, which is preferred to the other.
        for (String expected : new String[] {"d1", "d2"}) {
            DirectFixture entry = entry();
            add(entry, "p1", Role.ROLE_PREFILL, "v1.1");
            for (String engine : new String[] {"d1", "d2"}) {
                add(entry, engine, Role.ROLE_DECODE, engine.equals(expected) ? "v1.1" : "v1.2");
                entry.reportPrefillTimes(engine, Role.ROLE_DECODE, 2, 400);
            }
            entry.reportPrefillTimes("p1", Role.ROLE_PREFILL, 2, 10);
            entry.sendRequest("a", "Tokens", "6000");
            assertThat(entry.lastSent().upstream).isEqualTo("p1");
            entry.lastSent().respond(200, "handle");
            assertThat(entry.lastSent().upstream).isEqualTo(expected);
            assertThat(entry.lastSent().request.headers().get("Cache")).isEqualTo("handle");
        }
    }

    /** Guards against shared parts of a prompt that are fetched from an engine of another version. */
    @Example
    void sharedPartsAreFetchedFromTheSameVersionOnly() {
        for (String version : new String[] {"v1.1", "v1.2"}) {
            DirectFixture entry = entry();
            add(entry, "u1", Role.ROLE_DECODE, "v1.1");
            entry.sendRequest("a", "Tokens", "6000", "Shared", "5000");
            entry.lastSent().respond(200, EVENT_1);
            entry.advance(2_000);
            add(entry, "u2", Role.ROLE_DECODE, version);
            entry.reportLoad(EntryLoad.newBuilder()
                    .addUpstreams(UpstreamLoad.newBuilder().setId("u1").setRunning(6)));
            entry.sendRequest("b", "Tokens", "6000", "Shared", "5000");
            assertThat(entry.lastSent().upstream).isEqualTo("u2");
            assertThat(entry.lastSent().request.headers().contains("Parts-From"))
                    .as("fetched at %s", version)
                    .isEqualTo(version.equals("v1.1"));
        }
    }

    /** Guards against a prompt that is prefilled for nothing, as no engine of that version generates. */
    @Example
    void aPromptIsNotPrefilledAtAVersionThatCannotGenerate() {
        DirectFixture entry = entry();
        add(entry, "p1", Role.ROLE_PREFILL, "v1.1");
        add(entry, "d2", Role.ROLE_DECODE, "v1.2");
        entry.sendRequest("a", "Tokens", "6000");
        assertThat(entry.lastSent().upstream).isEqualTo("d2");
        assertThat(entry.lastSent().request.headers().get("Prefill")).isEqualTo("false");
    }

    /** Guards against a prefilled prompt that waits for a version whose engines have gone. */
    @Example
    void aPrefilledPromptWhoseVersionIsGoneIsPrefilledAnew() {
        DirectFixture entry = entry();
        add(entry, "p1", Role.ROLE_PREFILL, "v1.1");
        add(entry, "d1", Role.ROLE_DECODE, "v1.1");
        entry.sendRequest("a", "Tokens", "6000");
        assertThat(entry.lastSent().upstream).isEqualTo("p1");
        add(entry, "d2", Role.ROLE_DECODE, "v1.2");
        entry.sendUpdate(Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat("d1", Role.ROLE_DECODE).toBuilder()
                        .setVersion("v1.1")
                        .setDeleted(true)));
        entry.lastSent().respond(200, "handle");
        DirectFixture.SentRequest generation = entry.sentRequests.stream()
                .filter(sent -> sent.upstream.equals("d2"))
                .findFirst()
                .orElseThrow();
        assertThat(generation.request.headers().get("Cache")).isNull();
    }

    /** Guards against a stream taken up at an entry that does not know its version, while there are two. */
    @Example
    void aResumptionOfAnUnknownStreamIsRefusedAsNotRunWhileThereAreTwoVersions() {
        DirectFixture entry = entry();
        add(entry, "u1", Role.ROLE_DECODE, "v1.1");
        add(entry, "u2", Role.ROLE_DECODE, "v1.2");
        DirectFixture.CallerResponse response =
                entry.sendRequest("b", "Tokens", "100", "Last", "4", "Resumes", "elsewhere");
        entry.advance(300);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
        assertThat(response.headers.get("Retry-After")).isNotNull();
    }

    /** Guards against a stream taken up at the entry that began it, and against the id of the latest try as its key. */
    @Example
    void aResumptionGoesOnAtTheVersionThatBeganTheStreamOnItsThirdTryToo() {
        DirectFixture entry = entry();
        add(entry, "u1", Role.ROLE_DECODE, "v1.1");
        DirectFixture.CallerResponse first = entry.sendRequest("a", "Tokens", "100");
        entry.lastSent().respondSealedHead(200);
        entry.lastSent().respondBody(EVENT_1);
        entry.core.onDisconnect(first);
        add(entry, "u2", Role.ROLE_DECODE, "v1.2");
        add(entry, "u3", Role.ROLE_DECODE, "v1.1");
        for (String request : new String[] {"b", "c"}) {
            DirectFixture.CallerResponse again =
                    entry.sendRequest(request, "Tokens", "100", "Last", "1", "Resumes", "a");
            assertThat(entry.lastSent().upstream).isIn("u1", "u3");
            entry.lastSent().respondSealedHead(200);
            entry.core.onDisconnect(again);
        }
    }

    /** Guards against streams of a version that the entries on the other side of a partition have not heard of. */
    @Example
    void newStreamsGoToANewVersionOnceAMajorityOfControlListsIt() {
        DirectFixture entry = entry();
        entry.sendUpdate(Update.newBuilder().addAllControl(CONTROL));
        for (String process : CONTROL) {
            list(entry, process, "u1", "v1.1");
        }
        list(entry, CONTROL.getFirst(), "u2", "v1.2");
        assertThat(upstreamsOfFiveStreams(entry, "a")).containsOnly("u1");
        list(entry, CONTROL.getLast(), "u2", "v1.2");
        assertThat(upstreamsOfFiveStreams(entry, "b")).contains("u2");
    }

    private static List<String> upstreamsOfFiveStreams(DirectFixture entry, String prefix) {
        List<String> used = new ArrayList<>();
        for (int number = 0; number < 5; number++) {
            entry.sendRequest(prefix + number, "Tokens", "4000", "Shared", "0");
            used.add(entry.lastSent().upstream);
        }
        return used;
    }

    /** Guards against refusals where no control process but one is heard. */
    @Example
    void newStreamsGoToANewVersionIfThereIsNoOther() {
        DirectFixture entry = entry();
        entry.sendUpdate(Update.newBuilder().addAllControl(CONTROL));
        list(entry, CONTROL.getFirst(), "u2", "v1.2");
        entry.sendRequest("a", "Tokens", "100");
        assertThat(entry.lastSent().upstream).isEqualTo("u2");
    }

    private void list(DirectFixture entry, String process, String id, String version) {
        Update.Builder update = Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(++directoryVersion)
                .addUpstreams(DirectFixture.heartbeat(id, Role.ROLE_DECODE).toBuilder()
                        .setVersion(version));
        entry.core.accept(
                entry.now,
                Envelope.newBuilder().setFrom(process).setUpdate(update).build(),
                entry.out);
    }

    /*
     * Guards against a stream of the old version that a restarted entry takes for one of the new: a control process
     * that counts the entry's earlier start as its subscriber sends changes only, and how long it has watched.
     */
    @Example
    void changesWithoutTheRestOfADirectoryDoNotShowThatOnlyOneVersionHasServed() {
        DirectFixture entry = new DirectFixture(DirectFixture.route(RequestKind.STREAM, 3, true));
        UpstreamBeat newer = DirectFixture.heartbeat("u2", Role.ROLE_DECODE).toBuilder()
                .setVersion("v1.2")
                .build();
        Update.Builder restarted = update(1).setWholeDirectory(true).setWatchedMs(500);
        Update.Builder changesOnly = update(9).setDirectorySince(8).setWatchedMs(60_000);
        send(entry, CONTROL.getFirst(), restarted.addUpstreams(newer).setConfirmed(true));
        entry.applyConfig(DirectFixture.routeTable(
                7, Organisations.unrestricted(), DirectFixture.route(RequestKind.STREAM, 3, true)));
        send(entry, CONTROL.get(1), changesOnly.addUpstreams(newer));
        DirectFixture.CallerResponse response = entry.sendRequest("b", "Tokens", "100", "Last", "3", "Resumes", "a");
        entry.advance(900);
        assertThat(entry.sentRequests).isEmpty();
        assertThat(response.status).isEqualTo(503);
    }

    private static Update.Builder update(int directoryVersion) {
        return Update.newBuilder()
                .setVoter(true)
                .setConfigVersion(7)
                .addAllControl(CONTROL)
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(directoryVersion);
    }

    private static void send(DirectFixture entry, String control, Update.Builder update) {
        entry.core.accept(
                entry.now,
                Envelope.newBuilder().setFrom(control).setUpdate(update).build(),
                entry.out);
    }
}
