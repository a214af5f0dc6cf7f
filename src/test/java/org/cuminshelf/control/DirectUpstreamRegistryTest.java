package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;

/** Engines that change their roles while control is not there. */
class DirectUpstreamRegistryTest {

    private static final long CHANGE_TAKES = Durations.nanos(6_000);

    private final DirectUpstreamRegistry registry = new DirectUpstreamRegistry(new SidecarDirectory(1));
    private long now = Durations.nanos(10_000);
    private long sequence;

    /*
     * Everything loses power while an engine changes its role, and half of what is asked for in the two seconds after
     * is refused: control reads the order in its log before it hears the engine again, forgets it, and entries send
     * whatever comes to an engine that looks idle and takes nothing.
     */
    @Example
    void anEngineThatIsHeardAfterItsOrderWasReadIsChangingStill() {
        registry.changing("u", Role.ROLE_PREFILL, now + CHANGE_TAKES);
        beat(Role.ROLE_DECODE, 1_000);
        assertThat(isChanging()).isTrue();
        pass(1_000);
        beat(Role.ROLE_DECODE, 1_000);
        assertThat(isChanging()).isTrue();
        beat(Role.ROLE_PREFILL, 1_000);
        assertThat(isChanging()).isFalse();
    }

    @Example
    void anOrderThatIsNeverCarriedOutIsGivenUp() {
        registry.changing("u", Role.ROLE_PREFILL, now + CHANGE_TAKES);
        beat(Role.ROLE_DECODE, 1_000);
        for (int second = 0; second < 7; second++) {
            pass(1_000);
            beat(Role.ROLE_DECODE, 1_000);
        }
        assertThat(isChanging()).isFalse();
    }

    @Example
    void aLaterStartDoesNotWaitForTheOrderOfTheFormer() {
        beat(Role.ROLE_DECODE, 1_000);
        registry.changing("u", Role.ROLE_PREFILL, now + CHANGE_TAKES);
        assertThat(isChanging()).isTrue();
        beat(Role.ROLE_DECODE, 9_000);
        assertThat(isChanging()).isFalse();
    }

    private void beat(Role role, long bornMillis) {
        UpstreamBeat beat = UpstreamBeat.newBuilder()
                .setName("u")
                .setBornMs(bornMillis)
                .setService("s")
                .setSequence(++sequence)
                .setRole(role)
                .build();
        registry.onBeat(now, 0, beat, List.of(), new RecordingOutbox());
    }

    private boolean isChanging() {
        return registry.row("u").orElseThrow().getChanging();
    }

    private void pass(long millis) {
        now += Durations.nanos(millis);
        registry.tick(now);
    }
}
