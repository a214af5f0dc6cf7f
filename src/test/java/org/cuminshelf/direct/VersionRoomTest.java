package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.WaitingStreams;
import org.cuminshelf.organisations.RequestApiKeys;
import org.cuminshelf.routes.RequestKind;

/** Guards against new streams that take the room which only streams of one version can use. */
class VersionRoomTest {

    private static final Address OTHER = Address.of("10.0.1.2:7000");
    private static final String OLD = "v1.1";
    private static final String NEW = "v1.2";

    private final BegunStreamWaits waits = new BegunStreamWaits();

    private static UpstreamInstance engine(String id, String version, int running) {
        UpstreamBeat beat = DirectFixture.heartbeat(id, Role.ROLE_DECODE).toBuilder()
                .setSlots(8)
                .setVersion(version)
                .build();
        UpstreamInstance engine = new UpstreamInstance(0, beat);
        engine.applyHeartbeat(beat);
        engine.localAttempts = running;
        return engine;
    }

    private static DirectCall newStream() {
        CallIntent intent = new CallIntent(
                "q",
                OptionalLong.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                new RequestApiKeys(List.of()));
        return new DirectCall(
                1,
                null,
                null,
                intent,
                DirectFixture.patientRoute(RequestKind.STREAM, 3),
                "s",
                Optional.empty(),
                0,
                Long.MAX_VALUE);
    }

    private void reportWaiting(int count) {
        WaitingStreams row = WaitingStreams.newBuilder()
                .setService("s")
                .setVersion(OLD)
                .setCount(count)
                .build();
        waits.onReport(0, OTHER, List.of(row));
    }

    @Example
    void aVersionWithFewerFreeSlotsCostsANewStreamMore() {
        VersionRoom room = VersionRoom.of(newStream(), List.of(engine("a", OLD, 6), engine("b", NEW, 2)), waits);
        assertThat(room.cost(OLD)).isGreaterThan(room.cost(NEW));
    }

    /** Guards against an effect where all engines run one version. */
    @Example
    void oneVersionCostsNothingAndIsFreeWhileNoStreamWaits() {
        VersionRoom room = VersionRoom.of(newStream(), List.of(engine("a", OLD, 8), engine("b", OLD, 2)), waits);
        assertThat(room.cost(OLD)).isZero();
        assertThat(room.isFreeFor(OLD)).isTrue();
    }

    @Example
    void newStreamsLeaveWhatBegunOnesWaitForWhereOneVersionServesToo() {
        List<UpstreamInstance> engines = List.of(engine("a", OLD, 7), engine("b", OLD, 7));
        reportWaiting(1);
        assertThat(VersionRoom.of(newStream(), engines, waits).isFreeFor(OLD)).isTrue();
        reportWaiting(2);
        assertThat(VersionRoom.of(newStream(), engines, waits).isFreeFor(OLD)).isFalse();
        waits.onReport(0, OTHER, List.of());
        assertThat(VersionRoom.of(newStream(), engines, waits).isFreeFor(OLD)).isTrue();
    }

    /** Guards against begun streams that wait for each other. */
    @Example
    void begunStreamsTakeWhatIsLeftFreeForThem() {
        DirectCall begun = newStream();
        begun.origin = Optional.of(new StreamOrigin(OLD, StreamOrigin.Source.RECORD, 0));
        reportWaiting(8);
        List<UpstreamInstance> engines = List.of(engine("a", OLD, 7), engine("b", NEW, 0));
        assertThat(VersionRoom.of(begun, engines, waits).isFreeFor(OLD)).isTrue();
        assertThat(VersionRoom.of(newStream(), engines, waits).isFreeFor(OLD)).isFalse();
    }
}
