package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.backpressure.LeavingUpstreams;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;

/** What an entry believes of upstreams. */
class UpstreamTableTest {

    private static final Address CONTROL = Address.of("10.0.0.1:7000");
    private final UpstreamTable table = new UpstreamTable(LeavingUpstreams.create(), DecisionLog.none());
    private long now = Durations.nanos(1_000);

    /*
     * Every request is refused for seconds after all control processes were killed at once: they know nobody yet, and
     * their empty list is taken for an empty fleet.
     */
    @Example
    void anEmptyListOfAControlProcessThatJustStartedEmptiesNothing() {
        tell(1, 1, false, beat());
        tell(2, 1, true);
        assertThat(table.ofService("s")).hasSize(1);
        now += Durations.nanos(5_000);
        table.tick(now);
        assertThat(table.ofService("s")).hasSize(1);
        now += Durations.nanos(2_000);
        table.tick(now);
        assertThat(table.ofService("s")).isEmpty();
    }

    /*
     * An entry is restarted while configurations come in quick succession, and refuses every request for half a minute:
     * control still counts it as subscribed, tells it what changed since its predecessor's version, and the entry takes
     * that for the whole list and never asks for the upstreams that it lacks.
     */
    @Example
    void aChangeOfAListThatIsNotHeldIsNotTakenForTheWholeList() {
        Update change = Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(21)
                .setDirectorySince(20)
                .build();
        table.onUpdate(now, CONTROL, change);
        assertThat(table.directoryVersion(CONTROL)).isZero();
        tell(1, 21, true, beat());
        assertThat(table.directoryVersion(CONTROL)).isEqualTo(21);
        table.onUpdate(
                now,
                CONTROL,
                change.toBuilder().setDirectoryVersion(22).setDirectorySince(21).build());
        assertThat(table.directoryVersion(CONTROL)).isEqualTo(22);
        assertThat(table.ofService("s")).hasSize(1);
    }

    /** Guards against new work for an upstream that leaves and is listed anew by a control process that missed it. */
    @Example
    void anUpstreamThatSaidInAnAnswerThatItLeavesStaysLeaving() {
        tell(1, 1, false, beat());
        UpstreamRow row = table.ofService("s").getFirst();
        table.leaves(now, row.id, true, "answer");
        assertThat(row.leaving).isTrue();
        tell(1, 2, true);
        now += Durations.nanos(7_000);
        table.tick(now);
        assertThat(table.ofService("s")).isEmpty();
        tell(1, 3, false, beat().toBuilder().setSequence(9).build());
        assertThat(table.ofService("s").getFirst().leaving).isTrue();
    }

    @Example
    void anUpstreamThatSaidItIsGoneIsNotBroughtBackByALateHeartbeat() {
        tell(1, 1, false, beat());
        tell(1, 2, false, beat().toBuilder().setDeleted(true).build());
        tell(1, 3, false, beat().toBuilder().setSequence(9).build());
        assertThat(table.ofService("s")).isEmpty();
    }

    @Example
    void anUpstreamThatIsLeavingStaysSo() {
        tell(1, 1, false, beat().toBuilder().setLeaving(true).setSequence(5).build());
        tell(1, 2, false, beat().toBuilder().setSequence(4).build());
        assertThat(table.row("u").orElseThrow().leaving).isTrue();
    }

    @Example
    void failuresInARowMakeAnUpstreamAvoidedAndASuccessEndsThat() {
        tell(1, 1, false, beat());
        UpstreamRow row = table.row("u").orElseThrow();
        row.failed(now);
        assertThat(row.isAvoided(now)).isFalse();
        row.failed(now);
        assertThat(row.isAvoided(now)).isTrue();
        assertThat(row.isAvoided(now + Durations.nanos(500))).isFalse();
        row.succeeded(1);
        assertThat(row.isAvoided(now)).isFalse();
    }

    /*
     * Prompts take seconds instead of a tenth: an engine started again under its name, empty, and is believed to hold
     * the parts that its former self was sent, to be as fast, and to run what died with it.
     */
    @Example
    void aLaterStartOfAnUpstreamHasNothingOfTheFormer() {
        tell(1, 1, false, start(1_000));
        UpstreamRow former = table.ofService("s").getFirst();
        former.cache.add(List.of(new PromptPart("p", 100)), now);
        former.running = 3;
        former.failed(now);
        former.failed(now);
        tell(1, 2, false, start(9_000));
        assertThat(table.ofService("s")).hasSize(1);
        UpstreamRow row = table.ofService("s").getFirst();
        assertThat(row.id).isNotEqualTo(former.id);
        assertThat(row.cache.heldTokens(List.of(new PromptPart("p", 100)))).isZero();
        assertThat(row.occupancy()).isZero();
        assertThat(row.isAvoided(now)).isFalse();
        assertThat(former.leaving).isTrue();
    }

    @Example
    void aLateHeartbeatOfAFormerStartChangesNothing() {
        tell(1, 1, false, start(9_000));
        tell(1, 2, false, start(1_000));
        tell(1, 3, false, start(1_000).toBuilder().setDeleted(true).build());
        assertThat(table.ofService("s")).hasSize(1);
        assertThat(table.ofService("s").getFirst().bornMillis).isEqualTo(9_000);
    }

    /*
     * Calls are refused for want of places that are free: what another entry had at an engine was added up each time it
     * told of it, and not taken off when it told of less.
     */
    @Example
    void whatOthersHaveAtAnEngineIsWhatTheyToldLast() {
        tell(1, 1, false, beat());
        UpstreamRow row = table.row("u").orElseThrow();
        Address first = Address.of("10.0.1.2:7");
        Address second = Address.of("10.0.1.3:7");
        table.onLoad(now, first, load(3, 300));
        table.onLoad(now, second, load(2, 200));
        table.onLoad(now, first, load(1, 100));
        assertThat(row.occupancy()).isEqualTo(3);
        assertThat(row.memoryTokens()).isEqualTo(300);
        table.onLoad(now, second, EntryLoad.getDefaultInstance());
        assertThat(row.occupancy()).isEqualTo(1);
        now += Durations.nanos(1_500);
        table.tick(now);
        assertThat(row.occupancy()).isZero();
        assertThat(row.memoryTokens()).isZero();
    }

    private static EntryLoad load(int running, int tokens) {
        return EntryLoad.newBuilder()
                .addUpstreams(
                        UpstreamLoad.newBuilder().setId("u").setRunning(running).setTokens(tokens))
                .build();
    }

    private static UpstreamBeat start(long bornMillis) {
        return beat().toBuilder().setId("u@" + bornMillis).setBornMs(bornMillis).build();
    }

    private void tell(long incarnation, long version, boolean whole, UpstreamBeat... beats) {
        Update.Builder update = Update.newBuilder()
                .setDirectoryIncarnation(incarnation)
                .setDirectoryVersion(version)
                .setWholeDirectory(whole);
        for (UpstreamBeat beat : beats) {
            update.addUpstreams(beat);
        }
        table.onUpdate(now, CONTROL, update.build());
    }

    private static UpstreamBeat beat() {
        return DirectFixture.beat("u", Role.ROLE_MIXED);
    }
}
