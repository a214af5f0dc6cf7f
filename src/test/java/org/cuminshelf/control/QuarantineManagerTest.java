package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.AdminAnswer;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.AdminResult;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.QuarantineList;
import org.cuminshelf.message.QuarantineRelease;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamCrash;

/** Crash reports and quarantined requests that entries send to control. */
class QuarantineManagerTest {

    private static final Address REPORTER = Address.of("10.0.1.1:7000");
    private static final Address OTHER = Address.of("10.0.1.2:7000");
    private static final Address LATE_SUBSCRIBER = Address.of("10.0.1.3:7000");

    private final ControlClusterFixture control = new ControlClusterFixture();

    private static Subscribe.Builder subscribe() {
        return Subscribe.newBuilder().setWantsDirectory(true).setPoisonVersion(1);
    }

    private static UpstreamCrash crash() {
        return UpstreamCrash.newBuilder()
                .setUpstream("u1")
                .addRuns(CrashedRun.newBuilder().setHigh(1).setLow(2).setInvolvement(Involvement.JUST_BEGUN))
                .build();
    }

    private static QuarantinedRequest quarantined() {
        return QuarantinedRequest.newBuilder()
                .setHigh(1)
                .setLow(2)
                .setGeneration(1)
                .addUpstreams("u1")
                .setFoundBy("vm-1")
                .build();
    }

    private void electLeader() {
        control.advance(3_000);
        assertThat(control.leader()).isPresent();
    }

    private List<Update> updates(Address to) {
        return control.takeSent(to).stream()
                .filter(Envelope::hasUpdate)
                .map(Envelope::getUpdate)
                .toList();
    }

    private AdminAnswer sendAdminRequest(Address process, AdminRequest.Builder request) {
        control.sendTo(process, Address.ADMINISTRATORS, Envelope.newBuilder().setAdminRequest(request.setQuestion(5)));
        control.advance(500);
        return control.takeSent(Address.ADMINISTRATORS).getLast().getAdminAnswer();
    }

    @Example
    void aCrashReportedByOneEntryIsSentToTheOthersAtOnce() {
        electLeader();
        control.sendToAll(OTHER, Envelope.newBuilder().setSubscribe(subscribe()));
        control.advance(100);
        updates(OTHER);
        control.sendToAll(
                REPORTER, Envelope.newBuilder().setSubscribe(subscribe().addCrashes(crash())));
        control.advance(50);
        assertThat(updates(OTHER)).anyMatch(update -> update.getCrashesList().contains(crash()));
    }

    /*
     * A poison request is known to some entries only: the control process that received its report restarted, and no
     * entry sent the report again, as each had already sent it once.
     */
    @Example
    void reportsSentToAPreviousIncarnationAreRequestedAgain() {
        electLeader();
        control.sendToAll(
                REPORTER,
                Envelope.newBuilder().setSubscribe(subscribe().setPoisonSince(7).setPoisonVersion(9)));
        control.advance(50);
        assertThat(updates(REPORTER)).isNotEmpty().allMatch(update -> update.getPoisonHeard() == 0);
        control.sendToAll(
                REPORTER,
                Envelope.newBuilder().setSubscribe(subscribe().setPoisonSince(0).setPoisonVersion(9)));
        control.advance(50);
        assertThat(updates(REPORTER)).isNotEmpty().allMatch(update -> update.getPoisonHeard() == 9);
    }

    @Example
    void aQuarantinedRequestIsPersistedAndSentToLaterSubscribers() {
        electLeader();
        control.sendToAll(
                REPORTER, Envelope.newBuilder().setSubscribe(subscribe().addQuarantined(quarantined())));
        control.advance(500);
        control.sendToAny(LATE_SUBSCRIBER, Envelope.newBuilder().setSubscribe(subscribe()));
        control.advance(50);
        assertThat(updates(LATE_SUBSCRIBER).getFirst().getQuarantinedList()).hasSize(1);
        assertThat(control.persistedQuarantines()).hasSize(3).allMatch(requests -> requests.size() == 1);
    }

    /*
     * A poison request crashes three more upstreams, because control restarted from a snapshot without the quarantine.
     */
    @Example
    void aSnapshotContainsTheQuarantine() {
        GlobalStateMachine machine = new GlobalStateMachine();
        machine.apply(
                LogEntry.newBuilder().setIndex(4).setQuarantined(quarantined()).build());
        GlobalStateMachine restored = new GlobalStateMachine();
        restored.load(machine.save());
        assertThat(restored.quarantine().all()).containsExactly(quarantined());
    }

    @Example
    void anOperatorReleasesARequestThroughAnyControlProcess() {
        electLeader();
        control.sendToAll(
                REPORTER, Envelope.newBuilder().setSubscribe(subscribe().addQuarantined(quarantined())));
        control.advance(500);
        for (Address process : control.processes()) {
            AdminAnswer list =
                    sendAdminRequest(process, AdminRequest.newBuilder().setQuarantineList(QuarantineList.newBuilder()));
            assertThat(list.getQuarantinedList()).hasSize(1);
        }
        Address follower = control.processes().stream()
                .filter(process -> !process.equals(control.leader().orElseThrow()))
                .findFirst()
                .orElseThrow();
        AdminRequest.Builder release = AdminRequest.newBuilder()
                .setQuarantineRelease(QuarantineRelease.newBuilder()
                        .setHigh(1)
                        .setLow(2)
                        .setAuthor("ada")
                        .setReason("engine mended"));
        assertThat(sendAdminRequest(follower, release).getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        control.sendToAny(LATE_SUBSCRIBER, Envelope.newBuilder().setSubscribe(subscribe()));
        control.advance(50);
        QuarantinedRequest published = updates(LATE_SUBSCRIBER).getFirst().getQuarantined(0);
        assertThat(published.getReleased()).isTrue();
        assertThat(published.getReleasedBy()).isEqualTo("ada");
        assertThat(published.getReason()).isEqualTo("engine mended");
        assertThat(sendAdminRequest(follower, release).getResult()).isEqualTo(AdminResult.ADMIN_UNKNOWN);
    }
}
