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

/** Drives an entry's core by hand with as many upstreams as asked for. */
final class EntryLoad {

    private static final Address CONTROL = Address.of("10.0.0.1:7000");
    private static final int SLOTS = 64;
    private static final int PREFIX_BLOCKS = 16;

    final NullOutbox out = new NullOutbox();
    private final EntryCore core;
    private final List<Address> upstreams = new ArrayList<>();
    private long now = Durations.nanos(1_000);
    private long nextCall = 1;

    EntryLoad(int upstreamCount, int subset) {
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
        give(CONTROL, Envelope.newBuilder().setUpdate(update));
        heartbeats();
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

    /** Opens or renews the sessions that the core asks for. */
    void heartbeats() {
        now += Durations.nanos(1_000);
        core.tick(now, out);
        out.take();
        for (int i = 0; i < upstreams.size(); i++) {
            report(i);
        }
    }

    /** Gives one load report of an upstream. */
    void report(int upstream) {
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
        give(upstreams.get(upstream), Envelope.newBuilder().setSessionOpened(opened));
    }

    /** Runs one call through: arrival, dispatch, so many tokens, end. Tells the time of the decision alone. */
    void call(int tokens, String organisation, LongConsumer decisionNanos) {
        long id = nextCall++;
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
        give(Address.CALLERS, Envelope.newBuilder().setCallArrived(call));
        decisionNanos.accept(System.nanoTime() - start);
        Envelope sent =
                out.take().stream().filter(Envelope::hasDispatch).findFirst().orElseThrow();
        answer(sent.getDispatch(), tokens);
        out.take();
    }

    private void answer(Dispatch dispatch, int tokens) {
        Address upstream = upstreams.get((int) dispatch.getSession() - 1);
        for (int token = 0; token < tokens; token++) {
            now += 10_000;
            Chunk chunk = Chunk.newBuilder()
                    .setSession(dispatch.getSession())
                    .setNumber(dispatch.getNumber())
                    .setOffset(token)
                    .addTokens(" token")
                    .build();
            give(upstream, Envelope.newBuilder().setChunk(chunk));
        }
        Ended ended = Ended.newBuilder()
                .setSession(dispatch.getSession())
                .setNumber(dispatch.getNumber())
                .setLength(tokens)
                .setRan(Ran.RAN)
                .setLoad(LoadReport.newBuilder().setSlots(SLOTS).setCounted(dispatch.getNumber()))
                .build();
        give(upstream, Envelope.newBuilder().setEnded(ended));
    }

    /** Lets time pass, answering heartbeats, and tells nothing. */
    void idleSecond() {
        now += Durations.nanos(1_000);
        core.tick(now, out);
        for (Envelope message : out.take()) {
            if (message.hasOpenSession()) {
                core.tick(now, out);
            }
        }
    }

    private void give(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(1L << 60).build(), out);
        core.tick(now, out);
    }
}
