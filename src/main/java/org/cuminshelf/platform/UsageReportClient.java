package org.cuminshelf.platform;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.UpstreamConnections;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.UsageReport;
import org.cuminshelf.message.UsageReported;
import org.eclipse.jetty.http.HttpFields;
import org.tinylog.Logger;

/**
 * Sends usage reports to the platform. Only one process at a time may do so; the control core decides which one and
 * when.
 *
 * <p>If this process is paused or loses its network between the decision and the write, its report must not arrive
 * after one from the next holder of the lease. Each report therefore has its own connection, which is opened first. The
 * report is written only before its deadline on the monotonic clock, and only if that clock has not drifted from the
 * time of day since the decision, as it does while a VM is suspended. An abandoned report's connection is reset, so
 * that bytes still in the socket's buffer are discarded.
 */
final class UsageReportClient {

    /** Drift between the monotonic clock and the time of day from which the VM is taken to have been suspended. */
    private static final long SUSPENDED_DRIFT_MILLIS = 100;

    private static final String CONNECTION_NAME_PREFIX = "duty-";
    private static final int HTTP_OK = 200;

    private final UpstreamConnections connections;
    private final Address platformAddress;
    private final String vm;
    private final Consumer<Envelope.Builder> core;
    private Optional<PendingReport> current = Optional.empty();
    private long sentReports;

    UsageReportClient(
            UpstreamConnections connections, Address platformAddress, String vm, Consumer<Envelope.Builder> core) {
        this.connections = connections;
        this.platformAddress = platformAddress;
        this.vm = vm;
        this.core = core;
    }

    /** Sends a report and abandons the previous one if it is still pending. The connections' lock must be held. */
    void send(UsageReport report) {
        abandon();
        PendingReport next = new PendingReport(report, CONNECTION_NAME_PREFIX + sentReports++);
        current = Optional.of(next);
        connections.probe(platformAddress, next.connection, next::onProbed);
    }

    /** Abandons the pending report, if any. The connections' lock must be held. */
    void abandon() {
        current.ifPresent(PendingReport::abandon);
        current = Optional.empty();
    }

    /** Returns the time of day less the monotonic clock; only the change between two results is meaningful. */
    private static long clockOffsetMillis() {
        return System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** A report that has been neither answered nor abandoned yet. */
    private final class PendingReport implements UpstreamHandler {

        private final UsageReport report;
        private final String connection;
        private final long offsetAtDecisionMillis = clockOffsetMillis();
        private Optional<UpstreamExchange> exchange = Optional.empty();
        private boolean abandoned;
        private int status;

        private PendingReport(UsageReport report, String connection) {
            this.report = report;
            this.connection = connection;
        }

        private void onProbed(Reachability reachability) {
            if (reachability == Reachability.LISTENING && !abandoned && isWriteAllowed()) {
                exchange = Optional.of(connections.send(
                        platformAddress, connection, UsageReportRequest.create(report, platformAddress, vm), this));
                return;
            }
            connections.closeIdle(platformAddress, connection);
            finish(false, reachability == Reachability.LISTENING ? "no longer allowed" : "no connection");
        }

        private boolean isWriteAllowed() {
            return System.nanoTime() < report.getWriteUntilNs()
                    && Math.abs(clockOffsetMillis() - offsetAtDecisionMillis) < SUSPENDED_DRIFT_MILLIS;
        }

        private void abandon() {
            abandoned = true;
            exchange.ifPresent(UpstreamExchange::cancelAndReset);
        }

        @Override
        public void onHead(int responseStatus, HttpFields headers) {
            status = responseStatus;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // Only the status matters.
        }

        @Override
        public void onComplete() {
            connections.closeIdle(platformAddress, connection);
            finish(status == HTTP_OK, "answered");
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            finish(false, reason);
        }

        private void finish(boolean accepted, String reason) {
            if (abandoned) {
                Logger.info("control: event=duty-call id={} outcome=given-up", connection);
                return;
            }
            current = Optional.empty();
            core.accept(Envelope.newBuilder()
                    .setUsageReported(UsageReported.newBuilder()
                            .setWindow(report.getUsage().getWindow())
                            .setAccepted(accepted)
                            .setStatus(status)
                            .setReason(reason)));
        }
    }
}
