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

/** What control does with poison requests that entries tell of. */
class QuarantineManagerTest {

    private static final Address FINDER = Address.of("10.0.1.1:7000");
    private static final Address OTHER = Address.of("10.0.1.2:7000");
    private static final Address LATE = Address.of("10.0.1.3:7000");

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

    private void settle() {
        control.pass(3_000);
        assertThat(control.leader()).isPresent();
    }

    private List<Update> updates(Address to) {
        return control.takeSent(to).stream()
                .filter(Envelope::hasUpdate)
                .map(Envelope::getUpdate)
                .toList();
    }

    private AdminAnswer ask(Address process, AdminRequest.Builder request) {
        control.give(process, Address.ADMINISTRATORS, Envelope.newBuilder().setAdminRequest(request.setQuestion(5)));
        control.pass(500);
        return control.takeSent(Address.ADMINISTRATORS).getLast().getAdminAnswer();
    }

    @Example
    void aCrashThatOneEntryTellsOfIsToldToTheOthersAtOnce() {
        settle();
        control.giveAll(OTHER, Envelope.newBuilder().setSubscribe(subscribe()));
        control.pass(100);
        updates(OTHER);
        control.giveAll(FINDER, Envelope.newBuilder().setSubscribe(subscribe().addCrashes(crash())));
        control.pass(50);
        assertThat(updates(OTHER)).anyMatch(update -> update.getCrashesList().contains(crash()));
    }

    /*
     * A poison request is known to some entries only: the control process that had heard of it restarted, and nobody
     * told it again, as all had told it once.
     */
    @Example
    void whatAnEntryToldAFormerLifeIsAskedForAgain() {
        settle();
        control.giveAll(
                FINDER,
                Envelope.newBuilder().setSubscribe(subscribe().setPoisonSince(7).setPoisonVersion(9)));
        control.pass(50);
        assertThat(updates(FINDER)).isNotEmpty().allMatch(update -> update.getPoisonHeard() == 0);
        control.giveAll(
                FINDER,
                Envelope.newBuilder().setSubscribe(subscribe().setPoisonSince(0).setPoisonVersion(9)));
        control.pass(50);
        assertThat(updates(FINDER)).isNotEmpty().allMatch(update -> update.getPoisonHeard() == 9);
    }

    @Example
    void aQuarantinedRequestIsWrittenDownAndToldToEntriesThatComeLater() {
        settle();
        control.giveAll(FINDER, Envelope.newBuilder().setSubscribe(subscribe().addQuarantined(quarantined())));
        control.pass(500);
        control.giveOne(LATE, Envelope.newBuilder().setSubscribe(subscribe()));
        control.pass(50);
        assertThat(updates(LATE).getFirst().getQuarantinedList()).hasSize(1);
        assertThat(control.quarantineWrittenDown()).hasSize(3).allMatch(rows -> rows.size() == 1);
    }

    /*
     * A poison request ends three more upstreams: control came back from a snapshot, which had left the quarantine out.
     */
    @Example
    void aSnapshotHoldsTheQuarantine() {
        GlobalStateMachine machine = new GlobalStateMachine();
        machine.apply(
                LogEntry.newBuilder().setIndex(4).setQuarantined(quarantined()).build());
        GlobalStateMachine restored = new GlobalStateMachine();
        restored.load(machine.save());
        assertThat(restored.quarantine().all()).containsExactly(quarantined());
    }

    @Example
    void anOperatorReleasesARequestThroughAnyControlProcess() {
        settle();
        control.giveAll(FINDER, Envelope.newBuilder().setSubscribe(subscribe().addQuarantined(quarantined())));
        control.pass(500);
        for (Address process : control.processes()) {
            AdminAnswer list = ask(process, AdminRequest.newBuilder().setQuarantineList(QuarantineList.newBuilder()));
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
        assertThat(ask(follower, release).getResult()).isEqualTo(AdminResult.ADMIN_DONE);
        control.giveOne(LATE, Envelope.newBuilder().setSubscribe(subscribe()));
        control.pass(50);
        QuarantinedRequest told = updates(LATE).getFirst().getQuarantined(0);
        assertThat(told.getReleased()).isTrue();
        assertThat(told.getReleasedBy()).isEqualTo("ada");
        assertThat(told.getReason()).isEqualTo("engine mended");
        assertThat(ask(follower, release).getResult()).isEqualTo(AdminResult.ADMIN_UNKNOWN);
    }
}
