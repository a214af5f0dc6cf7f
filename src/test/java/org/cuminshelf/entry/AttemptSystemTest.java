package org.cuminshelf.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.AnswerPart;
import org.cuminshelf.message.AttemptState;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Chunk;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Refused;
import org.cuminshelf.message.RevokeAnswer;

/** Tests attempts that are refused, lost, revoked or resumed. */
class AttemptSystemTest {

    private final EntryFixture entry = new EntryFixture();

    /*
     * Guards against delivering tokens of another call. After a sidecar restart, a late message of the earlier
     * incarnation makes the entry return to the old session and then to the new one. If attempt numbers restarted with
     * each session, chunks of an earlier attempt would match the new call.
     */
    @Example
    void aLateMessageOfAnEarlierSidecarIncarnationDoesNotReuseAttemptNumbers() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.openSession(EntryFixture.ENGINE, 12, 200);
        entry.generate(4);
        Dispatch first = entry.dispatches().getFirst();
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.openSession(EntryFixture.ENGINE, 12, 200);
        entry.generate(4);
        List<Dispatch> later = entry.dispatches();
        assertThat(later).allMatch(dispatch -> dispatch.getSession() == 200);
        assertThat(later).noneMatch(dispatch -> dispatch.getNumber() == first.getNumber());
    }

    /*
     * Guards against delivering tokens of another call. An entry restarts, and a session request of its earlier
     * incarnation reaches a sidecar late; the response goes to the new process at the same address. If sessions did not
     * name the entry's incarnation, the new process would reuse attempt numbers of the earlier one.
     */
    @Example
    void aSessionOpenedForAnEarlierIncarnationOfThisEntryIsNotUsed() {
        entry.openSessionFor(99, EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.generate(4);
        assertThat(entry.dispatches()).isEmpty();
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 200);
        assertThat(entry.dispatches()).hasSize(1).allMatch(dispatch -> dispatch.getSession() == 200);
    }

    /*
     * Guards against refusing the first call after an idle minute as overloaded. Heartbeats to an idle upstream are
     * sent every five seconds, longer than the silence timeout of two and a half seconds.
     */
    @Example
    void anUpstreamWithoutAnOutstandingRequestIsNotSilent() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.pauseMillis(4_000);
        entry.generate(4);
        assertThat(entry.dispatches()).hasSize(1);
    }

    /*
     * Guards against running a request twice. An exchange is dispatched and gets no response; it must not be sent
     * again before the sidecar has confirmed that it did not run. Silence does not mean "not run".
     */
    @Example
    void aSilentExchangeIsSentAgainOnlyAfterItsSidecarConfirmedThatItDidNotRun() {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.call(entry.exchange());
        Dispatch first = entry.dispatches().getFirst();
        entry.advanceMillis(1_000);
        assertThat(entry.out.take(Envelope::hasDispatch)).isEmpty();
        RevokeAnswer notRun = RevokeAnswer.newBuilder()
                .setSession(100)
                .setNumber(first.getNumber())
                .setState(AttemptState.ATTEMPT_NOT_RUN)
                .build();
        entry.deliver(
                EntryFixture.SERVICE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder().setRevokeAnswer(notRun));
        assertThat(entry.dispatches()).hasSize(1);
    }

    /*
     * Guards against running a request twice. An exchange is dispatched and its sidecar restarts without its journal,
     * which is kept in memory. Whether the exchange ran is unknown, so it must end as "may have run" at once and must
     * not be sent again.
     */
    @Example
    void anExchangeWhoseSidecarRestartedEndsAsMayHaveRun() {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.call(entry.exchange());
        assertThat(entry.dispatches()).hasSize(1);
        entry.openSession(EntryFixture.SERVICE, 12, 200);
        List<Envelope> sent = entry.out.take(message -> message.hasAnswerEnd() || message.hasDispatch());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getAnswerEnd().getRan()).isEqualTo(Ran.MAY_HAVE_RUN);
    }

    @Example
    void aRefusedExchangeEndsAsNotRunWhenItsDeadlinePasses() {
        entry.openSession(EntryFixture.SERVICE, EntryFixture.INCARNATION, 100);
        entry.call(entry.exchange());
        Refused refused = Refused.newBuilder()
                .setSession(100)
                .setNumber(entry.dispatches().getFirst().getNumber())
                .setCause(Cause.LEAVING)
                .build();
        entry.deliver(
                EntryFixture.SERVICE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder().setRefused(refused));
        entry.out.take(message -> true);
        entry.advanceMillis(6_000);
        List<Envelope> ends = entry.out.take(Envelope::hasAnswerEnd);
        // The silent sidecar prevents another dispatch, so the exchange did not run.
        assertThat(ends).hasSize(1);
        assertThat(ends.getFirst().getAnswerEnd().getRan()).isNotEqualTo(Ran.RAN);
    }

    /*
     * Guards against a truncated stream after the loss of a VM. The engine's VM fails after two tokens; the caller must
     * receive the rest from another engine, each token once.
     */
    @Example
    void aBrokenStreamContinuesAtTheNextTokenOnAnotherEngine() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.generate(8);
        Dispatch first = entry.dispatches().getFirst();
        entry.addEngine(EntryFixture.OTHER_ENGINE);
        entry.openSession(EntryFixture.OTHER_ENGINE, EntryFixture.INCARNATION, 300);
        entry.deliver(EntryFixture.ENGINE, EntryFixture.INCARNATION, tokens(100, first.getNumber(), 0, " a", " b"));
        entry.advanceMillis(2_000);
        entry.openSession(EntryFixture.OTHER_ENGINE, EntryFixture.INCARNATION, 300);
        entry.out.take(message -> true);
        entry.advanceMillis(1_500);
        Dispatch second = entry.dispatches().getFirst();
        assertThat(second.getSession()).isEqualTo(300);
        assertThat(second.getGeneration().getHeldList()).containsExactly(" a", " b");
    }

    /*
     * Guards against repeated or missing tokens. When a connection breaks between two chunks and is replaced, chunks
     * overlap or one is lost; the entry discards the overlap and requests the missing part.
     */
    @Example
    void overlapsOfChunksAreDiscardedAndGapsAreRequestedAgain() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.generate(8);
        long number = entry.dispatches().getFirst().getNumber();
        entry.deliver(EntryFixture.ENGINE, EntryFixture.INCARNATION, tokens(100, number, 0, " a", " b"));
        entry.deliver(EntryFixture.ENGINE, EntryFixture.INCARNATION, tokens(100, number, 1, " b", " c"));
        List<AnswerPart> parts = entry.out.take(Envelope::hasAnswerPart).stream()
                .map(Envelope::getAnswerPart)
                .toList();
        assertThat(parts).flatExtracting(AnswerPart::getTokensList).containsExactly(" a", " b", " c");
        entry.deliver(EntryFixture.ENGINE, EntryFixture.INCARNATION, tokens(100, number, 5, " f"));
        List<Envelope> sent = entry.out.take(message -> message.hasRevoke() || message.hasAnswerPart());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRevoke().getHeld()).isEqualTo(3);
    }

    @Example
    void anEndThatArrivesBeforeItsChunksDoesNotFinishTheAnswer() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, 100);
        entry.generate(8);
        long number = entry.dispatches().getFirst().getNumber();
        Ended ended = Ended.newBuilder()
                .setSession(100)
                .setNumber(number)
                .setLength(2)
                .setRan(Ran.RAN)
                .build();
        entry.deliver(
                EntryFixture.ENGINE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder().setEnded(ended));
        assertThat(entry.out.take(Envelope::hasAnswerEnd)).isEmpty();
        entry.deliver(EntryFixture.ENGINE, EntryFixture.INCARNATION, tokens(100, number, 0, " a", " b"));
        entry.deliver(
                EntryFixture.ENGINE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder().setEnded(ended));
        List<AnswerEnd> ends = entry.out.take(Envelope::hasAnswerEnd).stream()
                .map(Envelope::getAnswerEnd)
                .toList();
        assertThat(ends).hasSize(1).allMatch(AnswerEnd::getWhole);
    }

    private static Envelope.Builder tokens(long session, long number, long offset, String... tokens) {
        return Envelope.newBuilder()
                .setChunk(Chunk.newBuilder()
                        .setSession(session)
                        .setNumber(number)
                        .setOffset(offset)
                        .addAllTokens(List.of(tokens)));
    }
}
