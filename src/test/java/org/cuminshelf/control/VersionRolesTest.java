package org.cuminshelf.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.AdminRequest;
import org.cuminshelf.message.CrashedRun;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Involvement;
import org.cuminshelf.message.OfferedWork;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.StatusQuery;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamCrash;

/**
 * Guards against a software version that is left without an engine that generates, so that nobody may go on with its
 * streams. Engines apply orders within {@link #CHANGE_MILLIS}. Unless a test says otherwise, two of three engines of
 * each of two versions have the prefill role, and the load asks for no change.
 */
class VersionRolesTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final Address ADMINISTRATOR = Address.of("10.0.2.1:7000");
    private static final long STEP_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long CHANGE_MILLIS = 3_000;
    private static final long LAPSE_MILLIS = 5_000;
    private static final long COOLDOWN_MILLIS = 16_000;
    /** An order is decided within half a second, and sent 0.12 s later. */
    private static final long MAX_REACTION_MILLIS = 1_000;

    private static final String OLD = "v1.1";
    private static final String NEW = "v1.2";

    /** An engine that sends heartbeats and applies orders. */
    private static final class Engine {
        private final String version;
        private Role role;
        private boolean silent;
        private boolean appliesOrders = true;
        private long changedAt = Long.MAX_VALUE;

        private Engine(String version, Role role) {
            this.version = version;
            this.role = role;
        }
    }

    private final ControlClusterFixture control = new ControlClusterFixture();
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private double offeredPrefillEngines = 1;
    private double offeredDecodeEngines = 0.5;
    private long prefillMicros;
    private long decodeMicros;
    private long elapsedMillis;
    private int appliedOrders;

    private void add(String name, String version, Role role) {
        engines.put(name, new Engine(version, role));
    }

    private void addTwoVersions() {
        for (String version : List.of(OLD, NEW)) {
            add("p1-" + version, version, Role.ROLE_PREFILL);
            add("p2-" + version, version, Role.ROLE_PREFILL);
            add("d1-" + version, version, Role.ROLE_DECODE);
        }
    }

    /** Adds both versions and lets control learn the load. */
    private void startTwoVersions() {
        addTwoVersions();
        advance(20_000);
        assertThat(control.orders).isEmpty();
    }

    // ---- the engine that generates is lost

    @Example
    void aVersionWhoseOnlyGeneratingEngineIsDeletedGetsAnother() {
        startTwoVersions();
        delete("d1-" + OLD);
        advance(MAX_REACTION_MILLIS);
        assertOneOrderToGenerateAt(OLD);
    }

    @Example
    void aVersionWhoseOnlyGeneratingEngineLeavesGetsAnother() {
        startTwoVersions();
        leave("d1-" + OLD);
        advance(MAX_REACTION_MILLIS);
        assertOneOrderToGenerateAt(OLD);
    }

    @Example
    void aVersionWhoseOnlyGeneratingEngineLapsesGetsAnother() {
        startTwoVersions();
        engines.get("d1-" + OLD).silent = true;
        advance(LAPSE_MILLIS + MAX_REACTION_MILLIS);
        assertOneOrderToGenerateAt(OLD);
    }

    @Example
    void aVersionWhoseOnlyGeneratingEngineCrashesGetsAnotherBeforeItLapses() {
        startTwoVersions();
        engines.get("d1-" + OLD).silent = true;
        advance(STEP_MILLIS);
        reportCrash("d1-" + OLD);
        advance(MAX_REACTION_MILLIS);
        assertOneOrderToGenerateAt(OLD);
    }

    /** Guards against orders for a version whose engine was only reported as crashed and goes on. */
    @Example
    void aWrongReportOfACrashCostsOneOrderAtMost() {
        startTwoVersions();
        reportCrash("d1-" + OLD);
        advance(20_000);
        assertThat(control.orders).hasSizeLessThanOrEqualTo(1);
        int before = control.orders.size();
        for (ControlClusterFixture.SentOrder order : List.copyOf(control.orders)) {
            delete(order.order().getUpstream());
        }
        for (int report = 0; report < 10; report++) {
            reportCrash("d1-" + OLD);
            advance(1_000);
        }
        assertThat(control.orders).hasSize(before);
    }

    /** Guards against two versions that lose their engines together, of which one has to wait for the other. */
    @Example
    void twoVersionsThatLoseTheirGeneratingEnginesGetOneEach() {
        startTwoVersions();
        delete("d1-" + OLD);
        delete("d1-" + NEW);
        advance(MAX_REACTION_MILLIS);
        assertThat(control.orders.stream().map(order -> versionOf(order.order())))
                .containsExactlyInAnyOrder(OLD, NEW);
    }

    /** Guards against a version that stays without such an engine if the one that was ordered to generate ends too. */
    @Example
    void anotherEngineIsOrderedIfTheOrderedOneEnds() {
        startTwoVersions();
        delete("d1-" + OLD);
        advance(MAX_REACTION_MILLIS);
        delete(control.orders.getFirst().order().getUpstream());
        advance(MAX_REACTION_MILLIS);
        assertThat(control.orders).hasSize(2);
        assertThat(versionOf(control.orders.getLast().order())).isEqualTo(OLD);
    }

    /** Guards against streams that stay refused after all control processes have restarted and lost their memory. */
    @Example
    void aVersionThatWasNeverSeenToGenerateGetsAnEngineThatDoesOnceStartUpIsOver() {
        add("p1-" + OLD, OLD, Role.ROLE_PREFILL);
        add("p2-" + OLD, OLD, Role.ROLE_PREFILL);
        add("d1-" + NEW, NEW, Role.ROLE_DECODE);
        advance(20_000);
        assertOneOrderToGenerateAt(OLD);
    }

    // ---- no order

    /** Guards against engines that change their roles while a release or a start brings up one after the other. */
    @Example
    void aVersionWhoseEnginesStartOneByOneGetsNoOrder() {
        add("d1-" + OLD, OLD, Role.ROLE_DECODE);
        add("p1-" + OLD, OLD, Role.ROLE_PREFILL);
        advance(20_000);
        add("p1-" + NEW, NEW, Role.ROLE_PREFILL);
        advance(4_000);
        add("p2-" + NEW, NEW, Role.ROLE_PREFILL);
        advance(3_000);
        add("d1-" + NEW, NEW, Role.ROLE_DECODE);
        advance(20_000);
        assertThat(control.orders).isEmpty();
    }

    @Example
    void aVersionGetsNoSecondOrderWhileOneIsUnderWay() {
        startTwoVersions();
        delete("d1-" + OLD);
        advance(25_000);
        assertOneOrderToGenerateAt(OLD);
    }

    /** Guards against two orders at one time to one engine, for its version and for the load. */
    @Example
    void anEngineThatTheLoadWantsTooGetsOneOrder() {
        startTwoVersions();
        offeredDecodeEngines = 2.9;
        advance(5_000);
        assertThat(control.orders).isEmpty();
        long before = lastLogIndex();
        delete("d1-" + OLD);
        advance(MAX_REACTION_MILLIS);
        assertOneOrderToGenerateAt(OLD);
        assertThat(lastLogIndex()).isEqualTo(before + 1);
    }

    private long lastLogIndex() {
        control.sendTo(
                control.leader().orElseThrow(),
                ADMINISTRATOR,
                Envelope.newBuilder().setAdminRequest(AdminRequest.newBuilder().setStatus(StatusQuery.newBuilder())));
        control.advance(20);
        return control.takeSent(ADMINISTRATOR).stream()
                .filter(Envelope::hasAdminAnswer)
                .map(message ->
                        message.getAdminAnswer().getStatus().getGroups(0).getLastIndex())
                .findFirst()
                .orElseThrow();
    }

    @Example
    void aNewLeaderDoesNotRepeatTheOrder() {
        startTwoVersions();
        delete("d1-" + OLD);
        advance(MAX_REACTION_MILLIS);
        assertOneOrderToGenerateAt(OLD);
        control.kill(control.leader().orElseThrow());
        advance(25_000);
        assertThat(control.leader()).isPresent();
        assertOneOrderToGenerateAt(OLD);
    }

    /** Guards against a loss that is forgotten, as it came while there was no leader. */
    @Example
    void aNewLeaderOrdersForALossBeforeItsElection() {
        startTwoVersions();
        control.kill(control.leader().orElseThrow());
        advance(STEP_MILLIS);
        delete("d1-" + OLD);
        advance(10_000);
        assertOneOrderToGenerateAt(OLD);
    }

    @Example
    void anEngineThatWasOrderedLatelyIsNotOrderedAgainForItsVersion() {
        startTwoVersions();
        engines.remove("p2-" + OLD);
        leave("d1-" + OLD);
        engines.get("p1-" + OLD).appliesOrders = false;
        advance(COOLDOWN_MILLIS - 500);
        assertOneOrderToGenerateAt(OLD);
        advance(2_000);
        assertThat(control.orders).hasSize(2);
    }

    @Example
    void aVersionWithoutAPrefillingEngineGetsNoOrder() {
        startTwoVersions();
        delete("p1-" + OLD);
        delete("p2-" + OLD);
        delete("d1-" + OLD);
        advance(10_000);
        assertThat(control.orders).isEmpty();
    }

    @Example
    void aVersionThatIsLeavingGetsNoOrder() {
        startTwoVersions();
        leave("p1-" + OLD);
        leave("p2-" + OLD);
        leave("d1-" + OLD);
        advance(10_000);
        assertThat(control.orders).isEmpty();
    }

    // ---- changes for the sake of the load

    /** Guards against a version that loses engines which generate while another one has more of them. */
    @Example
    void aChangeToPrefillTakesAnEngineOfTheVersionWithMostThatGenerate() {
        add("d1-" + OLD, OLD, Role.ROLE_DECODE);
        add("d2-" + OLD, OLD, Role.ROLE_DECODE);
        add("p1-" + OLD, OLD, Role.ROLE_PREFILL);
        add("d1-" + NEW, NEW, Role.ROLE_DECODE);
        add("d2-" + NEW, NEW, Role.ROLE_DECODE);
        add("d3-" + NEW, NEW, Role.ROLE_DECODE);
        add("p1-" + NEW, NEW, Role.ROLE_PREFILL);
        offeredPrefillEngines = 2.9;
        advance(40_000);
        assertThat(control.orders).isNotEmpty();
        assertThat(control.orders.getFirst().order().getRole()).isEqualTo(Role.ROLE_PREFILL);
        assertThat(versionOf(control.orders.getFirst().order())).isEqualTo(NEW);
    }

    /** Guards against engines that only prefill at a version where nobody can take over what they prefilled. */
    @Example
    void noChangeToPrefillTakesTheLastEngineOfAVersionThatGenerates() {
        addTwoVersions();
        offeredPrefillEngines = 8;
        advance(60_000);
        assertThat(control.orders).isEmpty();
    }

    /** Guards against an engine that its version and the load move in turns, each time out of service for seconds. */
    @Example
    void anEngineThatGeneratesForItsVersionIsNotMovedBackByTheLoad() {
        addTwoVersions();
        offeredPrefillEngines = 8;
        advance(30_000);
        delete("d1-" + OLD);
        advance(90_000);
        assertOneOrderToGenerateAt(OLD);
    }

    @Example
    void aChangeToDecodeTakesAnEngineOfTheVersionWithFewestThatGenerate() {
        add("p1-" + OLD, OLD, Role.ROLE_PREFILL);
        add("p2-" + OLD, OLD, Role.ROLE_PREFILL);
        add("d1-" + OLD, OLD, Role.ROLE_DECODE);
        add("d2-" + OLD, OLD, Role.ROLE_DECODE);
        add("p1-" + NEW, NEW, Role.ROLE_PREFILL);
        add("p2-" + NEW, NEW, Role.ROLE_PREFILL);
        add("d1-" + NEW, NEW, Role.ROLE_DECODE);
        offeredDecodeEngines = 3.3;
        advanceUntilOrdered();
        assertThat(control.orders.getFirst().order().getRole()).isEqualTo(Role.ROLE_DECODE);
        assertThat(versionOf(control.orders.getFirst().order())).isEqualTo(NEW);
    }

    /** Guards against a second order while an engine that the load moves will generate for the version anyway. */
    @Example
    void aVersionGetsNoOrderWhileAnEngineOfItChangesForTheSakeOfTheLoad() {
        addTwoVersions();
        offeredDecodeEngines = 2.9;
        advanceUntilOrdered();
        DirectOrder order = control.orders.getFirst().order();
        assertThat(order.getRole()).isEqualTo(Role.ROLE_DECODE);
        String generating = "d1-" + versionOf(order);
        engines.get(generating).silent = true;
        reportCrash(generating);
        advance(CHANGE_MILLIS);
        assertThat(control.orders).hasSize(1);
    }

    // ---- helpers

    private void assertOneOrderToGenerateAt(String version) {
        assertThat(control.orders).hasSize(1);
        DirectOrder order = control.orders.getFirst().order();
        assertThat(order.getRole()).isEqualTo(Role.ROLE_DECODE);
        assertThat(versionOf(order)).isEqualTo(version);
    }

    private static String versionOf(DirectOrder order) {
        return order.getUpstream().substring(order.getUpstream().indexOf('-') + 1);
    }

    private void delete(String name) {
        Engine engine = engines.remove(name);
        control.sendToAny(Address.ADMINISTRATORS, heartbeat(name, engine, builder -> builder.setDeleted(true)));
    }

    private void leave(String name) {
        Engine engine = engines.remove(name);
        control.sendToAny(Address.ADMINISTRATORS, heartbeat(name, engine, builder -> builder.setLeaving(true)));
    }

    private void reportCrash(String name) {
        CrashedRun run = CrashedRun.newBuilder()
                .setHigh(1)
                .setLow(2)
                .setInvolvement(Involvement.UNDER_WAY)
                .build();
        Subscribe.Builder subscribe = subscribe()
                .setPoisonVersion(elapsedMillis)
                .addCrashes(UpstreamCrash.newBuilder().setUpstream(name).addRuns(run));
        control.sendToAll(ENTRY, Envelope.newBuilder().setSubscribe(subscribe));
    }

    private void advanceUntilOrdered() {
        for (int second = 0; second < 60 && control.orders.isEmpty(); second++) {
            advance(1_000);
        }
        assertThat(control.orders).hasSize(1);
    }

    private void advance(long millis) {
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            prefillMicros += (long) (offeredPrefillEngines * 1_000 * STEP_MILLIS);
            // Of an engine's 64 slots, 85 in 100 are usable.
            decodeMicros += (long) (offeredDecodeEngines * 54.4 * 1_000 * STEP_MILLIS);
            if (elapsedMillis % 500 == 0) {
                control.sendToAll(ENTRY, Envelope.newBuilder().setSubscribe(subscribe()));
            }
            if (elapsedMillis % HEARTBEAT_MILLIS == 0) {
                engines.forEach(this::sendHeartbeat);
            }
            applyOrders();
            elapsedMillis += STEP_MILLIS;
            control.advance(STEP_MILLIS);
        }
    }

    private void applyOrders() {
        for (; appliedOrders < control.orders.size(); appliedOrders++) {
            Engine engine =
                    engines.get(control.orders.get(appliedOrders).order().getUpstream());
            if (engine != null && engine.appliesOrders) {
                engine.changedAt = control.now + Durations.nanos(CHANGE_MILLIS);
            }
        }
        engines.forEach((name, engine) -> {
            if (control.now >= engine.changedAt) {
                engine.changedAt = Long.MAX_VALUE;
                engine.role = control.orders.stream()
                        .filter(order -> order.order().getUpstream().equals(name))
                        .max(Comparator.comparingLong(ControlClusterFixture.SentOrder::sentAt))
                        .orElseThrow()
                        .order()
                        .getRole();
                sendHeartbeat(name, engine);
            }
        });
    }

    private void sendHeartbeat(String name, Engine engine) {
        if (!engine.silent) {
            control.sendToAny(Address.ADMINISTRATORS, heartbeat(name, engine, builder -> builder));
        }
    }

    private Subscribe.Builder subscribe() {
        return Subscribe.newBuilder()
                .setWantsDirectory(true)
                .addOffered(OfferedWork.newBuilder()
                        .setModel("s")
                        .setPrefill(prefillMicros)
                        .setDecode(decodeMicros));
    }

    private Envelope.Builder heartbeat(String name, Engine engine, UnaryOperator<UpstreamBeat.Builder> change) {
        return Envelope.newBuilder()
                .setUpstreamBeat(change.apply(UpstreamBeat.newBuilder()
                        .setId(name)
                        .setName(name)
                        .setService("s")
                        .setAddress("10.9.0.1:80")
                        .setSlots(64)
                        .setRole(engine.role)
                        .setVersion(engine.version)
                        .setSequence(elapsedMillis)));
    }
}
