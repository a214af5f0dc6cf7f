package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.UpstreamBeat;

/** Engines that change their roles while no control process is running. */
class DirectUpstreamRegistryTest {

    private static final long CHANGE_TIMEOUT_NANOS = Durations.nanos(6_000);

    private final DirectUpstreamRegistry registry = new DirectUpstreamRegistry(new SidecarDirectory(1));
    private long now = Durations.nanos(10_000);
    private long sequence;

    /*
     * All processes lose power while an engine changes its role, and half of the requests in the two seconds after are
     * rejected: control reads the order from its log before it receives a heartbeat of the engine, discards the pending
     * change, and entries send requests to an engine that appears idle but accepts none.
     */
    @Example
    void anEngineIsStillChangingIfItsHeartbeatArrivesAfterTheOrder() {
        registry.markChanging("u", Role.ROLE_PREFILL, now + CHANGE_TIMEOUT_NANOS);
        sendHeartbeat(Role.ROLE_DECODE, 1_000);
        assertThat(isChanging()).isTrue();
        advance(1_000);
        sendHeartbeat(Role.ROLE_DECODE, 1_000);
        assertThat(isChanging()).isTrue();
        sendHeartbeat(Role.ROLE_PREFILL, 1_000);
        assertThat(isChanging()).isFalse();
    }

    @Example
    void aChangeThatNeverCompletesExpires() {
        registry.markChanging("u", Role.ROLE_PREFILL, now + CHANGE_TIMEOUT_NANOS);
        sendHeartbeat(Role.ROLE_DECODE, 1_000);
        for (int second = 0; second < 7; second++) {
            advance(1_000);
            sendHeartbeat(Role.ROLE_DECODE, 1_000);
        }
        assertThat(isChanging()).isFalse();
    }

    @Example
    void aNewIncarnationIsNotChangingByAnOrderToThePreviousOne() {
        sendHeartbeat(Role.ROLE_DECODE, 1_000);
        registry.markChanging("u", Role.ROLE_PREFILL, now + CHANGE_TIMEOUT_NANOS);
        assertThat(isChanging()).isTrue();
        sendHeartbeat(Role.ROLE_DECODE, 9_000);
        assertThat(isChanging()).isFalse();
    }

    /** Guards against upstreams that all lapse in the first tick after a pause of control. */
    @Example
    void aPauseOfControlEndsNoLease() {
        sendHeartbeat(Role.ROLE_DECODE, 1_000);
        advance(250);
        advance(6_000);
        assertThat(registry.serving()).hasSize(1);
    }

    @Example
    void anUpstreamThatStaysSilentAfterAPauseOfControlLapses() {
        sendHeartbeat(Role.ROLE_DECODE, 1_000);
        advance(250);
        advance(6_000);
        for (int quarter = 0; quarter < 21; quarter++) {
            advance(250);
        }
        assertThat(registry.serving()).isEmpty();
    }

    private void sendHeartbeat(Role role, long bornMillis) {
        UpstreamBeat heartbeat = UpstreamBeat.newBuilder()
                .setName("u")
                .setBornMs(bornMillis)
                .setService("s")
                .setSequence(++sequence)
                .setRole(role)
                .build();
        registry.onHeartbeat(now, 0, heartbeat, List.of(), new RecordingOutbox());
    }

    private boolean isChanging() {
        return registry.find("u").orElseThrow().getChanging();
    }

    private void advance(long millis) {
        now += Durations.nanos(millis);
        registry.tick(now);
    }
}
