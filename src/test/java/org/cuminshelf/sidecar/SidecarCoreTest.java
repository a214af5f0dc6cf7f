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

/** The journal of a sidecar and its guard against old orders. */
class SidecarCoreTest {

    private static final Address ENTRY = Address.of("10.0.1.1:7000");
    private static final Address CONTROL = Address.of("10.0.0.1:7000");
    private static final long INCARNATION = 5;
    /** A reading that answers the newest question. */
    private static final long NEWEST = Long.MAX_VALUE - 1;

    private final RecordingOutbox out = new RecordingOutbox();
    private final SidecarCore core = sidecar(UpstreamKind.UPSTREAM_ENGINE);
    private long now;
    private long session;

    /*
     * A board is reserved though its caller was told "not run". The dispatch is slow, the entry revokes it, the sidecar
     * swears that it did not run, and then the dispatch arrives. Cause: bytes on their way when the question was asked.
     */
    @Example
    void aDispatchThatArrivesAfterItsRevokeIsRefused() {
        open();
        give(ENTRY, revoke(3));
        assertThat(out.take(Envelope::hasRevokeAnswer)
                        .getFirst()
                        .getRevokeAnswer()
                        .getState())
                .isEqualTo(AttemptState.ATTEMPT_NOT_RUN);
        give(ENTRY, dispatch(3));
        List<Envelope> sent = out.take(message -> message.hasStartUpstream() || message.hasRefused());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.REVOKED);
    }

    @Example
    void theSameHoldsAfterTheJournalForgotTheRevoke() {
        open();
        for (long number = 1; number <= 3L * EntrySession.REMEMBERED_ATTEMPTS; number++) {
            give(ENTRY, revoke(number));
        }
        out.take(message -> true);
        give(ENTRY, dispatch(1));
        assertThat(out.take(Envelope::hasStartUpstream)).isEmpty();
    }

    @Example
    void anAttemptOfAnEarlierIncarnationIsUnknownNotSworn() {
        open();
        give(
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
    void aDispatchThatComesTwiceStartsOnce() {
        open();
        give(ENTRY, dispatch(1));
        give(ENTRY, dispatch(1));
        assertThat(out.take(Envelope::hasStartUpstream)).hasSize(1);
    }

    @Example
    void aLeavingSidecarTakesNoNewWorkAndStopsWhenItsWorkIsDone() {
        open();
        give(ENTRY, dispatch(1));
        give(Address.PROCESS, Envelope.newBuilder().setStop(Stop.getDefaultInstance()));
        give(ENTRY, dispatch(2));
        List<Envelope> sent = out.take(message -> message.hasRefused() || message.hasStopped());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.LEAVING);
        give(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setUpstreamEnd(UpstreamEnd.newBuilder().setAttempt(1).setRan(Ran.RAN)));
        assertThat(out.take(Envelope::hasStopped)).hasSize(1);
    }

    /*
     * An engine obeys a control process that lost its authority hours ago. Its order arrives after that of its
     * successor. Cause: a leader that was cut off; engines that ignore the number are guarded here alone.
     */
    @Example
    void anOrderWithALowerNumberIsRefused() {
        rest();
        give(CONTROL, order(20, INCARNATION));
        out.take(message -> true);
        give(CONTROL, order(19, INCARNATION));
        assertThat(report().getCause()).isEqualTo(Cause.STALE_ORDER);
    }

    /*
     * Two orders meet on one engine. A second order arrives while the first is on its way to the engine. Cause: a
     * control process that sends before the first is closed; the sidecar holds even then.
     */
    @Example
    void aSecondOrderIsNotTakenWhileTheFirstIsOnItsWayToTheEngine() {
        rest();
        give(CONTROL, order(20, INCARNATION));
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
        give(CONTROL, order(21, INCARNATION));
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
    }

    @Example
    void anOrderMeantForAnEarlierIncarnationIsRefused() {
        rest();
        give(CONTROL, order(20, INCARNATION - 1));
        assertThat(report().getCause()).isEqualTo(Cause.WRONG_INCARNATION);
    }

    /*
     * Two orders meet on one engine. A sidecar dies right after it wrote an order; its successor carries out the next
     * one while the first is still on its way. Cause: a write that outlives its process.
     */
    @Example
    void noOrderIsCarriedOutBeforeWritesOfAPredecessorMustHaveLanded() {
        state(false, Role.ROLE_MIXED);
        give(CONTROL, order(20, INCARNATION));
        pass(1_000);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        pass(2_000);
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    /*
     * Two orders meet on one engine. A sidecar restarts and finds the engine at rest; then the write of its predecessor
     * lands, and the next order is carried out beside it. Cause: a reading from before the end of the wait.
     */
    @Example
    void aReadingFromWithinTheWaitDoesNotCount() {
        state(false, Role.ROLE_MIXED);
        give(CONTROL, order(20, INCARNATION));
        pass(2_600);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(true, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    /*
     * The same, after the sidecar stood still: a reading of long ago lies in its buffer and is taken when the wait is
     * over. Cause: readings that did not say which question they answer.
     */
    @Example
    void aReadingThatAnswersAQuestionFromWithinTheWaitDoesNotCountLater() {
        give(CONTROL, order(20, INCARNATION));
        pass(5_000);
        state(false, Role.ROLE_MIXED, 1);
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    /*
     * A draft is cut by a planned change. A sidecar dies right after it wrote a role change; its successor starts a
     * stream on the engine, and then the change lands. Cause: a write that outlives its process.
     */
    @Example
    void noStreamStartsBeforeAnOrderOfAPredecessorMustHaveLanded() {
        give(ENTRY, Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()));
        session = out.take(Envelope::hasSessionOpened)
                .getFirst()
                .getSessionOpened()
                .getSession();
        state(false, Role.ROLE_MIXED);
        give(ENTRY, dispatch(1));
        List<Envelope> sent = out.take(message -> message.hasStartUpstream() || message.hasRefused());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.ROLE_CHANGING);
    }

    @Example
    void anOrderWaitsUntilTheEngineIsAtRest() {
        state(true, Role.ROLE_MIXED);
        pass(5_000);
        give(CONTROL, order(20, INCARNATION));
        assertThat(out.take(Envelope::hasApplyOrder)).isEmpty();
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    @Example
    void aRoleChangeWaitsForTheAttemptsThere() {
        rest();
        open();
        give(ENTRY, dispatch(1));
        give(CONTROL, order(20, INCARNATION));
        give(ENTRY, dispatch(2));
        List<Envelope> sent = out.take(message -> message.hasApplyOrder() || message.hasRefused());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRefused().getCause()).isEqualTo(Cause.ROLE_CHANGING);
        give(
                Address.UPSTREAM,
                Envelope.newBuilder()
                        .setUpstreamEnd(UpstreamEnd.newBuilder().setAttempt(1).setRan(Ran.RAN)));
        state(false, Role.ROLE_MIXED);
        assertThat(out.take(Envelope::hasApplyOrder)).hasSize(1);
    }

    @Example
    void theOutcomeOfAnOrderIsReadBackFromTheEngine() {
        rest();
        give(CONTROL, order(20, INCARNATION));
        give(
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
     * A sidecar uses a whole core while an order waits for a long answer to end. Cause: a time that had passed was
     * given as the time of the next tick, again and again.
     */
    @Example
    void aWaitingOrderDoesNotMakeTheSidecarSpin() {
        rest();
        open();
        give(ENTRY, dispatch(1));
        give(CONTROL, order(20, INCARNATION));
        pass(1);
        assertThat(core.nextDue()).isGreaterThan(now);
    }

    private SidecarCore sidecar(UpstreamKind kind) {
        SidecarSettings settings = new SidecarSettings("", kind, "r", "z", "vm", 8, false, List.of(CONTROL));
        return SidecarCore.start(
                settings, INCARNATION, 0, RandomSource.XO_RO_SHI_RO_128_PP.create(1), Invariants.throwing());
    }

    private void give(Address from, Envelope.Builder message) {
        core.accept(now, message.setFrom(from.value()).setIncarnation(1).build(), out);
        core.tick(now, out);
    }

    private void pass(long millis) {
        now += Durations.nanos(millis);
        core.tick(now, out);
    }

    private void open() {
        if (now == 0) {
            rest();
        }
        give(ENTRY, Envelope.newBuilder().setOpenSession(OpenSession.getDefaultInstance()));
        session = out.take(Envelope::hasSessionOpened)
                .getFirst()
                .getSessionOpened()
                .getSession();
    }

    private void rest() {
        pass(5_000);
        state(false, Role.ROLE_MIXED);
        out.take(message -> true);
    }

    private void state(boolean changing, Role role) {
        state(changing, role, NEWEST);
    }

    private void state(boolean changing, Role role, long token) {
        UpstreamState state = UpstreamState.newBuilder()
                .setReachable(true)
                .setToken(token)
                .setChanging(changing)
                .setLoad(LoadReport.newBuilder().setRole(role))
                .build();
        give(Address.UPSTREAM, Envelope.newBuilder().setUpstreamState(state));
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
