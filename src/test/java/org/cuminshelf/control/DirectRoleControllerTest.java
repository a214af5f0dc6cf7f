package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UpstreamBeat;

/**
 * Role changes after engines left permanently. Three engines have the prefill role and three the decode role, and the
 * offered work has been constant for half a minute: prefill work for 2.5 engines and decode work for two.
 */
class DirectRoleControllerTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final long STEP_MILLIS = 500;
    /** Prefill time of one engine in a step, in microseconds. */
    private static final double PREFILL_MICROS_PER_STEP = 1_000 * STEP_MILLIS;
    /** Time of one engine's decode slots in a step, in microseconds: of 64 slots, 85 in 100 are usable. */
    private static final double DECODE_MICROS_PER_STEP = 54.4 * 1_000 * STEP_MILLIS;
    /** An order is decided within two planning rounds, half a second apart, and sent 0.12 s later. */
    private static final long MAX_REACTION_MILLIS = 2_000;

    private final ControlClusterFixture control = new ControlClusterFixture();
    private final Map<String, Role> engines = new LinkedHashMap<>();
    /** Software versions of engines that do not run the usual one. */
    private final Map<String, String> versions = new LinkedHashMap<>();

    /** Offered work in multiples of the capacity of one engine. */
    private double offeredPrefillEngines = 2.5;

    private double offeredDecodeEngines = 2;
    private long prefillMicros;
    private long decodeMicros;
    private long sequence;

    DirectRoleControllerTest() {
        for (int number = 0; number < 6; number++) {
            engines.put("e" + number, number < 3 ? Role.ROLE_PREFILL : Role.ROLE_DECODE);
        }
        advance(30_000);
        assertThat(control.orders).isEmpty();
    }

    /*
     * Two of three decode engines announce that they leave, and callers are rejected for 11 s for lack of decode slots
     * while prefill engines have spare capacity. The planner waited as it does for a load that may fluctuate back, but
     * an engine that announced its departure does not return.
     */
    @Example
    void aRoleChangesAtOnceIfEnginesAnnouncedThatTheyLeave() {
        long leftAt = leave("e3", "e4");
        advance(MAX_REACTION_MILLIS);
        assertThat(firstOrderAfter(leftAt).getRole()).isEqualTo(Role.ROLE_DECODE);
    }

    /*
     * The same after the leader was killed: its successor received all reports of offered work, but evaluated them only
     * from its election on, and changed the role of an engine 18 s later.
     */
    @Example
    void aNewLeaderKnowsTheWorkOfferedBeforeItsElection() {
        control.kill(control.leader().orElseThrow());
        advance(4_000);
        assertThat(control.leader()).isPresent();
        long leftAt = leave("e3", "e4");
        advance(MAX_REACTION_MILLIS);
        assertThat(firstOrderAfter(leftAt).getRole()).isEqualTo(Role.ROLE_DECODE);
    }

    /*
     * An engine changes its role while another is only restarting, and is missing in its old role afterwards. A silent
     * engine may return within seconds, so only an announced departure may cause an immediate change.
     */
    @Example
    void noRoleChangesAtOnceIfEnginesAreSilent() {
        engines.remove("e3");
        engines.remove("e4");
        advance(10_000);
        assertThat(control.orders).isEmpty();
    }

    /*
     * Two engines change their roles at the same time instead of one after the other: the leader is lost after it
     * ordered a change, and its successor orders the next at once, as if none had been ordered for the departed
     * engines.
     */
    @Example
    void aNewLeaderObservesTheDelayAfterAChangeOrderedByThePreviousLeader() {
        offeredPrefillEngines = 1;
        offeredDecodeEngines = 2.9;
        advance(30_000);
        long leftAt = leave("e3", "e4");
        advance(MAX_REACTION_MILLIS);
        assertThat(firstOrderAfter(leftAt).getRole()).isEqualTo(Role.ROLE_DECODE);
        engines.replace(firstOrderAfter(leftAt).getUpstream(), Role.ROLE_DECODE);
        control.kill(control.leader().orElseThrow());
        advance(6_000);
        assertThat(control.leader()).isPresent();
        assertThat(control.orders).hasSize(1);
    }

    /** Guards against streams that nobody may continue, as the last engine of their version changes its role. */
    @Example
    void theLastEngineOfAVersionThatGeneratesKeepsItsRoleWhileAnotherCanChange() {
        versions.put("e3", "v1.2");
        offeredPrefillEngines = 3.4;
        offeredDecodeEngines = 0.6;
        advance(40_000);
        assertThat(control.orders).isNotEmpty();
        assertThat(control.orders.getFirst().order().getRole()).isEqualTo(Role.ROLE_PREFILL);
        assertThat(control.orders.getFirst().order().getUpstream()).isNotEqualTo("e3");
    }

    /** Lets engines announce that they leave, and returns the time in nanoseconds. */
    private long leave(String... names) {
        for (String name : names) {
            control.sendToAny(Address.ADMINISTRATORS, heartbeat(name, engines.remove(name), true));
        }
        return control.now;
    }

    private DirectOrder firstOrderAfter(long since) {
        return control.orders.stream()
                .filter(order -> order.sentAt() >= since)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no order within " + MAX_REACTION_MILLIS + " ms"))
                .order();
    }

    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            prefillMicros += (long) (offeredPrefillEngines * PREFILL_MICROS_PER_STEP);
            decodeMicros += (long) (offeredDecodeEngines * DECODE_MICROS_PER_STEP);
            sequence++;
            engines.forEach((name, role) -> control.sendToAny(Address.ADMINISTRATORS, heartbeat(name, role, false)));
            control.sendToAll(ENTRY, Envelope.newBuilder().setSubscribe(subscribe()));
            control.advance(STEP_MILLIS);
        }
    }

    private Subscribe subscribe() {
        return Subscribe.newBuilder()
                .setWantsDirectory(true)
                .addAllOffered(List.of(OfferedWork.newBuilder()
                        .setModel("s")
                        .setPrefill(prefillMicros)
                        .setDecode(decodeMicros)
                        .build()))
                .build();
    }

    private Envelope.Builder heartbeat(String name, Role role, boolean leaving) {
        return Envelope.newBuilder()
                .setUpstreamBeat(UpstreamBeat.newBuilder()
                        .setId(name)
                        .setName(name)
                        .setService("s")
                        .setAddress("10.9.0.1:80")
                        .setSlots(64)
                        .setRole(role)
                        .setVersion(versions.getOrDefault(name, "v1.1"))
                        .setSequence(sequence)
                        .setLeaving(leaving));
    }
}
