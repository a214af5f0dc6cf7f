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

/**
 * Benchmark of the marginal cost of an upstream, an organisation, a request and a load report in the cores, without
 * sockets, and of message sizes.
 */
public final class SlopeBench {

    private static final int SUBSET_SIZE = 32;
    private static final int TOKENS_PER_CALL = 50;
    private static final int WARM_UP_CALLS = 3_000;
    private static final int MEASURED_CALLS = 10_000;
    /** Time after its start at which a sidecar accepts work. */
    private static final long SIDECAR_READY_NANOS = 10_000_000_000L;

    private static final int[] UPSTREAM_COUNTS = {17, 300, 900};

    private SlopeBench() {}

    /**
     * Runs all measurements.
     *
     * @return result lines of the form {@code name = value unit}
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        for (int upstreamCount : UPSTREAM_COUNTS) {
            measureEntryCalls(upstreamCount, lines);
        }
        measureLoadReports(lines);
        measureEntryHeap(lines);
        measureSidecarAttempts(lines);
        measureMessageSizes(lines);
        return lines;
    }

    private static void measureEntryCalls(int upstreamCount, List<String> lines) {
        EntryCoreDriver driver = new EntryCoreDriver(upstreamCount, SUBSET_SIZE);
        Histogram decisionNanos = new Histogram(3);
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            driver.call(TOKENS_PER_CALL, "organisation-" + i % 2_000, nanos -> {});
        }
        driver.exchangeHeartbeats();
        long start = System.nanoTime();
        for (int i = 0; i < MEASURED_CALLS; i++) {
            driver.call(TOKENS_PER_CALL, "organisation-" + i % 2_000, decisionNanos::recordValue);
        }
        long totalNanos = System.nanoTime() - start;
        lines.add(String.format(
                "entry core, %d upstreams: decision p50 = %.1f us, p99 = %.1f us",
                upstreamCount,
                decisionNanos.getValueAtPercentile(50) / 1e3,
                decisionNanos.getValueAtPercentile(99) / 1e3));
        lines.add(String.format(
                "entry core, %d upstreams: whole call of %d tokens = %.1f us",
                upstreamCount, TOKENS_PER_CALL, totalNanos / 1e3 / MEASURED_CALLS));
    }

    private static void measureLoadReports(List<String> lines) {
        EntryCoreDriver driver = new EntryCoreDriver(900, SUBSET_SIZE);
        for (int i = 0; i < WARM_UP_CALLS * 10; i++) {
            driver.sendLoadReport(i % 900);
            driver.outbox.takeMessages();
        }
        long start = System.nanoTime();
        for (int i = 0; i < MEASURED_CALLS * 10; i++) {
            driver.sendLoadReport(i % 900);
            driver.outbox.takeMessages();
        }
        lines.add(String.format(
                "entry core: load report = %.2f us", (System.nanoTime() - start) / 1e3 / (MEASURED_CALLS * 10)));
    }

    private static void measureEntryHeap(List<String> lines) {
        long smallFleetBytes = Heap.retainedBytes(() -> new EntryCoreDriver(100, SUBSET_SIZE));
        long largeFleetBytes = Heap.retainedBytes(() -> new EntryCoreDriver(900, SUBSET_SIZE));
        lines.add(String.format("entry core: heap for 900 upstreams = %.2f MB", largeFleetBytes / 1e6));
        lines.add(String.format("entry core: heap per upstream = %d bytes", (largeFleetBytes - smallFleetBytes) / 800));
        EntryCoreDriver driver = new EntryCoreDriver(100, SUBSET_SIZE);
        long organisationBytes = Heap.retainedBytes(() -> {
            for (int i = 0; i < 2_000; i++) {
                driver.call(1, "organisation-number-" + i, nanos -> {});
            }
            return driver;
        });
        lines.add(String.format("entry core: heap per organisation = %d bytes", organisationBytes / 2_000));
    }

    private static void measureSidecarAttempts(List<String> lines) {
        SidecarSettings settings = new SidecarSettings(
                "", UpstreamKind.UPSTREAM_ENGINE, "r", "z", "vm", 64, false, List.of(Address.of("10.0.0.1:7000")));
        SidecarCore core =
                SidecarCore.start(settings, 1, 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1), Invariants.throwing());
        CountingOutbox outbox = new CountingOutbox();
        Address entry = Address.of("10.0.1.1:7000");
        deliver(core, 1, entry, Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()), outbox);
        long session = outbox.takeMessages().stream()
                .filter(Envelope::hasSessionOpened)
                .findFirst()
                .orElseThrow()
                .getSessionOpened()
                .getSession();
        deliver(
                core,
                SIDECAR_READY_NANOS,
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setUpstreamState(
                                UpstreamState.newBuilder().setReachable(true).setToken(Long.MAX_VALUE - 1)),
                outbox);
        core.tick(SIDECAR_READY_NANOS, outbox);
        long start = 0;
        for (int i = 1; i <= WARM_UP_CALLS + MEASURED_CALLS; i++) {
            if (i == WARM_UP_CALLS) {
                start = System.nanoTime();
            }
            runAttempt(core, entry, session, SIDECAR_READY_NANOS + i, i, outbox);
        }
        lines.add(String.format(
                "sidecar core: whole attempt of %d tokens = %.1f us",
                TOKENS_PER_CALL, (System.nanoTime() - start) / 1e3 / MEASURED_CALLS));
    }

    private static void runAttempt(
            SidecarCore core, Address entry, long session, long now, long number, CountingOutbox outbox) {
        Dispatch dispatch = Dispatch.newBuilder()
                .setSession(session)
                .setNumber(number)
                .setGeneration(Generation.newBuilder().setModel("m").setPrompt("a prompt of usual length"))
                .build();
        deliver(core, now, entry, Envelope.newBuilder().setDispatch(dispatch), outbox);
        for (int token = 0; token < TOKENS_PER_CALL; token++) {
            UpstreamPart part = UpstreamPart.newBuilder()
                    .setAttempt(number)
                    .addTokens(" token")
                    .build();
            deliver(core, now, Address.UPSTREAM, Envelope.newBuilder().setUpstreamPart(part), outbox);
        }
        UpstreamEnd end =
                UpstreamEnd.newBuilder().setAttempt(number).setRan(Ran.RAN).build();
        deliver(core, now, Address.UPSTREAM, Envelope.newBuilder().setUpstreamEnd(end), outbox);
        outbox.takeMessages();
    }

    private static void deliver(
            SidecarCore core, long now, Address from, Envelope.Builder message, CountingOutbox outbox) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(1).build(), outbox);
        core.tick(now, outbox);
    }

    private static void measureMessageSizes(List<String> lines) {
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
        addMessageSize("announcement", Envelope.newBuilder().setAnnounce(announce), lines);
        Subscribe subscribe = Subscribe.newBuilder()
                .setConfigVersion(500)
                .setDirectoryVersion(10_000)
                .setDirectoryIncarnation(1L << 60)
                .setRegion("region-1")
                .setVm("entry-100")
                .setWantsDirectory(true)
                .build();
        addMessageSize("subscription heartbeat", Envelope.newBuilder().setSubscribe(subscribe), lines);
        Update update = Update.newBuilder()
                .setConfigVersion(500)
                .setDirectoryVersion(10_000)
                .setDirectoryIncarnation(1L << 60)
                .setRegion("region-1")
                .setEntries(330)
                .setVoter(true)
                .build();
        addMessageSize("update without news", Envelope.newBuilder().setUpdate(update), lines);
        Member member = EntryCoreDriver.member(Address.of("10.1.1.1:7000"), 100);
        lines.add("one member in an update = " + member.getSerializedSize() + " bytes");
        addMessageSize(
                "session heartbeat", Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()), lines);
        SessionOpened opened =
                SessionOpened.newBuilder().setSession(1L << 60).setLoad(load).build();
        addMessageSize("load report on a heartbeat", Envelope.newBuilder().setSessionOpened(opened), lines);
        ByteString config = ByteString.copyFrom(new byte[200_000]);
        addMessageSize(
                "update with a configuration of 200 kB",
                Envelope.newBuilder().setUpdate(update.toBuilder().setConfig(config)),
                lines);
    }

    private static void addMessageSize(String name, Envelope.Builder message, List<String> lines) {
        Envelope envelope =
                message.setFrom("10.0.0.100:7000").setIncarnation(1L << 60).build();
        lines.add(name + " = " + (envelope.getSerializedSize() + Integer.BYTES) + " bytes");
    }
}
