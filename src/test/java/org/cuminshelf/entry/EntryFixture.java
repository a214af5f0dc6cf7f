package org.cuminshelf.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Exchange;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.SessionOpened;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamKind;

/** An entry's core with one engine and one plain service in its table, driven by hand. */
final class EntryFixture {

    static final Address CONTROL = Address.of("10.0.0.1:7000");
    static final Address ENGINE = Address.of("10.0.2.1:7000");
    static final Address OTHER_ENGINE = Address.of("10.0.2.2:7000");
    static final Address SERVICE = Address.of("10.0.3.1:7000");
    static final long FIRST = 11;
    private static final String CONFIG = "{\"models\":{\"m\":{}},\"services\":{\"s\":{}},"
            + "\"organisations\":{\"limited\":{\"requests-per-second\":1,\"burst\":1}}}";

    final RecordingOutbox out = new RecordingOutbox();
    final EntryCore core;
    long now = Durations.nanos(1_000);
    private long nextCall = 1;

    EntryFixture() {
        EntrySettings settings = EntrySettings.of("r", "z", "e", List.of(CONTROL), 100, 32, "region");
        core = EntryCore.start(settings, Address.of("10.0.1.1:7000"), 1, now, Invariants.throwing());
        Update update = Update.newBuilder()
                .setConfigVersion(1)
                .setConfig(ByteString.copyFromUtf8(CONFIG))
                .setConfirmed(true)
                .setVoter(true)
                .setWholeDirectory(true)
                .addMembers(member(ENGINE, UpstreamKind.UPSTREAM_ENGINE))
                .addMembers(member(SERVICE, UpstreamKind.UPSTREAM_SERVICE))
                .build();
        give(CONTROL, 1, Envelope.newBuilder().setUpdate(update));
    }

    static Member member(Address address, UpstreamKind kind) {
        return Member.newBuilder()
                .setAddress(address.value())
                .setIncarnation(FIRST)
                .setKind(kind)
                .setService(kind == UpstreamKind.UPSTREAM_SERVICE ? "s" : "")
                .addModels("m")
                .setZone("z")
                .build();
    }

    void addEngine(Address address) {
        Update update = Update.newBuilder()
                .addMembers(member(address, UpstreamKind.UPSTREAM_ENGINE))
                .build();
        give(CONTROL, 1, Envelope.newBuilder().setUpdate(update));
    }

    void give(Address from, long incarnation, Envelope.Builder message) {
        core.accept(
                now, message.setFrom(from.value()).setIncarnation(incarnation).build(), out);
        core.tick(now, out);
    }

    void open(Address sidecar, long incarnation, long session) {
        openFor(1, sidecar, incarnation, session);
    }

    void openFor(long entryIncarnation, Address sidecar, long incarnation, long session) {
        SessionOpened opened = SessionOpened.newBuilder()
                .setEntryIncarnation(entryIncarnation)
                .setSession(session)
                .setLoad(LoadReport.newBuilder().setSlots(8))
                .build();
        give(sidecar, incarnation, Envelope.newBuilder().setSessionOpened(opened));
    }

    void pass(long millis) {
        now += Durations.nanos(millis);
        core.tick(now, out);
    }

    long generate(int maxTokens) {
        Generation generation = Generation.newBuilder()
                .setModel("m")
                .setPrompt("p")
                .setPromptTokens(10)
                .setMaxTokens(maxTokens)
                .build();
        return call(CallArrived.newBuilder().setGeneration(generation).setDeadlineMs(30_000));
    }

    long exchange(String key) {
        return call(exchange().setIdempotencyKey(key));
    }

    CallArrived.Builder exchange() {
        Exchange exchange = Exchange.newBuilder()
                .setService("s")
                .setMethod("POST")
                .setPath("/")
                .build();
        return CallArrived.newBuilder().setExchange(exchange).setDeadlineMs(5_000);
    }

    long call(CallArrived.Builder call) {
        long id = nextCall++;
        give(Address.CALLERS, 1, Envelope.newBuilder().setCallArrived(call.setCall(id)));
        return id;
    }

    List<Dispatch> dispatches() {
        return out.take(Envelope::hasDispatch).stream()
                .map(Envelope::getDispatch)
                .toList();
    }
}
