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
import org.cuminshelf.core.Deflated;
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
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.MembershipPolicy;
import org.cuminshelf.replica.ReplicaSettings;

/** A control process for upstreams that announce themselves straight to it, alone and driven by hand. */
class DirectControlTest {

    private static final Address SELF = Address.of("10.0.0.1:7000");
    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private final RecordingOutbox out = new RecordingOutbox();
    private final List<Envelope> sent = new ArrayList<>();
    private final ControlCore core;
    private long now = Durations.nanos(10_000);
    private long nextQuestion = 1;
    private long offered;

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
        pass(4_000);
    }

    /*
     * A change that was accepted is undone: an operator's older change, sent before it, arrives after it. Both are
     * acknowledged, the higher version stands.
     */
    @Example
    void theHighestVersionStandsInWhateverOrderChangesArrive() {
        assertThat(apply(7, "seven").getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        assertThat(apply(5, "five").getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        assertThat(apply(7, "other seven").getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        AdminAnswer read = ask(
                AdminRequest.newBuilder().setConfigRead(ConfigRead.newBuilder().setConfirmed(true)));
        assertThat(read.getVersion()).isEqualTo(7);
        assertThat(read.getConfig().toStringUtf8()).isEqualTo("seven");
    }

    @Example
    void whatTheCheckRefusesIsNotAccepted() {
        assertThat(apply(7, "").getResult()).isEqualTo(AdminResult.ADMIN_BAD);
        assertThat(core.configVersion()).isZero();
    }

    @Example
    void entriesAreToldAtOnceThatAnUpstreamIsLeaving() {
        beat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        subscribe();
        pass(50);
        sent.clear();
        beat(upstream("u", Role.ROLE_DECODE).setSequence(2).setLeaving(true));
        pass(50);
        assertThat(told("u").getLeaving()).isTrue();
    }

    /*
     * Nothing is served for seconds after a large configuration, as each answer to an entry carries the whole of it. An
     * entry that asks for the body itself is told the version only, and gets the body once for each time it asks.
     */
    @Example
    void anEntryThatFetchesTheConfigurationIsToldItsVersionOnly() throws IOException {
        apply(7, "a large document");
        sent.clear();
        give(
                ENTRY,
                Envelope.newBuilder()
                        .setSubscribe(
                                Subscribe.newBuilder().setWantsDirectory(true).setFetchesConfig(true)));
        pass(50);
        assertThat(lastUpdate().getConfigVersion()).isEqualTo(7);
        assertThat(lastUpdate().getConfig().isEmpty()).isTrue();
        give(ENTRY, Envelope.newBuilder().setConfigFetch(ConfigFetch.getDefaultInstance()));
        ConfigBody body = lastBody();
        assertThat(body.getVersion()).isEqualTo(7);
        assertThat(new String(Deflated.inflate(body.getDeflated().toByteArray()), StandardCharsets.UTF_8))
                .isEqualTo("a large document");
        give(
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

    /* Each answer to an entry carries the addresses of all entries: at 330 entries 60 KB/s for each of them. */
    @Example
    void theListOfEntriesIsToldOnlyWhereItDiffers() {
        subscribe();
        Update first = lastUpdate();
        assertThat(first.getEntryAddressesList()).containsExactly(ENTRY.value());
        give(
                ENTRY,
                Envelope.newBuilder()
                        .setSubscribe(
                                Subscribe.newBuilder().setWantsDirectory(true).setEntriesHash(first.getEntriesHash())));
        assertThat(lastUpdate().getEntryAddressesList()).isEmpty();
        assertThat(lastUpdate().getEntriesHash()).isEqualTo(first.getEntriesHash());
    }

    /*
     * A restarted entry never learns the upstreams: it is told a change without the version that the change builds on,
     * and can't see that it lacks what came before.
     */
    @Example
    void anIncompleteListNamesTheVersionItBuildsOn() {
        beat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        subscribe();
        pass(50);
        Update whole = lastUpdate();
        assertThat(whole.getWholeDirectory()).isTrue();
        give(
                ENTRY,
                Envelope.newBuilder()
                        .setSubscribe(Subscribe.newBuilder()
                                .setWantsDirectory(true)
                                .setDirectoryIncarnation(whole.getDirectoryIncarnation())
                                .setDirectoryVersion(whole.getDirectoryVersion())));
        beat(upstream("v", Role.ROLE_DECODE).setSequence(1));
        pass(50);
        assertThat(lastUpdate().getWholeDirectory()).isFalse();
        assertThat(lastUpdate().getDirectorySince()).isEqualTo(whole.getDirectoryVersion());
    }

    /*
     * An upstream that is gone gets requests again: a heartbeat it sent before was held up and arrives after its last
     * word.
     */
    @Example
    void aHeartbeatThatComesAfterTheLastWordChangesNothing() {
        beat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        subscribe();
        beat(UpstreamBeat.newBuilder().setName("u").setDeleted(true));
        beat(upstream("u", Role.ROLE_DECODE).setSequence(9));
        pass(50);
        assertThat(told("u").getDeleted()).isTrue();
    }

    /*
     * An engine crashes, starts again under its name and gets no request until it has sent as many heartbeats as its
     * former self: its count began anew, and was taken for that of a delayed heartbeat.
     */
    @Example
    void anUpstreamThatStartsAgainUnderItsNameIsHeardAtOnce() {
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(50).setLeaving(true));
        subscribe();
        beat(upstream("u", Role.ROLE_PREFILL).setBornMs(9_000).setSequence(1));
        pass(50);
        assertThat(told("u").getRole()).isEqualTo(Role.ROLE_PREFILL);
        assertThat(told("u").getLeaving()).isFalse();
        assertThat(told("u").getDeleted()).isFalse();
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(51));
        pass(50);
        assertThat(told("u").getBornMs()).isEqualTo(9_000);
    }

    /*
     * An engine said that it is gone, and starts again under its name. It gets no request for a minute, as the word
     * that it is gone stands; a heartbeat of the start that is gone must still change nothing.
     */
    @Example
    void anUpstreamThatIsGoneComesBackWithALaterStartOnly() {
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(1));
        subscribe();
        beat(UpstreamBeat.newBuilder().setName("u").setDeleted(true));
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(1_000).setSequence(9));
        pass(50);
        assertThat(told("u").getDeleted()).isTrue();
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(9_000).setSequence(1));
        pass(50);
        assertThat(told("u").getDeleted()).isFalse();
    }

    /*
     * A control process that was just restarted acknowledges that an engine is gone, then hears a heartbeat that the
     * engine had sent before, and has it given requests again. It never heard of the engine, so that it can't tell the
     * start that is gone: any that began before the word counts as gone.
     */
    @Example
    void theWordThatAnUnknownUpstreamIsGoneHoldsForAllStartsBeforeIt() {
        give(
                Address.PROCESS,
                Envelope.newBuilder().setWallClock(WallClock.newBuilder().setEpochMs(5_000)));
        subscribe();
        beat(UpstreamBeat.newBuilder().setName("u").setDeleted(true));
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(4_000).setSequence(9));
        pass(50);
        assertThat(told("u").getDeleted()).isTrue();
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(6_000).setSequence(1));
        pass(50);
        assertThat(told("u").getDeleted()).isFalse();
    }

    /* The word that a former start is gone reaches another control process after the new start announced itself. */
    @Example
    void aLateWordThatAFormerStartIsGoneDoesNotEndTheNewOne() {
        subscribe();
        beat(upstream("u", Role.ROLE_DECODE).setBornMs(9_000).setSequence(1));
        beat(UpstreamBeat.newBuilder()
                .setName("u")
                .setBornMs(1_000)
                .setDeleted(true)
                .setPassedOn(true));
        pass(50);
        assertThat(told("u").getDeleted()).isFalse();
    }

    @Example
    void anUpstreamThatFellSilentLapsesAndComesBackWithItsNextHeartbeat() {
        beat(upstream("u", Role.ROLE_DECODE).setSequence(1));
        passSubscribed(6_000);
        assertThat(told("u").getLapsed()).isTrue();
        beat(upstream("u", Role.ROLE_DECODE).setSequence(2));
        passSubscribed(50);
        assertThat(told("u").getLapsed()).isFalse();
    }

    /*
     * Prompts wait while engines that generate are idle: more prompt work is offered than the engines in the prefill
     * role can take, and for longer than a swing. The leader moves engines, each once, and leaves each
     * alone for as long as a late order may live.
     */
    @Example
    void rolesFollowTheWorkOfferedAndNoEngineIsOrderedTwiceInARow() {
        List<DirectOrder> orders = new ArrayList<>();
        for (int second = 0; second < 26; second++) {
            for (int engine = 0; engine < 6; engine++) {
                Role role = engine < 2 ? Role.ROLE_PREFILL : Role.ROLE_DECODE;
                beat(upstream("u" + engine, role).setSequence(second + 1));
            }
            // Microseconds: in each second 3.5 engines' time, where two read prompts.
            offered += second < 4 ? 0 : 3_500_000;
            subscribe();
            pass(1_000);
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

    private void beat(UpstreamBeat.Builder beat) {
        give(Address.ADMINISTRATORS, Envelope.newBuilder().setUpstreamBeat(beat));
    }

    private void subscribe() {
        Subscribe subscribe = Subscribe.newBuilder()
                .setWantsDirectory(true)
                .addOffered(OfferedWork.newBuilder()
                        .setModel("s")
                        .setPrefill(offered)
                        .setDecode(offered / 50))
                .build();
        give(ENTRY, Envelope.newBuilder().setSubscribe(subscribe));
    }

    private Update lastUpdate() {
        return sent.stream()
                .filter(Envelope::hasUpdate)
                .map(Envelope::getUpdate)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private UpstreamBeat told(String name) {
        return sent.stream()
                .filter(Envelope::hasUpdate)
                .map(Envelope::getUpdate)
                .map(Update::getUpstreamsList)
                .flatMap(List::stream)
                .filter(beat -> beat.getName().equals(name))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private AdminAnswer apply(long version, String text) {
        return ask(AdminRequest.newBuilder()
                .setConfigApply(
                        ConfigApply.newBuilder().setDeclaredVersion(version).setConfig(ByteString.copyFromUtf8(text))));
    }

    private AdminAnswer ask(AdminRequest.Builder request) {
        sent.clear();
        give(Address.ADMINISTRATORS, Envelope.newBuilder().setAdminRequest(request.setQuestion(nextQuestion++)));
        pass(300);
        return sent.stream()
                .filter(Envelope::hasAdminAnswer)
                .findFirst()
                .orElseThrow()
                .getAdminAnswer();
    }

    private void give(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).build(), out);
        settle();
    }

    private void passSubscribed(long millis) {
        for (long passed = 0; passed < millis; passed += 500) {
            subscribe();
            pass(Math.min(500, millis - passed));
        }
    }

    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            now += Durations.nanos(10);
            settle();
        }
    }

    private void settle() {
        core.tick(now, out);
        for (Envelope message : out.take(any -> true)) {
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
