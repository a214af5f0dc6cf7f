package org.cuminshelf.bench;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.entry.EntryCore;
import org.cuminshelf.entry.EntrySettings;
import org.cuminshelf.message.CallArrived;
import org.cuminshelf.message.Chunk;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.SessionOpened;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamKind;

/** Drives an {@link EntryCore} without sockets, simulating control and a given number of upstreams. */
final class EntryCoreDriver {

    private static final Address CONTROL = Address.of("10.0.0.1:7000");
    private static final int SLOTS = 64;
    private static final int PREFIX_BLOCKS = 16;

    final CountingOutbox outbox = new CountingOutbox();
    private final EntryCore core;
    private final List<Address> upstreams = new ArrayList<>();
    private long now = Durations.nanos(1_000);
    private long nextCallId = 1;

    EntryCoreDriver(int upstreamCount, int subset) {
        EntrySettings settings = EntrySettings.of("r", "zone-0", "e", List.of(CONTROL), 10_000, subset, "region");
        core = EntryCore.start(settings, Address.of("10.0.1.1:7000"), 1, now, Invariants.throwing());
        Update.Builder update = Update.newBuilder()
                .setConfigVersion(1)
                .setConfig(ByteString.copyFromUtf8("{\"models\":{\"m\":{}}}"))
                .setConfirmed(true)
                .setVoter(true)
                .setWholeDirectory(true);
        for (int number = 0; number < upstreamCount; number++) {
            Address address = Address.of("10.1." + number / 250 + "." + (number % 250 + 1) + ":7000");
            upstreams.add(address);
            update.addMembers(member(address, number));
        }
        deliver(CONTROL, Envelope.newBuilder().setUpdate(update));
        exchangeHeartbeats();
    }

    static Member member(Address address, int number) {
        return Member.newBuilder()
                .setAddress(address.value())
                .setIncarnation(1L << 60)
                .setKind(UpstreamKind.UPSTREAM_ENGINE)
                .setRegion("region-1")
                .setZone("zone-" + number % 4)
                .setVm("engine-" + number)
                .addModels("m")
                .setChangedAt(number)
                .build();
    }

    /** Advances time by 1 s and opens or renews the session of every upstream with a load report. */
    void exchangeHeartbeats() {
        now += Durations.nanos(1_000);
        core.tick(now, outbox);
        outbox.takeMessages();
        for (int i = 0; i < upstreams.size(); i++) {
            sendLoadReport(i);
        }
    }

    /** Delivers a load report from the upstream with the given index. */
    void sendLoadReport(int upstream) {
        LoadReport load = LoadReport.newBuilder()
                .setSlots(SLOTS)
                .setRunning(3)
                .setQueuedPromptTokens(500)
                .addModels("m")
                .build();
        SessionOpened opened = SessionOpened.newBuilder()
                .setSession(upstream + 1)
                .setEntryIncarnation(1)
                .setLoad(load)
                .build();
        deliver(upstreams.get(upstream), Envelope.newBuilder().setSessionOpened(opened));
    }

    /**
     * Runs one call from arrival through dispatch and the given number of tokens to its end. Passes only the time
     * that the core took to decide on the call at its arrival to the recorder, in nanoseconds.
     */
    void call(int tokens, String organisation, LongConsumer decisionNanosRecorder) {
        long id = nextCallId++;
        Generation.Builder generation = Generation.newBuilder()
                .setModel("m")
                .setPrompt("a prompt of usual length")
                .setPromptTokens(PREFIX_BLOCKS * 64)
                .setMaxTokens(tokens);
        for (int block = 0; block < PREFIX_BLOCKS; block++) {
            generation.addPrefix(id % 20 * 1_000 + block);
        }
        CallArrived call = CallArrived.newBuilder()
                .setCall(id)
                .setGeneration(generation)
                .setOrganisation(organisation)
                .build();
        now += 100_000;
        long start = System.nanoTime();
        deliver(Address.CALLERS, Envelope.newBuilder().setCallArrived(call));
        decisionNanosRecorder.accept(System.nanoTime() - start);
        Envelope sent = outbox.takeMessages().stream()
                .filter(Envelope::hasDispatch)
                .findFirst()
                .orElseThrow();
        sendAnswer(sent.getDispatch(), tokens);
        outbox.takeMessages();
    }

    private void sendAnswer(Dispatch dispatch, int tokens) {
        Address upstream = upstreams.get((int) dispatch.getSession() - 1);
        for (int token = 0; token < tokens; token++) {
            now += 10_000;
            Chunk chunk = Chunk.newBuilder()
                    .setSession(dispatch.getSession())
                    .setNumber(dispatch.getNumber())
                    .setOffset(token)
                    .addTokens(" token")
                    .build();
            deliver(upstream, Envelope.newBuilder().setChunk(chunk));
        }
        Ended ended = Ended.newBuilder()
                .setSession(dispatch.getSession())
                .setNumber(dispatch.getNumber())
                .setLength(tokens)
                .setRan(Ran.RAN)
                .setLoad(LoadReport.newBuilder().setSlots(SLOTS).setCounted(dispatch.getNumber()))
                .build();
        deliver(upstream, Envelope.newBuilder().setEnded(ended));
    }

    /** Advances time by 1 s without delivering any message; each session heartbeat triggers another tick. */
    void advanceIdleSecond() {
        now += Durations.nanos(1_000);
        core.tick(now, outbox);
        for (Envelope message : outbox.takeMessages()) {
            if (message.hasOpenSession()) {
                core.tick(now, outbox);
            }
        }
    }

    private void deliver(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(1L << 60).build(), outbox);
        core.tick(now, outbox);
    }
}
