package org.cuminshelf.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.UpstreamConnections;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.UsageReport;
import org.cuminshelf.message.UsageReported;
import org.cuminshelf.message.UsageWindow;

/** Usage reports sent to a stand-in for the platform over loopback. */
class UsageReportClientTest {

    private static final long TIMEOUT_SECONDS = 10;

    private final ReentrantLock lock = new ReentrantLock();
    private final BlockingQueue<UsageReported> outcomes = new LinkedBlockingQueue<>();
    private ServerSocket platform;
    private UpstreamConnections connections;
    private UsageReportClient client;

    @BeforeTry
    void open() throws IOException {
        platform = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        platform.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        connections = UpstreamConnections.start(lock);
        client = new UsageReportClient(
                connections,
                Address.of("127.0.0.1:" + platform.getLocalPort()),
                "vm-1",
                (Envelope.Builder message) -> outcomes.add(message.getUsageReported()));
    }

    @AfterTry
    void close() throws IOException {
        connections.close();
        platform.close();
    }

    private static UsageReport report(long leaseMillis) {
        return UsageReport.newBuilder()
                .setNumber(12)
                .setWriteUntilNs(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leaseMillis))
                .setUsage(UsageWindow.newBuilder()
                        .setWindow(353)
                        .addCounts(OrganisationCount.newBuilder()
                                .setOrganisation("acme")
                                .setCount(4)))
                .build();
    }

    private void locked(Runnable action) {
        lock.lock();
        try {
            action.run();
        } finally {
            lock.unlock();
        }
    }

    private UsageReported outcome() throws InterruptedException {
        return outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static String read(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        byte[] bytes = new byte[1024];
        int count = socket.getInputStream().read(bytes);
        while (count > 0) {
            text.append(new String(bytes, 0, count, StandardCharsets.UTF_8));
            count = text.indexOf("}}") > 0 ? 0 : socket.getInputStream().read(bytes);
        }
        return text.toString();
    }

    @Example
    void aReportNamesItsSenderAndFencingNumberAndIsAcceptedOnAcknowledgement() throws Exception {
        locked(() -> client.send(report(5_000)));
        try (Socket socket = platform.accept()) {
            assertThat(read(socket))
                    .startsWith("POST /usage HTTP/1.1\r\n")
                    .contains("X-Cuminshelf-Duty-Holder: vm-1\r\n")
                    .contains("X-Cuminshelf-Fence-Token: 12\r\n")
                    .endsWith("{\"windowSeq\":353,\"counts\":{\"acme\":4}}");
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
            assertThat(outcome().getAccepted()).isTrue();
        }
    }

    @Example
    void aBusyPlatformDoesNotAcknowledge() throws Exception {
        locked(() -> client.send(report(5_000)));
        try (Socket socket = platform.accept()) {
            read(socket);
            socket.getOutputStream().write("HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n".getBytes());
            UsageReported outcome = outcome();
            assertThat(outcome.getAccepted()).isFalse();
            assertThat(outcome.getStatus()).isEqualTo(429);
        }
    }

    /*
     * Two holders reported at the same time: the first was paused after it had decided to report, the second took over,
     * and the first resumed and wrote after its lease had expired.
     */
    @Example
    void nothingIsWrittenAfterTheLeaseHasExpired() throws Exception {
        locked(() -> client.send(report(-1)));
        try (Socket socket = platform.accept()) {
            assertThat(outcome().getReason()).isEqualTo("no longer allowed");
            assertThat(read(socket)).isEmpty();
        }
    }

    /*
     * A report stayed in the socket buffer of a process without network, and arrived once the network was back, when
     * another process was already reporting: a normal close still delivers buffered bytes, a reset discards them.
     */
    @Example
    void theConnectionOfAnAbandonedReportIsReset() throws Exception {
        locked(() -> client.send(report(5_000)));
        try (Socket socket = platform.accept()) {
            read(socket);
            locked(client::abandon);
            assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketException.class);
            assertThat(outcomes).isEmpty();
        }
    }
}
