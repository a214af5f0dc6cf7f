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
 * Roles after engines were lost for good: three engines read prompts and three generate, and the work offered, two and
 * a half engines' worth of reading and two of generating, has been the same for half a minute.
 */
class DirectRoleControllerTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final long STEP_MILLIS = 500;
    /** Microseconds of one engine's reading in a step. */
    private static final double READING = 1_000 * STEP_MILLIS;
    /** Microseconds of one engine's places in a step: 85 of 100 of 64 can be used. */
    private static final double GENERATING = 54.4 * 1_000 * STEP_MILLIS;
    /** An order is decided within two looks at the engines, half a second apart, and sent 0.12 s later. */
    private static final long SOON_MILLIS = 2_000;

    private final ControlClusterFixture control = new ControlClusterFixture();
    private final Map<String, Role> engines = new LinkedHashMap<>();
    /** Engines' worth of work that is offered to each role. */
    private double readers = 2.5;

    private double generators = 2;
    private long reading;
    private long generating;
    private long sequence;

    DirectRoleControllerTest() {
        for (int number = 0; number < 6; number++) {
            engines.put("e" + number, number < 3 ? Role.ROLE_PREFILL : Role.ROLE_DECODE);
        }
        pass(30_000);
        assertThat(control.orders).isEmpty();
    }

    /*
     * Callers were refused for 11 s for want of a place, while engines that read prompts had room: two of three engines
     * that generate had said that they leave. The planner waited, as it does for a mix that may swing back, until all
     * its waits were over; what says that it leaves doesn't come back.
     */
    @Example
    void anEngineMovesAtOnceWhereEnginesSaidThatTheyLeave() {
        long left = leave("e3", "e4");
        pass(SOON_MILLIS);
        assertThat(firstOrderAfter(left).getRole()).isEqualTo(Role.ROLE_DECODE);
    }

    /*
     * The same after the leader was killed: its successor had heard of all the work offered, yet began to count when it
     * began to lead, and moved an engine 18 s later.
     */
    @Example
    void aNewLeaderKnowsWhatWasOfferedBeforeItLed() {
        control.kill(control.leader().orElseThrow());
        pass(4_000);
        assertThat(control.leader()).isPresent();
        long left = leave("e3", "e4");
        pass(SOON_MILLIS);
        assertThat(firstOrderAfter(left).getRole()).isEqualTo(Role.ROLE_DECODE);
    }

    /*
     * An engine is moved while another is only restarting, and is missed when that one is back: what falls silent may
     * be back within seconds, so only a word that it leaves is acted on at once.
     */
    @Example
    void noEngineMovesAtOnceWhereOthersFellSilent() {
        engines.remove("e3");
        engines.remove("e4");
        pass(10_000);
        assertThat(control.orders).isEmpty();
    }

    /*
     * Two engines are away at once where one was to follow the other: the leader is lost after it ordered a change, and
     * its successor orders the next at once, as if none had been ordered for the engines that left.
     */
    @Example
    void aNewLeaderLeavesTimeAfterAChangeThatAnotherOrdered() {
        readers = 1;
        generators = 2.9;
        pass(30_000);
        long left = leave("e3", "e4");
        pass(SOON_MILLIS);
        assertThat(firstOrderAfter(left).getRole()).isEqualTo(Role.ROLE_DECODE);
        engines.replace(firstOrderAfter(left).getUpstream(), Role.ROLE_DECODE);
        control.kill(control.leader().orElseThrow());
        pass(6_000);
        assertThat(control.leader()).isPresent();
        assertThat(control.orders).hasSize(1);
    }

    /** Engines say that they leave; returns when. */
    private long leave(String... names) {
        for (String name : names) {
            control.giveOne(Address.ADMINISTRATORS, beat(name, engines.remove(name), true));
        }
        return control.now;
    }

    private DirectOrder firstOrderAfter(long since) {
        return control.orders.stream()
                .filter(order -> order.at() >= since)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no order within " + SOON_MILLIS + " ms"))
                .order();
    }

    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            reading += (long) (readers * READING);
            generating += (long) (generators * GENERATING);
            sequence++;
            engines.forEach((name, role) -> control.giveOne(Address.ADMINISTRATORS, beat(name, role, false)));
            control.giveAll(ENTRY, Envelope.newBuilder().setSubscribe(subscribe()));
            control.pass(STEP_MILLIS);
        }
    }

    private Subscribe subscribe() {
        return Subscribe.newBuilder()
                .setWantsDirectory(true)
                .addAllOffered(List.of(OfferedWork.newBuilder()
                        .setModel("s")
                        .setPrefill(reading)
                        .setDecode(generating)
                        .build()))
                .build();
    }

    private Envelope.Builder beat(String name, Role role, boolean leaving) {
        return Envelope.newBuilder()
                .setUpstreamBeat(UpstreamBeat.newBuilder()
                        .setId(name)
                        .setName(name)
                        .setService("s")
                        .setAddress("10.9.0.1:80")
                        .setSlots(64)
                        .setRole(role)
                        .setSequence(sequence)
                        .setLeaving(leaving));
    }
}
