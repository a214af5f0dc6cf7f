package org.cuminshelf.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.AttemptRef;
import org.cuminshelf.message.ClaimAnswer;
import org.cuminshelf.message.ClaimRequest;
import org.cuminshelf.message.ClaimResult;
import org.cuminshelf.message.ClaimTake;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.network.TcpNetwork;
import org.cuminshelf.process.CommonSettings;
import org.cuminshelf.process.ControlProcess;
import org.cuminshelf.replica.ReplicaSettings;

/** Claims through a group of three control processes with real disks and sockets, with group commit and without. */
public final class ClaimBench {

    private static final String HOST = "127.0.0.1";
    private static final String GROUP = "region";
    private static final int REPLICAS = 3;
    private static final int CLAIMS = 4_000;
    private static final int[] OUTSTANDING = {1, 16, 128};
    private static final long PATIENCE_SECONDS = 30;
    private static final long MOST_WITHOUT_GROUP_COMMIT = 600;

    private final List<Address> addresses = new ArrayList<>();
    private final TcpNetwork network = TcpNetwork.open(1, Optional.empty());
    private final Map<Long, Long> sentAt = new ConcurrentHashMap<>();
    private final Address self;
    private volatile Address leader;
    private volatile Semaphore slots = new Semaphore(0);
    private volatile Histogram latencies = new ConcurrentHistogram(3);
    private final AtomicLong granted = new AtomicLong();
    private long nextQuestion = 1;

    private ClaimBench() throws IOException {
        self = freeAddress();
        for (int i = 0; i < REPLICAS; i++) {
            addresses.add(freeAddress());
        }
        leader = addresses.getFirst();
    }

    /**
     * Measures both.
     *
     * @return lines of figures
     * @throws IOException          if a process can not be started
     * @throws InterruptedException if the wait is interrupted
     */
    public static List<String> measure() throws IOException, InterruptedException {
        List<String> lines = new ArrayList<>();
        for (boolean groupCommit : new boolean[] {true, false}) {
            new ClaimBench().measure(groupCommit, lines);
        }
        return lines;
    }

    private void measure(boolean groupCommit, List<String> lines) throws IOException, InterruptedException {
        List<ControlProcess> processes = new ArrayList<>();
        Path folder = Files.createTempDirectory("claims");
        try {
            for (Address address : addresses) {
                processes.add(start(address, folder.resolve(address.value().replace(':', '-')), groupCommit));
            }
            network.listen(self, this::onMessage);
            awaitLeader();
            for (int outstanding : OUTSTANDING) {
                long claims = groupCommit ? CLAIMS : Math.min(CLAIMS, MOST_WITHOUT_GROUP_COMMIT);
                run(outstanding, claims, groupCommit, lines);
            }
        } finally {
            processes.forEach(ControlProcess::close);
            network.close();
        }
    }

    private ControlProcess start(Address address, Path folder, boolean groupCommit) throws IOException {
        ControlSettings settings = new ControlSettings(
                "r",
                List.of(
                        new ReplicaSettings(ControlSettings.GLOBAL_GROUP, address, addresses, true),
                        new ReplicaSettings(GROUP, address, addresses, false)));
        return ControlProcess.start(
                CommonSettings.unencrypted(address, "r", "z", address.value()),
                new ControlProcess.Options(
                        settings, folder, Address.of(HOST + ":0"), Optional.empty(), Set.of(), true, groupCommit),
                () -> {});
    }

    private void awaitLeader() throws InterruptedException, IOException {
        slots = new Semaphore(0);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (System.nanoTime() < end) {
            send();
            if (slots.tryAcquire(300, TimeUnit.MILLISECONDS)) {
                return;
            }
            leader = addresses.get((addresses.indexOf(leader) + 1) % addresses.size());
        }
        throw new IOException("no leader was elected in time");
    }

    private void run(int outstanding, long claims, boolean groupCommit, List<String> lines)
            throws InterruptedException, IOException {
        latencies = new ConcurrentHistogram(3);
        slots = new Semaphore(outstanding);
        granted.set(0);
        long start = System.nanoTime();
        for (int i = 0; i < claims; i++) {
            if (!slots.tryAcquire(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("a claim was not answered");
            }
            send();
        }
        if (!slots.tryAcquire(outstanding, PATIENCE_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("claims were not answered");
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        lines.add(String.format(
                "claims, group commit %s, %d at once: %.0f/s, p50 %.2f ms, p99 %.2f ms (%d granted)",
                groupCommit ? "on" : "off",
                outstanding,
                claims / seconds,
                latencies.getValueAtPercentile(50) / 1e6,
                latencies.getValueAtPercentile(99) / 1e6,
                granted.get()));
    }

    private void send() {
        long question = nextQuestion++;
        ClaimRequest request = ClaimRequest.newBuilder()
                .setQuestion(question)
                .setGroup(GROUP)
                .setOrganisation("organisation-" + question % 2_000)
                .setService("registry")
                .setKey("key-" + question)
                .setTake(ClaimTake.newBuilder()
                        .setBodyHash(question)
                        .setAttempt(AttemptRef.newBuilder()
                                .setSidecar("10.0.0.1:7000")
                                .setSession(1L << 60)
                                .setNumber(question)))
                .build();
        sentAt.put(question, System.nanoTime());
        Envelope message = Envelope.newBuilder()
                .setFrom(self.value())
                .setIncarnation(1)
                .setClaimRequest(request)
                .build();
        network.send(leader, message, false);
    }

    private void onMessage(Envelope message) {
        if (!message.hasClaimAnswer()) {
            return;
        }
        ClaimAnswer answer = message.getClaimAnswer();
        Long sent = sentAt.remove(answer.getQuestion());
        boolean done = answer.getResult() == ClaimResult.CLAIM_GRANTED;
        if (sent == null || !done) {
            return;
        }
        latencies.recordValue(System.nanoTime() - sent);
        granted.incrementAndGet();
        slots.release();
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return Address.of(HOST + ":" + socket.getLocalPort());
        }
    }
}
