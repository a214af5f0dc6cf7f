package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UsageReported;
import org.cuminshelf.message.UsageWindow;
import org.cuminshelf.message.WallClock;

/** Which process reports usage to the platform, when, and with which counts. */
class UsageReporterTest {

    private static final List<Address> ENTRIES =
            List.of(Address.of("10.0.1.1:7000"), Address.of("10.0.1.2:7000"), Address.of("10.0.1.3:7000"));

    private ControlClusterFixture control = ControlClusterFixture.withUsageReports();
    private long version;

    /**
     * Lets entries send their counts of a window for some time.
     *
     * @param usageUntil for each sending entry, the first window whose counts are not complete yet
     */
    private void sendCounts(long millis, long window, int count, long... usageUntil) {
        for (long elapsed = 0; elapsed < millis; elapsed += 500) {
            version++;
            for (int index = 0; index < usageUntil.length; index++) {
                control.sendToAll(
                        ENTRIES.get(index),
                        Envelope.newBuilder()
                                .setSubscribe(Subscribe.newBuilder()
                                        .setWantsDirectory(true)
                                        .setUsageVersion(version)
                                        .setUsageUntil(usageUntil[index])
                                        .addUsage(counts(window, count))));
            }
            control.advance(500);
        }
    }

    private static UsageWindow counts(long window, int count) {
        return UsageWindow.newBuilder()
                .setWindow(window)
                .addCounts(OrganisationCount.newBuilder().setOrganisation("o").setCount(count))
                .build();
    }

    private void acknowledge(Address holder, long window) {
        control.sendTo(
                holder,
                Address.ORDERS,
                Envelope.newBuilder()
                        .setUsageReported(
                                UsageReported.newBuilder().setWindow(window).setAccepted(true)));
    }

    @Example
    void aWindowIsReportedOnceItsCountsAreComplete() {
        sendCounts(5_000, 5, 2, 5, 5);
        assertThat(control.reports).isEmpty();
        sendCounts(1_000, 5, 3, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getFirst();
        assertThat(first.report().getUsage()).isEqualTo(counts(5, 6));
        assertThat(control.leader()).hasValue(first.holder());
        acknowledge(first.holder(), 5);
        control.advance(100);
        control.reports.clear();
        sendCounts(5_000, 6, 1, 6, 6);
        assertThat(control.reports).isEmpty();
    }

    /* Usage is never reported, because one entry is disconnected and control waits for its counts forever. */
    @Example
    void aSilentEntryIsAwaitedOnlyForALimitedTime() {
        sendCounts(5_000, 5, 2, 6, 6, 5);
        sendCounts(3_000, 5, 2, 6, 6, 5);
        assertThat(control.reports).isNotEmpty();
    }

    /*
     * Usage of a window is reported twice with different counts: the holder stops after it sent the report, further
     * counts of entries arrive, and the next holder reports the counts it has received by then.
     */
    @Example
    void theNextHolderReportsTheSameCountsWithAHigherNumberAfterTheLease() {
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(1_000, 5, 2, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        control.kill(first.holder());
        control.reports.clear();
        sendCounts(8_000, 5, 9, 6, 6);
        ControlClusterFixture.SentReport next = control.reports.getFirst();
        assertThat(next.holder()).isNotEqualTo(first.holder());
        assertThat(next.report().getUsage()).isEqualTo(first.report().getUsage());
        assertThat(next.report().getNumber()).isGreaterThan(first.report().getNumber());
        assertThat(next.sentAt() - first.sentAt()).isGreaterThan(Durations.nanos(ControlClusterFixture.LEASE_MILLIS));
    }

    /* The platform is busy or its answer is lost. The same report must be sent again, and no window omitted. */
    @Example
    void anUnacknowledgedReportIsSentAgainUnchanged() {
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(4_000, 5, 2, 6, 6);
        assertThat(control.reports).hasSizeGreaterThan(2);
        assertThat(control.reports)
                .allSatisfy(sent -> assertThat(sent.report().getUsage()).isEqualTo(counts(5, 4)));
    }

    /* After an outage, the next window must be reported as soon as the previous one is acknowledged. */
    @Example
    void pendingWindowsAreReportedWithoutDelay() {
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(500, 6, 1, 7, 7);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        control.reports.clear();
        acknowledge(first.holder(), 5);
        control.advance(200);
        assertThat(control.reports).hasSize(1);
        assertThat(control.reports.getFirst().report().getUsage()).isEqualTo(counts(6, 2));
    }

    /* Reporting the missed windows after an outage must not exceed the platform's rate limit. */
    @Example
    void pendingWindowsAreReportedWithinThePlatformsRateLimit() {
        control = ControlClusterFixture.withUsageReports(OptionalDouble.of(0.5));
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(500, 6, 1, 7, 7);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        control.reports.clear();
        acknowledge(first.holder(), 5);
        control.advance(2_100);
        assertThat(control.reports).isNotEmpty();
        assertThat(control.reports.getFirst().sentAt() - first.sentAt()).isGreaterThanOrEqualTo(Durations.nanos(2_000));
    }

    /* An acknowledgement is in the log, so the next holder must not report the window again. */
    @Example
    void anAcknowledgedWindowIsNotReportedByTheNextHolder() {
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(500, 5, 2, 6, 6);
        Address holder = control.reports.getFirst().holder();
        acknowledge(holder, 5);
        control.advance(200);
        control.kill(holder);
        control.reports.clear();
        sendCounts(8_000, 6, 1, 6, 6);
        assertThat(control.reports).isEmpty();
    }

    /*
     * The VM of a holder is suspended, and its monotonic clock stops. The holder still considers its lease valid, and
     * sends a report after its successor did. As its clocks have diverged, the lease must be invalid until the other
     * processes answer again.
     */
    @Example
    void aHolderWhoseVmWasSuspendedReportsNothingUntilItsLeaseIsRenewed() {
        assertThat(reportsWithinLease(false)).as("the lease is valid").isNotEmpty();
        assertThat(reportsWithinLease(true)).as("the clocks have diverged").isEmpty();
    }

    /** Returns the reports that a holder resends within its lease after the others stopped. */
    private List<ControlClusterFixture.SentReport> reportsWithinLease(boolean jumped) {
        control = ControlClusterFixture.withUsageReports();
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(500, 5, 2, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        long justBeforeNextSend = first.sentAt() + Durations.nanos(900);
        control.advance(Durations.millis(justBeforeNextSend - control.now));
        control.reports.clear();
        control.processes().stream()
                .filter(process -> !process.equals(first.holder()))
                .forEach(control::kill);
        if (jumped) {
            WallClock.Builder clock = WallClock.newBuilder().setEpochMs(9_000).setJumped(true);
            control.sendTo(
                    first.holder(), Address.PROCESS, Envelope.newBuilder().setWallClock(clock));
        }
        control.advance(200);
        return control.reports;
    }

    /* The write deadline of a report must be the end of the lease under which it was sent. */
    @Example
    void aReportMayBeWrittenOnlyUnderTheLease() {
        sendCounts(5_000, 5, 2, 5, 5);
        sendCounts(1_000, 5, 2, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getFirst();
        assertThat(first.report().getWriteUntilNs() - first.sentAt()).isBetween(1L, Durations.nanos(450));
    }
}
