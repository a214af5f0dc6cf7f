package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.config.MergedConfig;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.AttemptRef;
import org.cuminshelf.message.ClaimAnswer;
import org.cuminshelf.message.ClaimEnd;
import org.cuminshelf.message.ClaimMove;
import org.cuminshelf.message.ClaimRequest;
import org.cuminshelf.message.ClaimResult;
import org.cuminshelf.message.ClaimTake;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.ExchangeHead;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.OrderReport;
import org.cuminshelf.message.OrderSent;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.message.StreamRecordBatch;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.WallClock;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.ReplicaSettings;

/** A single control process that forms a quorum by itself. */
class ControlCoreTest {

    private static final Address SELF = Address.of("10.0.0.1:7000");
    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final long EVENT_START_UNIX_MILLIS = 1_800_000_000_000L;
    private final RecordingOutbox out = new RecordingOutbox();
    private final ControlCore core;
    private long now = Durations.nanos(10_000);
    private long nextRequestId = 1;
    private final Set<String> enginesWithAdapter = new HashSet<>();

    ControlCoreTest() {
        List<Address> members = List.of(SELF);
        ControlSettings settings = new ControlSettings(
                "r",
                List.of(
                        new ReplicaSettings(ControlSettings.GLOBAL_GROUP, SELF, members, true),
                        new ReplicaSettings("region", SELF, members, false)));
        Map<String, DurableState> durable =
                Map.of(ControlSettings.GLOBAL_GROUP, DurableState.fresh(1), "region", DurableState.fresh(2));
        core = ControlCore.start(
                settings, SELF, 1, durable, now, RandomSource.XO_RO_SHI_RO_128_PP.create(1), Invariants.throwing());
        for (int i = 0; i < 30; i++) {
            advance(200);
        }
    }

    /*
     * Two operators apply different changes to the same base version, and one resends because its answer was lost. The
     * second change must be rejected with the current version; the resend must get the version of the first answer.
     */
    @Example
    void aConflictingChangeIsRejectedAndAResendGetsItsFirstAnswer() {
        AdminAnswer first = apply(0, 1);
        AdminAnswer other = apply(0, 2);
        AdminAnswer resend = apply(0, 1);
        assertThat(first.getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        assertThat(other.getResult()).isEqualTo(AdminResult.ADMIN_CONFLICT);
        assertThat(other.getVersion()).isEqualTo(1);
        assertThat(resend.getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        assertThat(resend.getVersion()).isEqualTo(first.getVersion());
    }

    @Example
    void aMalformedConfigurationIsRejected() {
        AdminAnswer answer = apply(0, "{\"modles\":{}}");
        assertThat(answer.getResult()).isEqualTo(AdminResult.ADMIN_BAD);
        assertThat(core.configVersion()).isZero();
    }

    @Example
    void aKeyIsHeldByOneAttemptAndItsAnswerIsKept() {
        assertThat(take("k", 5, attempt(1)).getResult()).isEqualTo(ClaimResult.CLAIM_GRANTED);
        assertThat(take("k", 5, attempt(1)).getResult()).isEqualTo(ClaimResult.CLAIM_GRANTED);
        assertThat(take("k", 5, attempt(2)).getResult()).isEqualTo(ClaimResult.CLAIM_HELD);
        assertThat(take("k", 6, attempt(2)).getResult()).isEqualTo(ClaimResult.CLAIM_CONFLICT);
        ClaimRequest end = request("k")
                .setEnd(ClaimEnd.newBuilder()
                        .setAttempt(attempt(1))
                        .setHead(ExchangeHead.newBuilder().setStatus(200))
                        .setBody(ByteString.copyFromUtf8("42")))
                .build();
        assertThat(claim(end).getResult()).isEqualTo(ClaimResult.CLAIM_DONE);
        ClaimAnswer resend = take("k", 5, attempt(3));
        assertThat(resend.getResult()).isEqualTo(ClaimResult.CLAIM_ANSWERED);
        assertThat(resend.getBody().toStringUtf8()).isEqualTo("42");
    }

    /*
     * A request runs twice under one key: after two concurrent resends, two entries learn that the first attempt did
     * not run, and both start the next. Only one of the moves may be granted.
     */
    @Example
    void aClaimIsMovedOnlyOnce() {
        take("k", 5, attempt(1));
        assertThat(move("k", attempt(1), attempt(2)).getResult()).isEqualTo(ClaimResult.CLAIM_GRANTED);
        assertThat(move("k", attempt(1), attempt(3)).getResult()).isEqualTo(ClaimResult.CLAIM_HELD);
    }

    /*
     * An event starts and no engine has its adapter, because loads were ordered only for the first request. Loads must
     * be ordered before the start, and only a few at a time, as the bandwidth of the weight store is limited.
     */
    @Example
    void theAdaptersOfAnEventAreLoadedBeforeItsStartAFewAtATime() {
        apply(
                0,
                "{\"models\":{\"m\":{}},\"events\":{\"fair\":{\"start\":\"2027-01-15T08:00:00Z\","
                        + "\"adapters\":[\"a\"],\"engines\":3}}}");
        announceAll();
        receive(
                Address.PROCESS,
                Envelope.newBuilder()
                        .setWallClock(WallClock.newBuilder().setEpochMs(EVENT_START_UNIX_MILLIS - 3_600_000)));
        assertThat(ordersWithin(3)).isEmpty();
        receive(
                Address.PROCESS,
                Envelope.newBuilder()
                        .setWallClock(WallClock.newBuilder().setEpochMs(EVENT_START_UNIX_MILLIS - 60_000)));
        List<OrderSent> first = ordersWithin(5);
        assertThat(first.stream().map(sent -> sent.getOrder().getEngine()).distinct())
                .hasSize(2);
        assertThat(first)
                .allMatch(sent -> sent.getOrder().getBody().getLoadAdapter().equals("a"));
        long number = first.getFirst().getOrder().getNumber();
        OrderReport report = OrderReport.newBuilder()
                .setNumber(number)
                .setApplied(true)
                .setGroup("region")
                .build();
        receive(
                Address.of(first.getFirst().getOrder().getEngine()),
                Envelope.newBuilder().setOrderReport(report));
        enginesWithAdapter.add(first.getFirst().getOrder().getEngine());
        assertThat(ordersWithin(5).stream()
                        .map(sent -> sent.getOrder().getEngine())
                        .distinct())
                .hasSize(2);
    }

    /* All entries lose their memory at once, and streams that callers resume are refused as of unknown version. */
    @Example
    void theRecordOfAStreamIsKeptForAMinuteForThoseWhoAsk() {
        sendRecord("q", "v1.1");
        advance(50_000);
        StreamAnswer answer = ask("q");
        assertThat(answer.getRecord().getVersion()).isEqualTo("v1.1");
        assertThat(answer.getRecord().getService()).isEqualTo("s");
        assertThat(answer.getRecord().getAgeMs()).isBetween(50_000, 50_100);
        advance(11_000);
        assertThat(ask("q").hasRecord()).isFalse();
    }

    /* An entry takes control's answer for knowledge of all versions, and goes on with the stream at another one. */
    @Example
    void aStreamWithoutARecordIsAnsweredWithoutAnyClaimToKnowTheVersions() {
        StreamAnswer answer = ask("q");
        assertThat(answer.hasRecord()).isFalse();
        assertThat(answer.getVersionsList()).isEmpty();
        assertThat(answer.getComplete()).isFalse();
    }

    /* Two entries record one stream at different versions, and the caller gets events of both. */
    @Example
    void whereTwoVersionsAreRecordedOfOneStreamNeitherIsTold() {
        sendRecord("q", "v1.1");
        sendRecord("q", "v1.2");
        assertThat(ask("q").hasRecord()).isFalse();
        sendRecord("q", "v1.1");
        assertThat(ask("q").hasRecord()).isFalse();
    }

    /* All entries restart and then all control processes; callers that resume a stream later are refused. */
    @Example
    void anEntryThatStartsIsSentTheRecordsThatItIsToKeepOnce() {
        sendRecord("q", "v1.1");
        out.take(message -> true);
        subscribe(5);
        advance(100);
        assertThat(out.take(Envelope::hasStreamRecords))
                .singleElement()
                .satisfies(message -> assertThat(
                                message.getStreamRecords().getRecords(0).getStream())
                        .isEqualTo("q"));
        subscribe(5);
        advance(100);
        assertThat(out.take(Envelope::hasStreamRecords)).isEmpty();
        subscribe(6);
        advance(100);
        assertThat(out.take(Envelope::hasStreamRecords)).hasSize(1);
    }

    /* A control process that sends a hundred thousand records in one step does not answer its peers meanwhile. */
    @Example
    void manyRecordsAreSentToAStartingEntryInParts() {
        for (int number = 0; number < 12_000; number++) {
            sendRecord("q" + number, "v1.1");
        }
        out.take(message -> true);
        subscribe(5);
        int most = 0;
        int sent = 0;
        for (int tick = 0; tick < 40; tick++) {
            advance(10);
            List<Envelope> messages = out.take(Envelope::hasStreamRecords);
            int records = messages.stream()
                    .mapToInt(message -> message.getStreamRecords().getRecordsCount())
                    .sum();
            assertThat(messages).allMatch(message -> message.getStreamRecords().getRecordsCount() <= 256);
            most = Math.max(most, records);
            sent += records;
        }
        assertThat(sent).isEqualTo(12_000);
        assertThat(most).isLessThanOrEqualTo(5_000);
    }

    private void subscribe(long incarnation) {
        Envelope.Builder message =
                Envelope.newBuilder().setSubscribe(Subscribe.newBuilder().setWantsDirectory(true));
        core.accept(
                now, message.setFrom(ENTRY.value()).setIncarnation(incarnation).build(), out);
        settle();
    }

    private void sendRecord(String stream, String version) {
        StreamRecord record = StreamRecord.newBuilder()
                .setStream(stream)
                .setService("s")
                .setVersion(version)
                .setAgeMs(30)
                .build();
        receive(
                ENTRY,
                Envelope.newBuilder()
                        .setStreamRecords(StreamRecordBatch.newBuilder().addRecords(record)));
    }

    private StreamAnswer ask(String stream) {
        out.take(message -> true);
        receive(
                ENTRY,
                Envelope.newBuilder()
                        .setStreamQuery(StreamQuery.newBuilder()
                                .setNumber(nextRequestId++)
                                .setStream(stream)
                                .setService("s")
                                .setWindowMs(16_000)));
        List<Envelope> answers = out.take(Envelope::hasStreamAnswer);
        assertThat(answers).hasSize(1);
        assertThat(answers.getFirst().getStreamAnswer().getNumber()).isEqualTo(nextRequestId - 1);
        return answers.getFirst().getStreamAnswer();
    }

    private List<OrderSent> ordersWithin(int seconds) {
        out.take(message -> true);
        for (int i = 0; i < seconds; i++) {
            advance(1_000);
            announceAll();
        }
        return out.take(Envelope::hasOrderSent).stream()
                .map(Envelope::getOrderSent)
                .toList();
    }

    private void announceAll() {
        for (int engine = 1; engine <= 4; engine++) {
            Address address = Address.of("10.0.2." + engine + ":7000");
            LoadReport.Builder load = LoadReport.newBuilder().addModels("m");
            if (enginesWithAdapter.contains(address.value())) {
                load.addAdapters("a");
            }
            Announce announce = Announce.newBuilder()
                    .setRegion("r")
                    .setVm("engine-" + engine)
                    .setLoad(load)
                    .build();
            receive(address, Envelope.newBuilder().setAnnounce(announce));
        }
    }

    private AdminAnswer apply(long base, int weight) {
        return apply(base, "{\"organisations\":{\"o\":{\"weight\":" + weight + "}}}");
    }

    private AdminAnswer apply(long base, String text) {
        ByteString config = ByteString.copyFromUtf8(text);
        ConfigApply apply = ConfigApply.newBuilder()
                .setBaseVersion(base)
                .setConfig(config)
                .setHash(MergedConfig.hash(config.toByteArray()))
                .build();
        receive(
                Address.ADMINISTRATORS,
                Envelope.newBuilder()
                        .setAdminRequest(AdminRequest.newBuilder()
                                .setQuestion(nextRequestId++)
                                .setConfigApply(apply)));
        return out.take(Envelope::hasAdminAnswer).getFirst().getAdminAnswer();
    }

    private static AttemptRef attempt(long number) {
        return AttemptRef.newBuilder().setSession(1).setNumber(number).build();
    }

    private ClaimRequest.Builder request(String key) {
        return ClaimRequest.newBuilder()
                .setQuestion(nextRequestId++)
                .setGroup("region")
                .setKey(key);
    }

    private ClaimAnswer take(String key, long hash, AttemptRef attempt) {
        return claim(request(key)
                .setTake(ClaimTake.newBuilder().setBodyHash(hash).setAttempt(attempt))
                .build());
    }

    private ClaimAnswer move(String key, AttemptRef from, AttemptRef to) {
        return claim(request(key)
                .setMove(ClaimMove.newBuilder().setFrom(from).setTo(to))
                .build());
    }

    private ClaimAnswer claim(ClaimRequest request) {
        receive(ENTRY, Envelope.newBuilder().setClaimRequest(request));
        return out.take(Envelope::hasClaimAnswer).getFirst().getClaimAnswer();
    }

    private void receive(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(9).build(), out);
        settle();
    }

    private void advance(long millis) {
        now += Durations.nanos(millis);
        settle();
    }

    /** Ticks the core and confirms its writes until no write is pending. */
    private void settle() {
        for (int i = 0; i < 4; i++) {
            core.tick(now, out);
            for (String group : core.groups()) {
                Persisted confirmation = Persisted.newBuilder()
                        .setGroup(group)
                        .setSequence(Long.MAX_VALUE)
                        .build();
                core.accept(
                        now,
                        Envelope.newBuilder()
                                .setFrom(Address.STORAGE.value())
                                .setPersisted(confirmation)
                                .build(),
                        out);
            }
        }
    }
}
