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

/**
 * Benchmark of claims in a group of three control processes with real disks and sockets, with and without group commit.
 */
public final class ClaimBench {

    private static final String HOST = "127.0.0.1";
    private static final String GROUP = "region";
    private static final int REPLICAS = 3;
    private static final int CLAIMS_PER_RUN = 4_000;
    private static final int[] OUTSTANDING_CLAIMS = {1, 16, 128};
    private static final long TIMEOUT_SECONDS = 30;
    private static final long MAX_CLAIMS_WITHOUT_GROUP_COMMIT = 600;

    private final List<Address> addresses = new ArrayList<>();
    private final TcpNetwork network = TcpNetwork.open(1, Optional.empty());
    private final Map<Long, Long> sentAtNanos = new ConcurrentHashMap<>();
    private final Address ownAddress;
    private volatile Address leader;
    private volatile Semaphore claimPermits = new Semaphore(0);
    private volatile Histogram latenciesNanos = new ConcurrentHistogram(3);
    private final AtomicLong grantedCount = new AtomicLong();
    private long nextQuestionId = 1;

    private ClaimBench() throws IOException {
        ownAddress = freeAddress();
        for (int i = 0; i < REPLICAS; i++) {
            addresses.add(freeAddress());
        }
        leader = addresses.getFirst();
    }

    /**
     * Runs the benchmark with and without group commit.
     *
     * @return the result lines to print
     * @throws IOException          if a process cannot be started, no leader is elected or a claim is not granted
     * @throws InterruptedException if the benchmark is interrupted
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
        Path directory = Files.createTempDirectory("claims");
        try {
            for (Address address : addresses) {
                processes.add(start(address, directory.resolve(address.value().replace(':', '-')), groupCommit));
            }
            network.listen(ownAddress, this::onMessage);
            awaitLeader();
            for (int outstanding : OUTSTANDING_CLAIMS) {
                long claims = groupCommit ? CLAIMS_PER_RUN : Math.min(CLAIMS_PER_RUN, MAX_CLAIMS_WITHOUT_GROUP_COMMIT);
                measureClaims(outstanding, claims, groupCommit, lines);
            }
        } finally {
            processes.forEach(ControlProcess::close);
            network.close();
        }
    }

    private ControlProcess start(Address address, Path directory, boolean groupCommit) throws IOException {
        ControlSettings settings = new ControlSettings(
                "r",
                List.of(
                        new ReplicaSettings(ControlSettings.GLOBAL_GROUP, address, addresses, true),
                        new ReplicaSettings(GROUP, address, addresses, false)));
        return ControlProcess.start(
                CommonSettings.unencrypted(address, "r", "z", address.value()),
                new ControlProcess.Options(
                        settings, directory, Address.of(HOST + ":0"), Optional.empty(), Set.of(), true, groupCommit),
                () -> {});
    }

    private void awaitLeader() throws InterruptedException, IOException {
        claimPermits = new Semaphore(0);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos) {
            sendClaim();
            if (claimPermits.tryAcquire(300, TimeUnit.MILLISECONDS)) {
                return;
            }
            leader = addresses.get((addresses.indexOf(leader) + 1) % addresses.size());
        }
        throw new IOException("no leader was elected in time");
    }

    private void measureClaims(int outstanding, long claims, boolean groupCommit, List<String> lines)
            throws InterruptedException, IOException {
        latenciesNanos = new ConcurrentHistogram(3);
        claimPermits = new Semaphore(outstanding);
        grantedCount.set(0);
        long start = System.nanoTime();
        for (int i = 0; i < claims; i++) {
            if (!claimPermits.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("a claim was not answered");
            }
            sendClaim();
        }
        if (!claimPermits.tryAcquire(outstanding, TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("claims were not answered");
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        lines.add(String.format(
                "claims, group commit %s, %d at once: %.0f/s, p50 %.2f ms, p99 %.2f ms (%d granted)",
                groupCommit ? "on" : "off",
                outstanding,
                claims / seconds,
                latenciesNanos.getValueAtPercentile(50) / 1e6,
                latenciesNanos.getValueAtPercentile(99) / 1e6,
                grantedCount.get()));
    }

    private void sendClaim() {
        long question = nextQuestionId++;
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
        sentAtNanos.put(question, System.nanoTime());
        Envelope message = Envelope.newBuilder()
                .setFrom(ownAddress.value())
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
        Long claimSentAtNanos = sentAtNanos.remove(answer.getQuestion());
        boolean isGranted = answer.getResult() == ClaimResult.CLAIM_GRANTED;
        if (claimSentAtNanos == null || !isGranted) {
            return;
        }
        latenciesNanos.recordValue(System.nanoTime() - claimSentAtNanos);
        grantedCount.incrementAndGet();
        claimPermits.release();
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return Address.of(HOST + ":" + socket.getLocalPort());
        }
    }
}
