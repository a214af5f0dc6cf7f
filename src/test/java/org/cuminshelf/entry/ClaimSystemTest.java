package org.cuminshelf.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.AttemptRef;
import org.cuminshelf.message.AttemptState;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.ClaimAnswer;
import org.cuminshelf.message.ClaimRequest;
import org.cuminshelf.message.ClaimResult;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Refused;
import org.cuminshelf.message.Revoke;
import org.cuminshelf.message.RevokeAnswer;

/** Tests the claims of idempotency keys by an entry. */
class ClaimSystemTest {

    private final EntryFixture entry = new EntryFixture();

    @Example
    void nothingIsDispatchedBeforeTheClaimIsGranted() {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.exchange("k");
        List<Envelope> sent = entry.out.take(message -> message.hasClaimRequest() || message.hasDispatch());
        assertThat(sent).hasSize(1);
        answer(sent.getFirst().getClaimRequest(), ClaimResult.CLAIM_GRANTED);
        assertThat(entry.dispatches()).hasSize(1);
    }

    /*
     * Guards against running a request twice. A claim request is sent twice because its answer is slow; the attempt is
     * refused, and the claim is being moved to a second attempt when the late answer to the first request arrives. If
     * questions were identified by their call, the late grant would count as the grant of the move, and the second
     * attempt would be dispatched while the claim still names the first.
     */
    @Example
    void aLateGrantForTheFirstAttemptDoesNotDispatchTheSecond() {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.exchange("k");
        ClaimRequest take = claims().getFirst();
        answer(take, ClaimResult.CLAIM_GRANTED);
        Refused refused = Refused.newBuilder()
                .setSession(100)
                .setNumber(entry.dispatches().getFirst().getNumber())
                .setCause(Cause.ROLE_CHANGING)
                .build();
        entry.deliver(
                EntryFixture.SERVICE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder().setRefused(refused));
        ClaimRequest move = claims().getFirst();
        assertThat(move.hasMove()).isTrue();
        answer(take, ClaimResult.CLAIM_GRANTED);
        assertThat(entry.dispatches()).isEmpty();
        answer(move, ClaimResult.CLAIM_GRANTED);
        assertThat(entry.dispatches()).hasSize(1);
    }

    /*
     * Guards against running a request twice. A caller resends a request through another entry while the first runs;
     * the second entry must query the sidecar of the first attempt instead of running the request again.
     */
    @Example
    void aKeyHeldByARunningAttemptIsReportedInProgress() {
        claimHeldByOtherAttempt(AttemptState.ATTEMPT_RUNNING);
        AnswerEnd end = ends().getFirst();
        assertThat(end.getCause()).isEqualTo(Cause.KEY_IN_PROGRESS);
        assertThat(end.getRan()).isEqualTo(Ran.MAY_HAVE_RUN);
        assertThat(end.getRetryAfterMs()).isPositive();
    }

    @Example
    void aKeyWhoseAttemptDidNotRunMovesToANewAttempt() {
        claimHeldByOtherAttempt(AttemptState.ATTEMPT_NOT_RUN);
        ClaimRequest move = claims().getFirst();
        assertThat(move.getMove().getFrom().getNumber()).isEqualTo(77);
    }

    @Example
    void aKeyWhoseSidecarLostItsJournalIsNeverRunAgain() {
        claimHeldByOtherAttempt(AttemptState.ATTEMPT_UNKNOWN);
        List<Envelope> sent = entry.out.take(message -> message.hasAnswerEnd() || message.hasDispatch());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getAnswerEnd().getRan()).isEqualTo(Ran.MAY_HAVE_RUN);
        assertThat(sent.getFirst().getAnswerEnd().getCause()).isEqualTo(Cause.KEY_UNRESOLVED);
    }

    @Example
    void aClaimThatIsNeverAnsweredEndsAsNotRun() {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.exchange("k");
        entry.out.take(message -> true);
        entry.advanceMillis(6_000);
        AnswerEnd end = ends().getFirst();
        assertThat(end.getRan()).isEqualTo(Ran.NOT_RUN);
    }

    private void claimHeldByOtherAttempt(AttemptState state) {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.exchange("k");
        ClaimRequest take = claims().getFirst();
        AttemptRef holder = AttemptRef.newBuilder()
                .setSidecar(EntryFixture.SERVICE.value())
                .setSession(999)
                .setNumber(77)
                .build();
        ClaimAnswer held = ClaimAnswer.newBuilder()
                .setQuestion(take.getQuestion())
                .setResult(ClaimResult.CLAIM_HELD)
                .setHolder(holder)
                .setAgeMs(60_000)
                .build();
        entry.deliver(EntryFixture.CONTROL, 1, Envelope.newBuilder().setClaimAnswer(held));
        Revoke revoke = entry.out.take(Envelope::hasRevoke).getFirst().getRevoke();
        RevokeAnswer answer = RevokeAnswer.newBuilder()
                .setSession(999)
                .setNumber(77)
                .setQuestion(revoke.getQuestion())
                .setState(state)
                .build();
        entry.deliver(
                EntryFixture.SERVICE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder().setRevokeAnswer(answer));
    }

    private List<ClaimRequest> claims() {
        return entry.out.take(Envelope::hasClaimRequest).stream()
                .map(Envelope::getClaimRequest)
                .toList();
    }

    private List<AnswerEnd> ends() {
        return entry.out.take(Envelope::hasAnswerEnd).stream()
                .map(Envelope::getAnswerEnd)
                .toList();
    }

    private void answer(ClaimRequest request, ClaimResult result) {
        ClaimAnswer answer = ClaimAnswer.newBuilder()
                .setQuestion(request.getQuestion())
                .setResult(result)
                .build();
        entry.deliver(EntryFixture.CONTROL, 1, Envelope.newBuilder().setClaimAnswer(answer));
    }
}
