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
 * Reports the usage of organisations in each window to the platform.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>Two reports of a window differ. The counts are committed to the log first, and every holder sends only
 *       committed counts.</li>
 *   <li>An entry that is lost, disconnected or has a wrong clock delays all reports. Missing entries are awaited only
 *       for {@link #WAIT_SHARE_OF_DEADLINE} of the time until the deadline.</li>
 *   <li>A report waits in a socket during a network outage and arrives after the report of the next holder. A report is
 *       written only under the lease, and abandoned after {@link #ANSWER_TIMEOUT_NANOS} or when the lease ends.</li>
 * </ul>
 */
final class UsageReporter {

    private static final String LOG = "control: ";
    /** Fraction of the deadline after which a window is settled without the entries that are still missing. */
    private static final double WAIT_SHARE_OF_DEADLINE = 0.4;
    /** Time after which an unanswered report is abandoned and sent again. */
    private static final long ANSWER_TIMEOUT_NANOS = Durations.nanos(1_000);
    /** Delay before the next attempt after an answer that is not an acknowledgement. */
    private static final long RETRY_DELAY_NANOS = Durations.nanos(500);
    /** Time after which a log entry that was not committed is proposed again. */
    private static final long REPROPOSE_INTERVAL_NANOS = Durations.nanos(2_000);

    private static final double NANOS_PER_SECOND = Durations.nanos(1_000);
    /** Maximum number of past windows that are reported after an outage; entries keep no more. */
    private static final long MAX_WINDOWS_BEHIND = 24;

    private final Replica replica;
    private final CommittedUsage settled;
    private final DutyLease dutyLease;
    private final long maxWaitNanos;
    /** Minimum interval between two calls in nanoseconds, from the platform's rate limit. */
    private final long minCallIntervalNanos;

    private final UsageAggregator tally = UsageAggregator.create();

    private long windowToSettle;
    private long windowEndSeenAt;
    private long settlementProposedAt = Long.MIN_VALUE / 2;
    /** The window whose settlement was last proposed to the log. */
    private long proposedWindow;
    /** The last window that the platform acknowledged to this process. */
    private long acknowledgedWindow;
    /** The window whose acknowledgement was last proposed to the log. */
    private long recordedWindow;

    private long recordProposedAt;
    private long nextSendAt = Long.MIN_VALUE;
    private long lastSentAt = Long.MIN_VALUE / 2;
    private boolean inFlight;

    UsageReporter(Replica replica, CommittedUsage settled, DutyLease dutyLease, DutySettings duties) {
        this.replica = replica;
        this.settled = settled;
        this.dutyLease = dutyLease;
        this.maxWaitNanos = (long) (WAIT_SHARE_OF_DEADLINE
                * Durations.nanos(duties.usageDeadlineMillis().orElseThrow()));
        this.minCallIntervalNanos =
                (long) (NANOS_PER_SECOND / duties.maxCallsPerSecond().orElse(Double.POSITIVE_INFINITY));
    }

    /** Adds the counts of an entry; the version set on the subscriber determines which counts the entry sends next. */
    void onSubscribe(long now, SubscriberTable.Subscriber subscriber, Subscribe subscribe) {
        subscriber.receivedUsageVersion = tally.onReport(now, subscriber.address, subscriber.incarnation, subscribe);
    }

    void tick(long now, Outbox out) {
        tally.discardThrough(now, settled.lastWindow());
        OptionalLong current = tally.currentWindow(now);
        current.ifPresent(window -> selectWindowToSettle(now, window));
        if (inFlight && (now >= nextSendAt || !dutyLease.isHeld(now))) {
            inFlight = false;
            out.send(Address.ORDERS, Envelope.newBuilder().setGiveUpUsageReport(UsageGiveUp.getDefaultInstance()));
        }
        if (!dutyLease.mayAct(now)) {
            return;
        }
        if (current.isPresent() && windowToSettle < current.getAsLong() && isDue(now)) {
            proposeSettlement(now);
        }
        Optional<UsageWindow> next = settled.nextToReport();
        if (next.isPresent() && next.get().getWindow() == acknowledgedWindow) {
            proposeAcknowledgement(now, next.get());
        } else if (next.isPresent() && now >= nextSendAt && now - lastSentAt >= minCallIntervalNanos) {
            send(now, next.get(), out);
        }
    }

    /** Selects the window to settle next, and records when its end was first observed. */
    private void selectWindowToSettle(long now, long current) {
        long next = settled.lastWindow() == 0
                ? Math.min(tally.firstWindow().orElse(current), current)
                : settled.lastWindow() + 1;
        next = Math.max(next, current - MAX_WINDOWS_BEHIND);
        if (next != windowToSettle) {
            windowToSettle = next;
            windowEndSeenAt = Core.NEVER;
        }
        if (windowEndSeenAt == Core.NEVER && windowToSettle < current) {
            windowEndSeenAt = now;
        }
    }

    private boolean isDue(long now) {
        return tally.isComplete(now, windowToSettle) || now - windowEndSeenAt >= maxWaitNanos;
    }

    private void proposeSettlement(long now) {
        if (windowToSettle == proposedWindow && now - settlementProposedAt < REPROPOSE_INTERVAL_NANOS) {
            return;
        }
        proposedWindow = windowToSettle;
        settlementProposedAt = now;
        UsageWindow sum = tally.sum(windowToSettle);
        replica.propose(now, LogEntry.newBuilder().setUsageSettled(sum));
        Logger.info(
                LOG + "event=usage window={} outcome=settled organisations={} calls={} whole={} waited-ms={}",
                windowToSettle,
                sum.getCountsCount(),
                sum.getCountsList().stream().mapToInt(count -> count.getCount()).sum(),
                tally.isComplete(now, windowToSettle),
                Durations.millis(now - windowEndSeenAt));
    }

    private void send(long now, UsageWindow window, Outbox out) {
        inFlight = true;
        lastSentAt = now;
        nextSendAt = now + ANSWER_TIMEOUT_NANOS;
        out.send(
                Address.ORDERS,
                Envelope.newBuilder()
                        .setSendUsageReport(UsageReport.newBuilder()
                                .setUsage(window)
                                .setNumber(dutyLease.fencingNumber())
                                .setWriteUntilNs(dutyLease.expiresAt(now))));
    }

    /** Handles the platform's answer to a report. */
    void onReported(long now, UsageReported outcome) {
        Logger.info(
                LOG + "event=usage window={} outcome={} status={} reason=\"{}\" number={}",
                outcome.getWindow(),
                outcome.getAccepted() ? "reported" : "not-acknowledged",
                outcome.getStatus(),
                outcome.getReason(),
                dutyLease.fencingNumber());
        inFlight = false;
        if (outcome.getAccepted()) {
            acknowledgedWindow = outcome.getWindow();
            nextSendAt = now;
        } else {
            nextSendAt = now + RETRY_DELAY_NANOS;
        }
    }

    /** Records an acknowledgement in the log, so that no later holder reports the window again. */
    private void proposeAcknowledgement(long now, UsageWindow window) {
        if (acknowledgedWindow == recordedWindow && now - recordProposedAt < REPROPOSE_INTERVAL_NANOS) {
            return;
        }
        recordedWindow = acknowledgedWindow;
        recordProposedAt = now;
        replica.propose(now, LogEntry.newBuilder().setUsageReported(window.getWindow()));
    }
}
