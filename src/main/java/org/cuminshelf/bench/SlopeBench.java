package org.cuminshelf.bench;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.message.Announce;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.Member;
import org.cuminshelf.message.OpenSession;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.SessionOpened;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.message.UpstreamPart;
import org.cuminshelf.message.UpstreamState;
import org.cuminshelf.sidecar.SidecarCore;
import org.cuminshelf.sidecar.SidecarSettings;

/** What one more upstream, organisation, request or report costs in the cores, without sockets. */
public final class SlopeBench {

    private static final int SUBSET = 32;
    private static final int TOKENS = 50;
    private static final int WARM_UP = 3_000;
    private static final int COUNTED = 10_000;
    /** Nanoseconds after the start at which a sidecar takes work. */
    private static final long SETTLED = 10_000_000_000L;

    private static final int[] FLEETS = {17, 300, 900};

    private SlopeBench() {}

    /**
     * Measures everything.
     *
     * @return lines of {@code name = value unit}
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        for (int fleet : FLEETS) {
            entryCalls(fleet, lines);
        }
        reports(lines);
        entryMemory(lines);
        sidecarCalls(lines);
        messageSizes(lines);
        return lines;
    }

    private static void entryCalls(int fleet, List<String> lines) {
        EntryLoad load = new EntryLoad(fleet, SUBSET);
        Histogram decisions = new Histogram(3);
        for (int i = 0; i < WARM_UP; i++) {
            load.call(TOKENS, "organisation-" + i % 2_000, nanos -> {});
        }
        load.heartbeats();
        long start = System.nanoTime();
        for (int i = 0; i < COUNTED; i++) {
            load.call(TOKENS, "organisation-" + i % 2_000, decisions::recordValue);
        }
        long total = System.nanoTime() - start;
        lines.add(String.format(
                "entry core, %d upstreams: decision p50 = %.1f us, p99 = %.1f us",
                fleet, decisions.getValueAtPercentile(50) / 1e3, decisions.getValueAtPercentile(99) / 1e3));
        lines.add(String.format(
                "entry core, %d upstreams: whole call of %d tokens = %.1f us", fleet, TOKENS, total / 1e3 / COUNTED));
    }

    private static void reports(List<String> lines) {
        EntryLoad load = new EntryLoad(900, SUBSET);
        for (int i = 0; i < WARM_UP * 10; i++) {
            load.report(i % 900);
            load.out.take();
        }
        long start = System.nanoTime();
        for (int i = 0; i < COUNTED * 10; i++) {
            load.report(i % 900);
            load.out.take();
        }
        lines.add(
                String.format("entry core: load report = %.2f us", (System.nanoTime() - start) / 1e3 / (COUNTED * 10)));
    }

    private static void entryMemory(List<String> lines) {
        long few = Heap.kept(() -> new EntryLoad(100, SUBSET));
        long many = Heap.kept(() -> new EntryLoad(900, SUBSET));
        lines.add(String.format("entry core: heap for 900 upstreams = %.2f MB", many / 1e6));
        lines.add(String.format("entry core: heap per upstream = %d bytes", (many - few) / 800));
        EntryLoad load = new EntryLoad(100, SUBSET);
        long organisations = Heap.kept(() -> {
            for (int i = 0; i < 2_000; i++) {
                load.call(1, "organisation-number-" + i, nanos -> {});
            }
            return load;
        });
        lines.add(String.format("entry core: heap per organisation = %d bytes", organisations / 2_000));
    }

    private static void sidecarCalls(List<String> lines) {
        SidecarSettings settings = new SidecarSettings(
                "", UpstreamKind.UPSTREAM_ENGINE, "r", "z", "vm", 64, false, List.of(Address.of("10.0.0.1:7000")));
        SidecarCore core =
                SidecarCore.start(settings, 1, 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1), Invariants.throwing());
        NullOutbox out = new NullOutbox();
        Address entry = Address.of("10.0.1.1:7000");
        give(core, 1, entry, Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()), out);
        long session = out.take().stream()
                .filter(Envelope::hasSessionOpened)
                .findFirst()
                .orElseThrow()
                .getSessionOpened()
                .getSession();
        give(
                core,
                SETTLED,
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setUpstreamState(
                                UpstreamState.newBuilder().setReachable(true).setToken(Long.MAX_VALUE - 1)),
                out);
        core.tick(SETTLED, out);
        long start = 0;
        for (int i = 1; i <= WARM_UP + COUNTED; i++) {
            if (i == WARM_UP) {
                start = System.nanoTime();
            }
            attempt(core, entry, session, SETTLED + i, i, out);
        }
        lines.add(String.format(
                "sidecar core: whole attempt of %d tokens = %.1f us",
                TOKENS, (System.nanoTime() - start) / 1e3 / COUNTED));
    }

    private static void attempt(SidecarCore core, Address entry, long session, long now, long number, NullOutbox out) {
        Dispatch dispatch = Dispatch.newBuilder()
                .setSession(session)
                .setNumber(number)
                .setGeneration(Generation.newBuilder().setModel("m").setPrompt("a prompt of usual length"))
                .build();
        give(core, now, entry, Envelope.newBuilder().setDispatch(dispatch), out);
        for (int token = 0; token < TOKENS; token++) {
            UpstreamPart part = UpstreamPart.newBuilder()
                    .setAttempt(number)
                    .addTokens(" token")
                    .build();
            give(core, now, Address.UPSTREAM, Envelope.newBuilder().setUpstreamPart(part), out);
        }
        UpstreamEnd end =
                UpstreamEnd.newBuilder().setAttempt(number).setRan(Ran.RAN).build();
        give(core, now, Address.UPSTREAM, Envelope.newBuilder().setUpstreamEnd(end), out);
        out.take();
    }

    private static void give(SidecarCore core, long now, Address from, Envelope.Builder message, NullOutbox out) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(1).build(), out);
        core.tick(now, out);
    }

    private static void messageSizes(List<String> lines) {
        LoadReport load = LoadReport.newBuilder()
                .setRunning(40)
                .setQueued(3)
                .setQueuedPromptTokens(4_000)
                .setSlots(64)
                .setPromptTokensDone(123_456_789)
                .setOutputTokensDone(123_456_789)
                .addModels("cataloguer")
                .addAdapters("croatian-records")
                .build();
        Announce announce = Announce.newBuilder()
                .setRegion("region-1")
                .setZone("zone-1")
                .setVm("engine-100")
                .setLoad(load)
                .setConfigVersion(500)
                .build();
        size("announcement", Envelope.newBuilder().setAnnounce(announce), lines);
        Subscribe subscribe = Subscribe.newBuilder()
                .setConfigVersion(500)
                .setDirectoryVersion(10_000)
                .setDirectoryIncarnation(1L << 60)
                .setRegion("region-1")
                .setVm("entry-100")
                .setWantsDirectory(true)
                .build();
        size("subscription heartbeat", Envelope.newBuilder().setSubscribe(subscribe), lines);
        Update update = Update.newBuilder()
                .setConfigVersion(500)
                .setDirectoryVersion(10_000)
                .setDirectoryIncarnation(1L << 60)
                .setRegion("region-1")
                .setEntries(330)
                .setVoter(true)
                .build();
        size("update without news", Envelope.newBuilder().setUpdate(update), lines);
        Member member = EntryLoad.member(Address.of("10.1.1.1:7000"), 100);
        lines.add("one member in an update = " + member.getSerializedSize() + " bytes");
        size("session heartbeat", Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()), lines);
        SessionOpened opened =
                SessionOpened.newBuilder().setSession(1L << 60).setLoad(load).build();
        size("load report on a heartbeat", Envelope.newBuilder().setSessionOpened(opened), lines);
        ByteString config = ByteString.copyFrom(new byte[200_000]);
        size(
                "update with a configuration of 200 kB",
                Envelope.newBuilder().setUpdate(update.toBuilder().setConfig(config)),
                lines);
    }

    private static void size(String name, Envelope.Builder message, List<String> lines) {
        Envelope stamped =
                message.setFrom("10.0.0.100:7000").setIncarnation(1L << 60).build();
        lines.add(name + " = " + (stamped.getSerializedSize() + Integer.BYTES) + " bytes");
    }
}
