package org.cuminshelf.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.AttemptState;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Generation;
import org.cuminshelf.message.LoadReport;
import org.cuminshelf.message.OpenSession;
import org.cuminshelf.message.Order;
import org.cuminshelf.message.OrderBody;
import org.cuminshelf.message.OrderReport;
import org.cuminshelf.message.OrderSent;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Revoke;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Stop;
import org.cuminshelf.message.UpstreamEnd;
import org.cuminshelf.message.UpstreamKind;
import org.cuminshelf.message.UpstreamState;

/** Attempts and orders of a sidecar: late dispatches, outdated orders and orders of an earlier sidecar process. */
class SidecarCoreTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final Address CONTROL = Address.of("10.0.0.1:7000");
    private static final long INCARNATION = 5;
    /** The token of a state that answers the newest read. */
    private static final long NEWEST_TOKEN = Long.MAX_VALUE - 1;

    private final RecordingOutbox out = new RecordingOutbox();
    private final SidecarCore core = sidecar(UpstreamKind.UPSTREAM_ENGINE);
    private long now;
    private long session;

    /*
     * Guards against an attempt that runs after its caller got "not run": the dispatch is delayed, the entry revokes
     * it, the sidecar answers that it did not run, and then the dispatch arrives.
     */
    @Example
    void aDispatchThatArrivesAfterItsRevokeIsRefused() {
        openSession();
        deliver(ENTRY, revoke(3));
        assertThat(out.take(Envelope::hasRevokeAnswer)
                        .getFirst()
                        .getRevokeAnswer()
                        .getState())
                .isEqualTo(AttemptState.ATTEMPT_NOT_RUN);
        deliver(ENTRY, dispatch(3));
        List<Envelope> sent = out.take(message -> message.hasStartUpstream() || message.hasRefused());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.REVOKED);
    }

    @Example
    void aRevokedDispatchIsRefusedAfterItsRecordWasRemoved() {
        openSession();
        for (long number = 1; number <= 3L * EntrySession.MAX_REMEMBERED_ATTEMPTS; number++) {
            deliver(ENTRY, revoke(number));
        }
        out.take(message -> true);
        deliver(ENTRY, dispatch(1));
        assertThat(out.take(Envelope::hasStartUpstream)).isEmpty();
    }

    @Example
    void anAttemptOfAnEarlierIncarnationIsUnknown() {
        openSession();
        deliver(
                ENTRY,
                Envelope.newBuilder()
                        .setRevoke(Revoke.newBuilder().setSession(session + 1).setNumber(1)));
        assertThat(out.take(Envelope::hasRevokeAnswer)
                        .getFirst()
                        .getRevokeAnswer()
                        .getState())
                .isEqualTo(AttemptState.ATTEMPT_UNKNOWN);
    }

    @Example
    void aDuplicateDispatchStartsOneAttempt() {
        openSession();
        deliver(ENTRY, dispatch(1));
        deliver(ENTRY, dispatch(1));
        assertThat(out.take(Envelope::hasStartUpstream)).hasSize(1);
    }

    @Example
    void aSidecarThatShutsDownRefusesNewWorkAndStopsAfterItsLastAttempt() {
        openSession();
        deliver(ENTRY, dispatch(1));
        deliver(Address.PROCESS, Envelope.newBuilder().setStop(Stop.getDefaultInstance()));
        deliver(ENTRY, dispatch(2));
        List<Envelope> sent = out.take(message -> message.hasRefused() || message.hasStopped());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.LEAVING);
        deliver(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setUpstreamEnd(UpstreamEnd.newBuilder().setAttempt(1).setRan(Ran.RAN)));
        assertThat(out.take(Envelope::hasStopped)).hasSize(1);
    }

    /*
     * Guards against an engine that carries out the order of a deposed leader that was partitioned and whose order
     * arrives after that of the new leader. Engines that ignore the fencing number are protected only by the sidecar.
     */
    @Example
    void anOrderWithALowerFencingNumberIsRefused() {
        makeIdle();
        deliver(CONTROL, order(20, INCARNATION));
        out.take(message -> true);
        deliver(CONTROL, order(19, INCARNATION));
        assertThat(report().getCause()).isEqualTo(Cause.STALE_ORDER);
    }

    /*
     * Guards against two concurrent orders on one engine, if a control process sends a second order before the first
     * one is closed.
     */
    @Example
    void aSecondOrderIsIgnoredWhileTheFirstIsBeingApplied() {
        makeIdle();
        deliver(CONTROL, order(20, INCARNATION));
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
        deliver(CONTROL, order(21, INCARNATION));
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
    }

    @Example
    void anOrderForAnEarlierIncarnationIsRefused() {
        makeIdle();
        deliver(CONTROL, order(20, INCARNATION - 1));
        assertThat(report().getCause()).isEqualTo(Cause.WRONG_INCARNATION);
    }

    /*
     * Guards against two concurrent orders on one engine: a sidecar dies right after it wrote an order, and its
     * successor carries out the next one while that write is still in transit.
     */
    @Example
    void noOrderIsCarriedOutWhileAWriteOfAnEarlierProcessMayArrive() {
        state(false, Role.ROLE_MIXED);
        deliver(CONTROL, order(20, INCARNATION));
        advance(1_000);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        advance(2_000);
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    /*
     * Guards against two concurrent orders on one engine: a restarted sidecar reads the engine as idle before the quiet
     * time has ended, the write of its predecessor arrives, and the next order is carried out as well.
     */
    @Example
    void aStateReadDuringTheQuietTimeIsNotValid() {
        state(false, Role.ROLE_MIXED);
        deliver(CONTROL, order(20, INCARNATION));
        advance(2_600);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(true, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    /*
     * The same failure after a pause of the sidecar: an old state stays in a buffer and is processed after the quiet
     * time. States therefore carry the token of the read that they answer.
     */
    @Example
    void aLateAnswerToAReadDuringTheQuietTimeIsNotValid() {
        deliver(CONTROL, order(20, INCARNATION));
        advance(5_000);
        state(false, Role.ROLE_MIXED, 1);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    /*
     * Guards against a stream that is cut by a planned role change: a sidecar dies right after it wrote the change, its
     * successor starts a stream on the engine, and then the change arrives.
     */
    @Example
    void noStreamStartsWhileAnOrderOfAnEarlierProcessMayArrive() {
        deliver(ENTRY, Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()));
        session = out.take(Envelope::hasSessionOpened)
                .getFirst()
                .getSessionOpened()
                .getSession();
        state(false, Role.ROLE_MIXED);
        deliver(ENTRY, dispatch(1));
        List<Envelope> sent = out.take(message -> message.hasStartUpstream() || message.hasRefused());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.ROLE_CHANGING);
    }

    @Example
    void anOrderWaitsUntilTheEngineIsIdle() {
        state(true, Role.ROLE_MIXED);
        advance(5_000);
        deliver(CONTROL, order(20, INCARNATION));
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    @Example
    void aRoleChangeWaitsForTheRunningAttempts() {
        makeIdle();
        openSession();
        deliver(ENTRY, dispatch(1));
        deliver(CONTROL, order(20, INCARNATION));
        deliver(ENTRY, dispatch(2));
        List<Envelope> sent = out.take(message -> message.hasApplyOrder() || message.hasRefused());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.ROLE_CHANGING);
        deliver(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setUpstreamEnd(UpstreamEnd.newBuilder().setAttempt(1).setRan(Ran.RAN)));
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    @Example
    void theOutcomeOfAnOrderIsReadBackFromTheEngine() {
        makeIdle();
        deliver(CONTROL, order(20, INCARNATION));
        deliver(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setOrderApplied(org.cuminshelf.message.OrderApplied.newBuilder()
                                .setNumber(20)
                                .setAccepted(true)));
        out.take(message -> true);
        state(false, Role.ROLE_MIXED);
        OrderReport crashed = report();
        assertThat(crashed.getApplied()).isFalse();
        assertThat(crashed.getCause()).isEqualTo(Cause.UPSTREAM_ERROR);
    }

    /*
     * Guards against a sidecar that uses a whole CPU core while an order waits for a long answer to end, because the
     * next tick is due at a time in the past.
     */
    @Example
    void aWaitingOrderDoesNotMakeTheSidecarSpin() {
        makeIdle();
        openSession();
        deliver(ENTRY, dispatch(1));
        deliver(CONTROL, order(20, INCARNATION));
        advance(1);
        assertThat(core.nextDue()).isGreaterThan(now);
    }

    private SidecarCore sidecar(UpstreamKind kind) {
        SidecarSettings settings = new SidecarSettings("", kind, "r", "z", "vm", 8, false, List.of(CONTROL));
        return SidecarCore.start(
                settings, INCARNATION, 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1), Invariants.throwing());
    }

    private void deliver(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(1).build(), out);
        core.tick(now, out);
    }

    private void advance(long millis) {
        now += Durations.nanos(millis);
        core.tick(now, out);
    }

    private void openSession() {
        if (now == 0) {
            makeIdle();
        }
        deliver(ENTRY, Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()));
        session = out.take(Envelope::hasSessionOpened)
                .getFirst()
                .getSessionOpened()
                .getSession();
    }

    private void makeIdle() {
        advance(5_000);
        state(false, Role.ROLE_MIXED);
        out.take(message -> true);
    }

    private void state(boolean changing, Role role) {
        state(changing, role, NEWEST_TOKEN);
    }

    private void state(boolean changing, Role role, long token) {
        UpstreamState state = UpstreamState.newBuilder()
                .setReachable(true)
                .setToken(token)
                .setChanging(changing)
                .setLoad(LoadReport.newBuilder().setRole(role))
                .build();
        deliver(Address.UPSTREAM, Envelope.newBuilder().setUpstreamState(state));
    }

    private OrderReport report() {
        return out.take(Envelope::hasOrderReport).getFirst().getOrderReport();
    }

    private Envelope.Builder revoke(long number) {
        return Envelope.newBuilder()
                .setRevoke(Revoke.newBuilder().setSession(session).setNumber(number));
    }

    private Envelope.Builder dispatch(long number) {
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setSession(session)
                .setNumber(number)
                .setGeneration(Generation.newBuilder().setModel("m"));
        return Envelope.newBuilder().setDispatch(dispatch);
    }

    private static Envelope.Builder order(long number, long incarnation) {
        Order order = Order.newBuilder()
                .setEngine("10.0.2.1:7000")
                .setIncarnation(incarnation)
                .setNumber(number)
                .setBody(OrderBody.newBuilder().setChangeRole(Role.ROLE_PREFILL))
                .build();
        return Envelope.newBuilder()
                .setOrderSent(OrderSent.newBuilder().setOrder(order).setStartWithinMs(30_000));
    }
}
