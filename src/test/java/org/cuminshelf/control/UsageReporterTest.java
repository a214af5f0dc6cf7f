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

/** Who reports usage to the platform, when, and what. */
class UsageReporterTest {

    private static final List<Address> ENTRIES =
            List.of(Address.of("10.0.1.1:7000"), Address.of("10.0.1.2:7000"), Address.of("10.0.1.3:7000"));

    private ControlClusterFixture control = ControlClusterFixture.withUsage();
    private long version;

    /** All entries tell their counts of a window, for as long as entries do; the lists say up to where each is. */
    private void tell(long millis, long window, int count, long... until) {
        for (long passed = 0; passed < millis; passed += 500) {
            version++;
            for (int index = 0; index < until.length; index++) {
                control.giveAll(
                        ENTRIES.get(index),
                        Envelope.newBuilder()
                                .setSubscribe(Subscribe.newBuilder()
                                        .setWantsDirectory(true)
                                        .setUsageVersion(version)
                                        .setUsageUntil(until[index])
                                        .addUsage(counts(window, count))));
            }
            control.pass(500);
        }
    }

    private static UsageWindow counts(long window, int count) {
        return UsageWindow.newBuilder()
                .setWindow(window)
                .addCounts(OrganisationCount.newBuilder().setOrganisation("o").setCount(count))
                .build();
    }

    private void acknowledge(Address holder, long window) {
        control.give(
                holder,
                Address.ORDERS,
                Envelope.newBuilder()
                        .setUsageReported(
                                UsageReported.newBuilder().setWindow(window).setAccepted(true)));
    }

    @Example
    void aWindowIsReportedOnceAllEntriesHaveToldAllOfIt() {
        tell(5_000, 5, 2, 5, 5);
        assertThat(control.reports).isEmpty();
        tell(1_000, 5, 3, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getFirst();
        assertThat(first.report().getUsage()).isEqualTo(counts(5, 6));
        assertThat(control.leader()).hasValue(first.holder());
        acknowledge(first.holder(), 5);
        control.pass(100);
        control.reports.clear();
        tell(5_000, 6, 1, 6, 6);
        assertThat(control.reports).isEmpty();
    }

    /* Usage is never reported: one entry was cut off, and control waits for its word for good. */
    @Example
    void anEntryThatTellsNothingMoreIsWaitedForOnlySoLong() {
        tell(5_000, 5, 2, 6, 6, 5);
        tell(3_000, 5, 2, 6, 6, 5);
        assertThat(control.reports).isNotEmpty();
    }

    /*
     * Usage of a window is reported twice with different counts: the holder ends after it sent the report, more words
     * of entries arrive, and the next holder reports what it has heard by then.
     */
    @Example
    void theNextHolderReportsTheSameCountsUnderAHigherNumberAndNotAtOnce() {
        tell(5_000, 5, 2, 5, 5);
        tell(1_000, 5, 2, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        control.kill(first.holder());
        control.reports.clear();
        tell(8_000, 5, 9, 6, 6);
        ControlClusterFixture.SentReport next = control.reports.getFirst();
        assertThat(next.holder()).isNotEqualTo(first.holder());
        assertThat(next.report().getUsage()).isEqualTo(first.report().getUsage());
        assertThat(next.report().getNumber()).isGreaterThan(first.report().getNumber());
        assertThat(next.at() - first.at()).isGreaterThan(Durations.nanos(ControlClusterFixture.LEASE_MILLIS));
    }

    /* The platform's answer is lost, or it is busy: the same is sent again, and no window is left out. */
    @Example
    void aReportWithoutAnAcknowledgementIsSentAgainUnchanged() {
        tell(5_000, 5, 2, 5, 5);
        tell(4_000, 5, 2, 6, 6);
        assertThat(control.reports).hasSizeGreaterThan(2);
        assertThat(control.reports)
                .allSatisfy(sent -> assertThat(sent.report().getUsage()).isEqualTo(counts(5, 4)));
    }

    /* After an outage windows are reported one after the other, without a pause once one is acknowledged. */
    @Example
    void windowsThatWaitFollowEachOtherAtOnce() {
        tell(5_000, 5, 2, 5, 5);
        tell(500, 6, 1, 7, 7);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        control.reports.clear();
        acknowledge(first.holder(), 5);
        control.pass(200);
        assertThat(control.reports).hasSize(1);
        assertThat(control.reports.getFirst().report().getUsage()).isEqualTo(counts(6, 2));
    }

    /** Guards against calls beyond what the platform states to take, when windows are made up for after an outage. */
    @Example
    void windowsThatWaitFollowEachOtherNoFasterThanThePlatformTakesCalls() {
        control = ControlClusterFixture.withUsage(OptionalDouble.of(0.5));
        tell(5_000, 5, 2, 5, 5);
        tell(500, 6, 1, 7, 7);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        control.reports.clear();
        acknowledge(first.holder(), 5);
        control.pass(2_100);
        assertThat(control.reports).isNotEmpty();
        assertThat(control.reports.getFirst().at() - first.at()).isGreaterThanOrEqualTo(Durations.nanos(2_000));
    }

    /* The next holder need not report what was acknowledged: that is in the log. */
    @Example
    void whatWasAcknowledgedIsNotReportedByTheNextHolder() {
        tell(5_000, 5, 2, 5, 5);
        tell(500, 5, 2, 6, 6);
        Address holder = control.reports.getFirst().holder();
        acknowledge(holder, 5);
        control.pass(200);
        control.kill(holder);
        control.reports.clear();
        tell(8_000, 6, 1, 6, 6);
        assertThat(control.reports).isEmpty();
    }

    /*
     * A holder was suspended and its monotonic clock with it. It believes in its lease, and sends a report after its
     * successor did. Its clocks no longer agree, which voids the lease until others answer it again.
     */
    @Example
    void aHolderWhoseVmStoodStillReportsNothingUntilItIsHeardAgain() {
        assertThat(reportsWithin(false)).as("its lease holds").isNotEmpty();
        assertThat(reportsWithin(true)).as("its clocks moved apart").isEmpty();
    }

    /** What a holder sends again within its lease, once the others are gone and its clocks moved apart or not. */
    private List<ControlClusterFixture.SentReport> reportsWithin(boolean jumped) {
        control = ControlClusterFixture.withUsage();
        tell(5_000, 5, 2, 5, 5);
        tell(500, 5, 2, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getLast();
        long justBeforeTheNextTry = first.at() + Durations.nanos(900);
        control.pass(Durations.millis(justBeforeTheNextTry - control.now));
        control.reports.clear();
        control.processes().stream()
                .filter(process -> !process.equals(first.holder()))
                .forEach(control::kill);
        if (jumped) {
            WallClock.Builder clock = WallClock.newBuilder().setEpochMs(9_000).setJumped(true);
            control.give(first.holder(), Address.PROCESS, Envelope.newBuilder().setWallClock(clock));
        }
        control.pass(200);
        return control.reports;
    }

    /** What a report may be written until is the end of the lease under which it was decided. */
    @Example
    void aReportMayBeWrittenOnlyUnderTheLease() {
        tell(5_000, 5, 2, 5, 5);
        tell(1_000, 5, 2, 6, 6);
        ControlClusterFixture.SentReport first = control.reports.getFirst();
        assertThat(first.report().getWriteUntilNs() - first.at()).isBetween(1L, Durations.nanos(450));
    }
}
