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
 * Calls to the platform that are the duty of one process at a time; control decides which and when.
 *
 * <p>Failure it guards against: this process stands still, or its way is cut, between the decision and the write, and
 * the call arrives after one of the next holder. Each call has a connection of its own, opened first. It is written
 * only while it is allowed by the monotonic clock, and if that clock kept pace with the time of day since, as it does
 * not while a VM is suspended. What is given up is thrown away, also where it waits in the socket.
 */
final class UsageReportClient {

    /** Difference between the clocks' paces that shows that the VM stood still. */
    private static final long STOOD_STILL_MILLIS = 100;

    private static final String CONNECTION = "duty-";
    private static final int ACKNOWLEDGED = 200;

    private final UpstreamConnections connections;
    private final Address platform;
    private final String vm;
    private final Consumer<Envelope.Builder> core;
    private Optional<Call> current = Optional.empty();
    private long calls;

    UsageReportClient(UpstreamConnections connections, Address platform, String vm, Consumer<Envelope.Builder> core) {
        this.connections = connections;
        this.platform = platform;
        this.vm = vm;
        this.core = core;
    }

    /** Sends a report, in place of any that is under way. Under the connections' lock. */
    void report(UsageReport report) {
        giveUp();
        Call call = new Call(report, CONNECTION + calls++);
        current = Optional.of(call);
        connections.probe(platform, call.connection, call::connected);
    }

    /** Gives up what is under way. Under the connections' lock. */
    void giveUp() {
        current.ifPresent(Call::giveUp);
        current = Optional.empty();
    }

    private static long paceMillis() {
        return System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** One report under way. */
    private final class Call implements UpstreamHandler {

        private final UsageReport report;
        private final String connection;
        private final long decidedPace = paceMillis();
        private Optional<UpstreamExchange> exchange = Optional.empty();
        private boolean givenUp;
        private int status;

        private Call(UsageReport report, String connection) {
            this.report = report;
            this.connection = connection;
        }

        private void connected(Reachability seen) {
            if (seen == Reachability.LISTENING && !givenUp && mayWrite()) {
                exchange = Optional.of(
                        connections.send(platform, connection, UsageReportRequest.write(report, platform, vm), this));
                return;
            }
            connections.closeIdle(platform, connection);
            end(false, seen == Reachability.LISTENING ? "no longer allowed" : "no connection");
        }

        private boolean mayWrite() {
            return System.nanoTime() < report.getWriteUntilNs()
                    && Math.abs(paceMillis() - decidedPace) < STOOD_STILL_MILLIS;
        }

        private void giveUp() {
            givenUp = true;
            exchange.ifPresent(UpstreamExchange::cancelAndReset);
        }

        @Override
        public void onHead(int answered, HttpFields headers) {
            status = answered;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // The status says all.
        }

        @Override
        public void onComplete() {
            connections.closeIdle(platform, connection);
            end(status == ACKNOWLEDGED, "answered");
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            end(false, reason);
        }

        private void end(boolean accepted, String reason) {
            if (givenUp) {
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
