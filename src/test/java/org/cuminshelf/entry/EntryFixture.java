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

/** The core of an entry with one engine and one service in its directory; a test sends messages and sets the time. */
final class EntryFixture {

    static final Address CONTROL = Address.of("10.0.0.1:7000");
    static final Address ENGINE = Address.of("10.0.2.1:7000");
    static final Address OTHER_ENGINE = Address.of("10.0.2.2:7000");
    static final Address SERVICE = Address.of("10.0.3.1:7000");
    /** First incarnation of all sidecars. */
    static final long INCARNATION = 11;

    private static final long TICK_INTERVAL_NANOS = Durations.nanos(100);
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
        deliver(CONTROL, 1, Envelope.newBuilder().setUpdate(update));
    }

    static Member member(Address address, UpstreamKind kind) {
        return Member.newBuilder()
                .setAddress(address.value())
                .setIncarnation(INCARNATION)
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
        deliver(CONTROL, 1, Envelope.newBuilder().setUpdate(update));
    }

    void deliver(Address from, long incarnation, Envelope.Builder message) {
        core.accept(
                now, message.setFrom(from.value()).setIncarnation(incarnation).build(), out);
        core.tick(now, out);
    }

    void openSession(Address sidecar, long incarnation, long session) {
        openSessionFor(1, sidecar, incarnation, session);
    }

    /** Opens a session for the given incarnation of the entry; that of this entry is 1. */
    void openSessionFor(long entryIncarnation, Address sidecar, long incarnation, long session) {
        openSession(entryIncarnation, sidecar, incarnation, session, 8);
    }

    /** Opens a session with a sidecar whose upstream has a number of slots. */
    void openSession(long entryIncarnation, Address sidecar, long incarnation, long session, int slots) {
        SessionOpened opened = SessionOpened.newBuilder()
                .setEntryIncarnation(entryIncarnation)
                .setSession(session)
                .setLoad(LoadReport.newBuilder().setSlots(slots))
                .build();
        deliver(sidecar, incarnation, Envelope.newBuilder().setSessionOpened(opened));
    }

    /** Lets time pass with ticks as frequent as those of a process. */
    void advanceMillis(long millis) {
        long end = now + Durations.nanos(millis);
        while (now < end) {
            now = Math.min(end, now + TICK_INTERVAL_NANOS);
            core.tick(now, out);
        }
    }

    /** Lets time pass in which the process neither ticks nor reads what has arrived; then it ticks once. */
    void pauseMillis(long millis) {
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
        deliver(Address.CALLERS, 1, Envelope.newBuilder().setCallArrived(call.setCall(id)));
        return id;
    }

    List<Dispatch> dispatches() {
        return out.take(Envelope::hasDispatch).stream()
                .map(Envelope::getDispatch)
                .toList();
    }
}
