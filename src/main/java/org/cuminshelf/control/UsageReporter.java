package org.cuminshelf.control;

import java.util.Optional;
import java.util.OptionalLong;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UsageGiveUp;
import org.cuminshelf.message.UsageReport;
import org.cuminshelf.message.UsageReported;
import org.cuminshelf.message.UsageWindow;
import org.cuminshelf.replica.Replica;
import org.cuminshelf.usage.CommittedUsage;
import org.cuminshelf.usage.UsageAggregator;
import org.tinylog.Logger;

/**
 * Reports to the platform what organisations used in each window.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>Two reports of a window differ: its counts are committed to the log first, and only committed ones are sent, by
 *       any holder.</li>
 *   <li>An entry that is lost, cut off or whose clock is off holds up all reports: it is waited for only as long as
 *       {@link #PATIENCE_SHARE} of the time that is left.</li>
 *   <li>A report waits in a socket while the way is cut, and arrives after the next holder's: each is written under
 *       the lease or not at all, and thrown away {@link #TRY_PATIENCE} later or when the lease ends.</li>
 * </ul>
 */
final class UsageReporter {

    private static final String LOG = "control: ";
    /** Part of the time for a report after which a window is settled without those that have not told all of it. */
    private static final double PATIENCE_SHARE = 0.4;
    /** Time after which a report without an answer is sent again. */
    private static final long TRY_PATIENCE = Durations.nanos(1_000);
    /** Pause after an answer that is no acknowledgement. */
    private static final long TRY_AGAIN = Durations.nanos(500);
    /** Time after which an entry of the log that was not committed is proposed again. */
    private static final long PROPOSED_AGAIN = Durations.nanos(2_000);

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);
    /** Windows that are made up for after an outage; entries remember no more. */
    private static final long MOST_BEHIND = 24;

    private final Replica replica;
    private final CommittedUsage settled;
    private final DutyLease holder;
    private final long patience;
    /** Nanoseconds between two calls at the least, as the platform states what it takes. */
    private final long leastGap;

    private final UsageAggregator tally = UsageAggregator.create();

    private long awaited;
    private long awaitedSince;
    private long proposedAt = Long.MIN_VALUE / 2;
    private long proposed;
    private long acknowledged;
    private long writtenDown;
    private long writtenDownAt;
    private long nextTry = Long.MIN_VALUE;
    private long reportedAt = Long.MIN_VALUE / 2;
    private boolean underWay;

    UsageReporter(Replica replica, CommittedUsage settled, DutyLease holder, DutySettings duties) {
        this.replica = replica;
        this.settled = settled;
        this.holder = holder;
        this.patience = (long)
                (PATIENCE_SHARE * Durations.nanos(duties.usageDeadlineMillis().orElseThrow()));
        this.leastGap = (long) (NANOS_PER_SECOND / duties.maxCallsPerSecond().orElse(Double.POSITIVE_INFINITY));
    }

    /** Takes what an entry tells; what it tells again from here on follows from the version in its row. */
    void onSubscribe(long now, SubscriberTable.Row row, Subscribe subscribe) {
        row.usageHeard = tally.onReport(now, row.address, row.incarnation, subscribe);
    }

    void tick(long now, Outbox out) {
        tally.discardThrough(now, settled.lastWindow());
        OptionalLong current = tally.currentWindow(now);
        current.ifPresent(window -> await(now, window));
        if (underWay && (now >= nextTry || !holder.holds(now))) {
            underWay = false;
            out.send(Address.ORDERS, Envelope.newBuilder().setGiveUpUsageReport(UsageGiveUp.getDefaultInstance()));
        }
        if (!holder.mayAct(now)) {
            return;
        }
        if (current.isPresent() && awaited < current.getAsLong() && isDue(now)) {
            settle(now);
        }
        Optional<UsageWindow> next = settled.nextToReport();
        if (next.isPresent() && next.get().getWindow() == acknowledged) {
            writeDown(now, next.get());
        } else if (next.isPresent() && now >= nextTry && now - reportedAt >= leastGap) {
            report(now, next.get(), out);
        }
    }

    /** Notes which window is to be settled next, and since when it is over. */
    private void await(long now, long current) {
        long next = settled.lastWindow() == 0
                ? Math.min(tally.firstWindow().orElse(current), current)
                : settled.lastWindow() + 1;
        next = Math.max(next, current - MOST_BEHIND);
        if (next != awaited) {
            awaited = next;
            awaitedSince = Core.NEVER;
        }
        if (awaitedSince == Core.NEVER && awaited < current) {
            awaitedSince = now;
        }
    }

    private boolean isDue(long now) {
        return tally.isComplete(now, awaited) || now - awaitedSince >= patience;
    }

    private void settle(long now) {
        if (awaited == proposed && now - proposedAt < PROPOSED_AGAIN) {
            return;
        }
        proposed = awaited;
        proposedAt = now;
        UsageWindow sum = tally.sum(awaited);
        replica.propose(now, LogEntry.newBuilder().setUsageSettled(sum));
        Logger.info(
                LOG + "event=usage window={} outcome=settled organisations={} calls={} whole={} waited-ms={}",
                awaited,
                sum.getCountsCount(),
                sum.getCountsList().stream().mapToInt(row -> row.getCount()).sum(),
                tally.isComplete(now, awaited),
                Durations.millis(now - awaitedSince));
    }

    private void report(long now, UsageWindow window, Outbox out) {
        underWay = true;
        reportedAt = now;
        nextTry = now + TRY_PATIENCE;
        out.send(
                Address.ORDERS,
                Envelope.newBuilder()
                        .setSendUsageReport(UsageReport.newBuilder()
                                .setUsage(window)
                                .setNumber(holder.number())
                                .setWriteUntilNs(holder.until(now))));
    }

    /** Takes the platform's answer. */
    void onReported(long now, UsageReported outcome) {
        Logger.info(
                LOG + "event=usage window={} outcome={} status={} reason=\"{}\" number={}",
                outcome.getWindow(),
                outcome.getAccepted() ? "reported" : "not-acknowledged",
                outcome.getStatus(),
                outcome.getReason(),
                holder.number());
        underWay = false;
        if (outcome.getAccepted()) {
            acknowledged = outcome.getWindow();
            nextTry = now;
        } else {
            nextTry = now + TRY_AGAIN;
        }
    }

    /** Has the group remember an acknowledgement, so that no later holder reports the window again. */
    private void writeDown(long now, UsageWindow window) {
        if (acknowledged == writtenDown && now - writtenDownAt < PROPOSED_AGAIN) {
            return;
        }
        writtenDown = acknowledged;
        writtenDownAt = now;
        replica.propose(now, LogEntry.newBuilder().setUsageReported(window.getWindow()));
    }
}
