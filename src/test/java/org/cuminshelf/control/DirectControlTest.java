package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.DocumentCompression;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.ConfigBody;
import org.cuminshelf.message.ConfigFetch;
import org.cuminshelf.message.ConfigRead;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.MembershipPolicy;
import org.cuminshelf.replica.ReplicaSettings;

/** A single control process for upstreams that announce themselves directly to it. */
class DirectControlTest {

    private static final Address SELF = Address.of("10.0.0.1:7000");
    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private final RecordingOutbox out = new RecordingOutbox();
    private final List<Envelope> sent = new ArrayList<>();
    private final ControlCore core;
    private long now = Durations.nanos(10_000);
    private long nextRequestId = 1;
    private long offeredMicros;

    DirectControlTest() {
        ControlSettings settings = new ControlSettings(
                "r",
                List.of(new ReplicaSettings(
                        ControlSettings.GLOBAL_GROUP, SELF, List.of(SELF), true, MembershipPolicy.OPEN)),
                bytes -> bytes.length == 0 ? Optional.of("empty") : Optional.empty());
        core = ControlCore.start(
                settings,
                SELF,
                1,
                Map.of(ControlSettings.GLOBAL_GROUP, DurableState.fresh(1)),
                now,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                Invariants.throwing());
        advance(4_000);
    }

    /*
     * An accepted change is reverted by an older change that was sent before it and arrives after it. Both must be
     * acknowledged, and the higher version must be kept.
     */
    @Example
    void theHighestDeclaredVersionIsKeptWhateverTheOrderOfArrival() {
        assertThat(apply(7, "seven").getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        assertThat(apply(5, "five").getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        assertThat(apply(7, "other seven").getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        AdminAnswer read = sendAdminRequest(
                AdminRequest.newBuilder().setConfigRead(ConfigRead.newBuilder().setConfirmed(true)));
        assertThat(read.getVersion()).isEqualTo(7);
        assertThat(read.getConfig().toStringUtf8()).isEqualTo("seven");
    }

    @Example
    void aConfigurationRejectedByTheCheckIsNotAccepted() {
        assertThat(apply(7, "").getResult()).isEqualTo(AdminResult.ADMIN_BAD);
        assertThat(core.configVersion()).isZero();
    }

    @Example
    void entriesAreNotifiedAtOnceThatAnUpstreamIsLeaving() {
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        subscribe();
        advance(50);
        sent.clear();
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(2).setLeaving(true));
        advance(50);
        assertThat(lastPublished("u").getLeaving()).isTrue();
    }

    /*
     * No requests are served for seconds after a large configuration, as each update to an entry contains all of it. An
     * entry that fetches configurations must be sent only the version, and the body once per fetch.
     */
    @Example
    void anEntryThatFetchesConfigurationsIsSentOnlyTheVersion() throws IOException {
        apply(7, "a large document");
        sent.clear();
        receive(
                ENTRY,
                Envelope.newBuilder()
                        .setSubscribe(
                                Subscribe.newBuilder().setWantsDirectory(true).setFetchesConfig(true)));
        advance(50);
        assertThat(lastUpdate().getConfigVersion()).isEqualTo(7);
        assertThat(lastUpdate().getConfig().isEmpty()).isTrue();
        receive(ENTRY, Envelope.newBuilder().setConfigFetch(ConfigFetch.getDefaultInstance()));
        ConfigBody fetched = lastBody();
        assertThat(fetched.getVersion()).isEqualTo(7);
        assertThat(new String(DocumentCompression.inflate(fetched.getDeflated().toByteArray()), StandardCharsets.UTF_8))
                .isEqualTo("a large document");
        receive(
                ENTRY,
                Envelope.newBuilder().setConfigFetch(ConfigFetch.newBuilder().setHeldVersion(7)));
        assertThat(lastBody().getDeflated().isEmpty()).isTrue();
    }

    private ConfigBody lastBody() {
        return sent.stream()
                .filter(Envelope::hasConfigBody)
                .map(Envelope::getConfigBody)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /* If each update to an entry held the addresses of all entries, 330 entries would receive 60 KB/s each. */
    @Example
    void theListOfEntriesIsSentOnlyIfItDiffers() {
        subscribe();
        Update first = lastUpdate();
        assertThat(first.getEntryAddressesList()).containsExactly(ENTRY.value());
        receive(
                ENTRY,
                Envelope.newBuilder()
                        .setSubscribe(
                                Subscribe.newBuilder().setWantsDirectory(true).setEntriesHash(first.getEntriesHash())));
        assertThat(lastUpdate().getEntryAddressesList()).isEmpty();
        assertThat(lastUpdate().getEntriesHash()).isEqualTo(first.getEntriesHash());
    }

    /*
     * A restarted entry never learns the upstreams: it receives an incremental update without its base version, and
     * cannot detect that earlier changes are missing.
     */
    @Example
    void anIncrementalUpdateNamesItsBaseVersion() {
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        subscribe();
        advance(50);
        Update first = lastUpdate();
        assertThat(first.getWholeDirectory()).isTrue();
        receive(
                ENTRY,
                Envelope.newBuilder()
                        .setSubscribe(Subscribe.newBuilder()
                                .setWantsDirectory(true)
                                .setDirectoryIncarnation(first.getDirectoryIncarnation())
                                .setDirectoryVersion(first.getDirectoryVersion())));
        sendHeartbeat(upstream("v", Role.ROLE_DECODE).setSequence(1));
        advance(50);
        assertThat(lastUpdate().getWholeDirectory()).isFalse();
        assertThat(lastUpdate().getDirectorySince()).isEqualTo(first.getDirectoryVersion());
    }

    /*
     * A deleted upstream is sent requests again, because a delayed heartbeat arrives after its deletion.
     */
    @Example
    void aHeartbeatThatArrivesAfterTheDeletionIsIgnored() {
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        subscribe();
        sendHeartbeat(UpstreamBeat.newBuilder().setName("u").setDeleted(true));
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(9));
        advance(50);
        assertThat(lastPublished("u").getDeleted()).isTrue();
    }

    /*
     * An engine crashes, restarts under its name and gets no request until it has sent as many heartbeats as before:
     * its sequence restarted, and its heartbeats were mistaken for delayed ones.
     */
    @Example
    void anUpstreamRestartedUnderItsNameIsRecognisedAtOnce() {
        sendHeartbeat(
                upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(50).setLeaving(true));
        subscribe();
        sendHeartbeat(upstream("u", Role.ROLE_PREFILL).setBornMs(9_000).setSequence(1));
        advance(50);
        assertThat(lastPublished("u").getRole()).isEqualTo(Role.ROLE_PREFILL);
        assertThat(lastPublished("u").getLeaving()).isFalse();
        assertThat(lastPublished("u").getDeleted()).isFalse();
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(51));
        advance(50);
        assertThat(lastPublished("u").getBornMs()).isEqualTo(9_000);
    }

    /*
     * An engine that announced its deletion restarts under its name and gets no request for a minute, as it still
     * counts as deleted. A heartbeat of the deleted incarnation must still be ignored.
     */
    @Example
    void aDeletedUpstreamReturnsOnlyWithALaterIncarnation() {
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(1));
        subscribe();
        sendHeartbeat(UpstreamBeat.newBuilder().setName("u").setDeleted(true));
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(9));
        advance(50);
        assertThat(lastPublished("u").getDeleted()).isTrue();
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(9_000).setSequence(1));
        advance(50);
        assertThat(lastPublished("u").getDeleted()).isFalse();
    }

    /*
     * A restarted control process acknowledges the deletion of an engine, then receives an earlier heartbeat of the
     * engine, and requests are sent to it again. The process does not know which incarnation was deleted, so every
     * incarnation that started before the deletion must count as deleted.
     */
    @Example
    void theDeletionOfAnUnknownUpstreamCoversAllEarlierIncarnations() {
        receive(
                Address.PROCESS,
                Envelope.newBuilder().setWallClock(WallClock.newBuilder().setEpochMs(5_000)));
        subscribe();
        sendHeartbeat(UpstreamBeat.newBuilder().setName("u").setDeleted(true));
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(4_000).setSequence(9));
        advance(50);
        assertThat(lastPublished("u").getDeleted()).isTrue();
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(6_000).setSequence(1));
        advance(50);
        assertThat(lastPublished("u").getDeleted()).isFalse();
    }

    /* The deletion of a former incarnation reaches another control process after the new one announced itself. */
    @Example
    void aLateDeletionOfAFormerIncarnationDoesNotDeleteTheNewOne() {
        subscribe();
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setBornMs(9_000).setSequence(1));
        sendHeartbeat(UpstreamBeat.newBuilder()
                .setName("u")
                .setBornMs(1_000)
                .setDeleted(true)
                .setPassedOn(true));
        advance(50);
        assertThat(lastPublished("u").getDeleted()).isFalse();
    }

    @Example
    void aSilentUpstreamLapsesAndReturnsWithItsNextHeartbeat() {
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        advanceSubscribed(6_000);
        assertThat(lastPublished("u").getLapsed()).isTrue();
        sendHeartbeat(upstream("u", Role.ROLE_DECODE).setSequence(2));
        advanceSubscribed(50);
        assertThat(lastPublished("u").getLapsed()).isFalse();
    }

    /*
     * Prompts wait while decode engines are idle: the offered prompt work exceeds the capacity of the prefill engines
     * for longer than a fluctuation. The leader must change roles of engines, and order each engine only once within
     * the time for which a late order may still be applied.
     */
    @Example
    void rolesFollowTheOfferedWorkAndNoEngineIsOrderedTwiceInARow() {
        List<DirectOrder> orders = new ArrayList<>();
        for (int second = 0; second < 26; second++) {
            for (int engine = 0; engine < 6; engine++) {
                Role role = engine < 2 ? Role.ROLE_PREFILL : Role.ROLE_DECODE;
                sendHeartbeat(upstream("u" + engine, role).setSequence(second + 1));
            }
            // In each second, prompt work for 3.5 engines, where two engines have the prefill role.
            offeredMicros += second < 4 ? 0 : 3_500_000;
            subscribe();
            advance(1_000);
            sent.stream()
                    .filter(Envelope::hasSendDirectOrder)
                    .map(Envelope::getSendDirectOrder)
                    .forEach(orders::add);
            sent.clear();
        }
        assertThat(orders).isNotEmpty();
        assertThat(orders).allMatch(order -> order.getRole() == Role.ROLE_PREFILL && order.getNumber() > 0);
        assertThat(orders.stream().map(DirectOrder::getUpstream)).doesNotHaveDuplicates();
    }

    private static UpstreamBeat.Builder upstream(String id, Role role) {
        return UpstreamBeat.newBuilder()
                .setId(id)
                .setName(id)
                .setService("s")
                .setAddress("10.9.0.1:80")
                .setSlots(64)
                .setRole(role);
    }

    private void sendHeartbeat(UpstreamBeat.Builder heartbeat) {
        receive(Address.ADMINISTRATORS, Envelope.newBuilder().setUpstreamBeat(heartbeat));
    }

    // Guards against a stream that goes on at another version, as control doesn't tell of one that has just gone.
    @Example
    void aQuestionAboutAStreamIsAnsweredWithAllVersionsThatMayHaveBegunIt() {
        sendHeartbeat(upstream("u1", Role.ROLE_DECODE).setSequence(1).setVersion("v1.1"));
        sendHeartbeat(upstream("u2", Role.ROLE_DECODE).setSequence(1).setVersion("v1.2"));
        sendHeartbeat(upstream("u2", Role.ROLE_DECODE).setSequence(2).setDeleted(true));
        StreamAnswer answer = askAboutStream(3_000);
        assertThat(answer.getVersionsList()).containsExactly("v1.1", "v1.2");
        assertThat(answer.getComplete()).isTrue();
    }

    // Guards against the belief of a control process that started after the stream may have begun.
    @Example
    void aProcessThatHasNotListenedForTheWholeTimeSaysSo() {
        assertThat(askAboutStream(3_000).getComplete()).isTrue();
        assertThat(askAboutStream(5_000).getComplete()).isFalse();
    }

    // Guards against the belief of a control process that the group may have gone on without.
    @Example
    void aProcessWithoutALeaderSaysThatItDoesNotKnowAllVersions() {
        Address other = Address.of("10.0.0.2:7000");
        Address third = Address.of("10.0.0.3:7000");
        ControlSettings settings = new ControlSettings(
                "r",
                List.of(new ReplicaSettings(
                        ControlSettings.GLOBAL_GROUP,
                        SELF,
                        List.of(SELF, other, third),
                        true,
                        MembershipPolicy.JOIN_ONLY)),
                bytes -> Optional.empty());
        ControlCore alone = ControlCore.start(
                settings,
                SELF,
                1,
                Map.of(ControlSettings.GLOBAL_GROUP, DurableState.fresh(1)),
                now,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                Invariants.throwing());
        now += Durations.nanos(20_000);
        alone.tick(now, out);
        alone.accept(now, streamQuery(3_000), out);
        assertThat(out.take(Envelope::hasStreamAnswer)
                        .getLast()
                        .getStreamAnswer()
                        .getComplete())
                .isFalse();
    }

    private StreamAnswer askAboutStream(long windowMillis) {
        core.accept(now, streamQuery(windowMillis), out);
        return out.take(Envelope::hasStreamAnswer).getLast().getStreamAnswer();
    }

    private static Envelope streamQuery(long windowMillis) {
        return Envelope.newBuilder()
                .setFrom(ENTRY.value())
                .setStreamQuery(StreamQuery.newBuilder()
                        .setNumber(1)
                        .setStream("a")
                        .setService("s")
                        .setWindowMs(windowMillis))
                .build();
    }

    private void subscribe() {
        Subscribe subscribe = Subscribe.newBuilder()
                .setWantsDirectory(true)
                .addOffered(OfferedWork.newBuilder()
                        .setModel("s")
                        .setPrefill(offeredMicros)
                        .setDecode(offeredMicros / 50))
                .build();
        receive(ENTRY, Envelope.newBuilder().setSubscribe(subscribe));
    }

    private Update lastUpdate() {
        return sent.stream()
                .filter(Envelope::hasUpdate)
                .map(Envelope::getUpdate)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private UpstreamBeat lastPublished(String name) {
        return sent.stream()
                .filter(Envelope::hasUpdate)
                .map(Envelope::getUpdate)
                .map(Update::getUpstreamsList)
                .flatMap(List::stream)
                .filter(heartbeat -> heartbeat.getName().equals(name))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private AdminAnswer apply(long version, String text) {
        return sendAdminRequest(AdminRequest.newBuilder()
                .setConfigApply(
                        ConfigApply.newBuilder().setDeclaredVersion(version).setConfig(ByteString.copyFromUtf8(text))));
    }

    private AdminAnswer sendAdminRequest(AdminRequest.Builder request) {
        sent.clear();
        receive(Address.ADMINISTRATORS, Envelope.newBuilder().setAdminRequest(request.setQuestion(nextRequestId++)));
        advance(300);
        return sent.stream()
                .filter(Envelope::hasAdminAnswer)
                .findFirst()
                .orElseThrow()
                .getAdminAnswer();
    }

    private void receive(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).build(), out);
        settle();
    }

    private void advanceSubscribed(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 500) {
            subscribe();
            advance(Math.min(500, millis - elapsed));
        }
    }

    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 10) {
            now += Durations.nanos(10);
            settle();
        }
    }

    private void settle() {
        core.tick(now, out);
        for (Envelope message : out.take(message -> true)) {
            sent.add(message);
            if (message.hasPersist()) {
                Persisted done = Persisted.newBuilder()
                        .setGroup(message.getPersist().getGroup())
                        .setSequence(message.getPersist().getSequence())
                        .build();
                core.accept(
                        now,
                        Envelope.newBuilder()
                                .setFrom(Address.STORAGE.value())
                                .setPersisted(done)
                                .build(),
                        out);
                core.tick(now, out);
            }
        }
    }
}
