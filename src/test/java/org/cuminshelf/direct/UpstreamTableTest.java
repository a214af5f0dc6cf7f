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

/** Tests which upstream instances an entry knows, and their state. */
class UpstreamTableTest {

    private static final Address CONTROL = Address.of("10.0.0.1:7000");
    private final UpstreamTable table = new UpstreamTable(LeavingUpstreams.create(), DecisionLog.none());
    private long now = Durations.nanos(1_000);

    /*
     * Guards against refusing all requests for seconds after all control processes restart at once: their directories
     * are still empty, which does not mean that there are no upstreams.
     */
    @Example
    void anEmptyDirectoryOfARestartedControlProcessRemovesNothing() {
        update(1, 1, false, heartbeat());
        update(2, 1, true);
        assertThat(table.instancesOf("s")).hasSize(1);
        now += Durations.nanos(5_000);
        table.tick(now);
        assertThat(table.instancesOf("s")).hasSize(1);
        now += Durations.nanos(2_000);
        table.tick(now);
        assertThat(table.instancesOf("s")).isEmpty();
    }

    /*
     * Guards against a restarted entry that refuses all requests for half a minute while configurations change often:
     * control still counts it as subscribed and sends only changes since its predecessor's version; the entry takes
     * them for the whole directory and never requests the missing upstreams.
     */
    @Example
    void aChangeToADirectoryThatIsNotHeldIsNotTakenForTheWholeDirectory() {
        Update change = Update.newBuilder()
                .setDirectoryIncarnation(1)
                .setDirectoryVersion(21)
                .setDirectorySince(20)
                .build();
        table.onUpdate(now, CONTROL, change);
        assertThat(table.directoryVersion(CONTROL)).isZero();
        update(1, 21, true, heartbeat());
        assertThat(table.directoryVersion(CONTROL)).isEqualTo(21);
        table.onUpdate(
                now,
                CONTROL,
                change.toBuilder().setDirectoryVersion(22).setDirectorySince(21).build());
        assertThat(table.directoryVersion(CONTROL)).isEqualTo(22);
        assertThat(table.instancesOf("s")).hasSize(1);
    }

    /** Guards against new work for a draining upstream that is listed again by a control process unaware of it. */
    @Example
    void anUpstreamThatAnnouncedItsShutdownInAResponseStaysDraining() {
        update(1, 1, false, heartbeat());
        UpstreamInstance instance = table.instancesOf("s").getFirst();
        table.markDraining(now, instance.id, true, "answer");
        assertThat(instance.draining).isTrue();
        update(1, 2, true);
        now += Durations.nanos(7_000);
        table.tick(now);
        assertThat(table.instancesOf("s")).isEmpty();
        update(1, 3, false, heartbeat().toBuilder().setSequence(9).build());
        assertThat(table.instancesOf("s").getFirst().draining).isTrue();
    }

    @Example
    void aDeletedUpstreamIsNotAddedAgainByALateHeartbeat() {
        update(1, 1, false, heartbeat());
        update(1, 2, false, heartbeat().toBuilder().setDeleted(true).build());
        update(1, 3, false, heartbeat().toBuilder().setSequence(9).build());
        assertThat(table.instancesOf("s")).isEmpty();
    }

    @Example
    void aDrainingUpstreamStaysDraining() {
        update(
                1,
                1,
                false,
                heartbeat().toBuilder().setLeaving(true).setSequence(5).build());
        update(1, 2, false, heartbeat().toBuilder().setSequence(4).build());
        assertThat(table.instance("u").orElseThrow().draining).isTrue();
    }

    @Example
    void anUpstreamIsAvoidedAfterFailuresInARowUntilASuccess() {
        update(1, 1, false, heartbeat());
        UpstreamInstance instance = table.instance("u").orElseThrow();
        instance.recordFailure(now);
        assertThat(instance.isAvoided(now)).isFalse();
        instance.recordFailure(now);
        assertThat(instance.isAvoided(now)).isTrue();
        assertThat(instance.isAvoided(now + Durations.nanos(500))).isFalse();
        instance.recordSuccess(1);
        assertThat(instance.isAvoided(now)).isFalse();
    }

    /*
     * Guards against prompts that take seconds instead of a tenth: an engine restarted under its name, and the cached
     * prompt prefixes, speed and running work of the previous instance are attributed to the new one.
     */
    @Example
    void aNewInstanceInheritsNoStateOfThePreviousOne() {
        update(1, 1, false, heartbeatOf(1_000));
        UpstreamInstance previous = table.instancesOf("s").getFirst();
        previous.promptCache.recordPrompt(List.of(new PromptSegment("p", 100)), now);
        previous.localAttempts = 3;
        previous.recordFailure(now);
        previous.recordFailure(now);
        update(1, 2, false, heartbeatOf(9_000));
        assertThat(table.instancesOf("s")).hasSize(1);
        UpstreamInstance instance = table.instancesOf("s").getFirst();
        assertThat(instance.id).isNotEqualTo(previous.id);
        assertThat(instance.promptCache.cachedPrefixTokens(List.of(new PromptSegment("p", 100))))
                .isZero();
        assertThat(instance.totalAttempts()).isZero();
        assertThat(instance.isAvoided(now)).isFalse();
        assertThat(previous.draining).isTrue();
    }

    @Example
    void aLateHeartbeatOfAPreviousInstanceChangesNothing() {
        update(1, 1, false, heartbeatOf(9_000));
        update(1, 2, false, heartbeatOf(1_000));
        update(1, 3, false, heartbeatOf(1_000).toBuilder().setDeleted(true).build());
        assertThat(table.instancesOf("s")).hasSize(1);
        assertThat(table.instancesOf("s").getFirst().startedAtMillis).isEqualTo(9_000);
    }

    /*
     * Guards against refused calls although slots are free: the load of another entry was added with each report, and
     * not subtracted when it decreased.
     */
    @Example
    void theLoadOfOtherEntriesIsThatOfTheirLastReports() {
        update(1, 1, false, heartbeat());
        UpstreamInstance instance = table.instance("u").orElseThrow();
        Address first = Address.of("10.0.1.2:7");
        Address second = Address.of("10.0.1.3:7");
        table.applyLoad(now, first, load(3, 300));
        table.applyLoad(now, second, load(2, 200));
        table.applyLoad(now, first, load(1, 100));
        assertThat(instance.totalAttempts()).isEqualTo(3);
        assertThat(instance.totalMemoryTokens()).isEqualTo(300);
        table.applyLoad(now, second, EntryLoad.getDefaultInstance());
        assertThat(instance.totalAttempts()).isEqualTo(1);
        now += Durations.nanos(1_500);
        table.tick(now);
        assertThat(instance.totalAttempts()).isZero();
        assertThat(instance.totalMemoryTokens()).isZero();
    }

    private static EntryLoad load(int running, int tokens) {
        return EntryLoad.newBuilder()
                .addUpstreams(
                        UpstreamLoad.newBuilder().setId("u").setRunning(running).setTokens(tokens))
                .build();
    }

    private static UpstreamBeat heartbeatOf(long bornMillis) {
        return heartbeat().toBuilder()
                .setId("u@" + bornMillis)
                .setBornMs(bornMillis)
                .build();
    }

    private void update(long incarnation, long version, boolean whole, UpstreamBeat... heartbeats) {
        Update.Builder update = Update.newBuilder()
                .setDirectoryIncarnation(incarnation)
                .setDirectoryVersion(version)
                .setWholeDirectory(whole);
        for (UpstreamBeat heartbeat : heartbeats) {
            update.addUpstreams(heartbeat);
        }
        table.onUpdate(now, CONTROL, update.build());
    }

    private static UpstreamBeat heartbeat() {
        return DirectFixture.heartbeat("u", Role.ROLE_MIXED);
    }
}
