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

/** Attempts that are refused, lost, revoked and resumed. */
class AttemptSystemTest {

    private final EntryFixture entry = new EntryFixture();

    /*
     * A caller is given tokens of another caller's answer. A sidecar restarts; what the dead one sent arrives late, so
     * the entry goes back to its session and forth again. Cause: attempt numbers counted anew named attempts that the
     * session already had, and their chunks were taken for the new call.
     */
    @Example
    void aLateAnswerOfADeadSidecarMakesNoNumberComeTwice() {
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.open(EntryFixture.ENGINE, 12, 200);
        entry.generate(4);
        Dispatch first = entry.dispatches().getFirst();
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.open(EntryFixture.ENGINE, 12, 200);
        entry.generate(4);
        List<Dispatch> later = entry.dispatches();
        assertThat(later).allMatch(dispatch -> dispatch.getSession() == 200);
        assertThat(later).noneMatch(dispatch -> dispatch.getNumber() == first.getNumber());
    }

    /*
     * A caller is given tokens of another caller's answer. An entry restarts; a request of the dead one for a session
     * reaches a sidecar late, and the answer goes to the new process at the same address. Cause: sessions did not say
     * for which incarnation of the entry they are, and the new one numbered its attempts among those of the dead one.
     */
    @Example
    void aSessionOpenedForADeadIncarnationOfThisEntryIsNotUsed() {
        entry.openFor(99, EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.generate(4);
        assertThat(entry.dispatches()).isEmpty();
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 200);
        assertThat(entry.dispatches()).hasSize(1).allMatch(dispatch -> dispatch.getSession() == 200);
    }

    /*
     * The first caller after a quiet minute is refused as if the fleet were overloaded. Cause: an idle upstream is
     * asked for its state every five seconds, and one not heard for two and a half counted as silent.
     */
    @Example
    void anUpstreamThatWasAskedNothingIsNotSilent() {
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.pass(4_000);
        entry.generate(4);
        assertThat(entry.dispatches()).hasSize(1);
    }

    /*
     * A board is reserved twice. A reservation is sent and nothing comes back; the entry must not send it anywhere else
     * before the sidecar swore that it did not run. Cause: silence taken for "not run".
     */
    @Example
    void aSilentExchangeIsSentAgainOnlyAfterItsSidecarSworeThatItDidNotRun() {
        entry.open(EntryFixture.SERVICE, EntryFixture.FIRST, 100);
        entry.call(entry.exchange());
        Dispatch first = entry.dispatches().getFirst();
        entry.pass(1_000);
        assertThat(entry.out.take(Envelope::hasDispatch)).isEmpty();
        RevokeAnswer sworn = RevokeAnswer.newBuilder()
                .setSession(100)
                .setNumber(first.getNumber())
                .setState(AttemptState.ATTEMPT_NOT_RUN)
                .build();
        entry.give(
                EntryFixture.SERVICE, EntryFixture.FIRST, Envelope.newBuilder().setRevokeAnswer(sworn));
        assertThat(entry.dispatches()).hasSize(1);
    }

    /*
     * A reservation is sent, the sidecar dies and comes back without its journal. Nobody can swear either way; the
     * caller must be told "may have run" at once, and nothing may be sent again. Cause: the journal lives in memory.
     */
    @Example
    void aRestartedSidecarLeavesAnExchangeThatMayHaveRun() {
        entry.open(EntryFixture.SERVICE, EntryFixture.FIRST, 100);
        entry.call(entry.exchange());
        assertThat(entry.dispatches()).hasSize(1);
        entry.open(EntryFixture.SERVICE, 12, 200);
        List<Envelope> sent = entry.out.take(message -> message.hasAnswerEnd() || message.hasDispatch());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getAnswerEnd().getRan()).isEqualTo(Ran.MAY_HAVE_RUN);
    }

    @Example
    void aRefusedExchangeIsToldNotRunWhenItsDeadlinePasses() {
        entry.open(EntryFixture.SERVICE, EntryFixture.FIRST, 100);
        entry.call(entry.exchange());
        Refused refused = Refused.newBuilder()
                .setSession(100)
                .setNumber(entry.dispatches().getFirst().getNumber())
                .setCause(Cause.LEAVING)
                .build();
        entry.give(
                EntryFixture.SERVICE, EntryFixture.FIRST, Envelope.newBuilder().setRefused(refused));
        entry.out.take(message -> true);
        entry.pass(6_000);
        List<Envelope> ends = entry.out.take(Envelope::hasAnswerEnd);
        // Silence of the sidecar keeps it from being sent again, so it did not run.
        assertThat(ends).hasSize(1);
        assertThat(ends.getFirst().getAnswerEnd().getRan()).isNotEqualTo(Ran.RAN);
    }

    /*
     * A stream stops in the middle of a sentence. The engine's VM dies after two tokens; the caller must get the rest
     * from another engine, each token once. Cause: loss of a VM during a generation.
     */
    @Example
    void aBrokenStreamGoesOnAtTheNextTokenOnAnotherEngine() {
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.generate(8);
        Dispatch first = entry.dispatches().getFirst();
        entry.addEngine(EntryFixture.OTHER_ENGINE);
        entry.open(EntryFixture.OTHER_ENGINE, EntryFixture.FIRST, 300);
        entry.give(EntryFixture.ENGINE, EntryFixture.FIRST, tokens(100, first.getNumber(), 0, " a", " b"));
        entry.pass(2_000);
        entry.open(EntryFixture.OTHER_ENGINE, EntryFixture.FIRST, 300);
        entry.out.take(message -> true);
        entry.pass(1_500);
        Dispatch second = entry.dispatches().getFirst();
        assertThat(second.getSession()).isEqualTo(300);
        assertThat(second.getGeneration().getHeldList()).containsExactly(" a", " b");
    }

    /*
     * A caller sees words twice, or a hole. Chunks overlap or one is lost on the way; the entry cuts what it has and
     * asks for what it lacks. Cause: connections that break and are replaced between two chunks.
     */
    @Example
    void overlappingChunksAreCutAndGapsAreAskedForAgain() {
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.generate(8);
        long number = entry.dispatches().getFirst().getNumber();
        entry.give(EntryFixture.ENGINE, EntryFixture.FIRST, tokens(100, number, 0, " a", " b"));
        entry.give(EntryFixture.ENGINE, EntryFixture.FIRST, tokens(100, number, 1, " b", " c"));
        List<AnswerPart> parts = entry.out.take(Envelope::hasAnswerPart).stream()
                .map(Envelope::getAnswerPart)
                .toList();
        assertThat(parts).flatExtracting(AnswerPart::getTokensList).containsExactly(" a", " b", " c");
        entry.give(EntryFixture.ENGINE, EntryFixture.FIRST, tokens(100, number, 5, " f"));
        List<Envelope> sent = entry.out.take(message -> message.hasRevoke() || message.hasAnswerPart());
        assertThat(sent).hasSize(1);
        assertThat(sent.getFirst().getRevoke().getHeld()).isEqualTo(3);
    }

    @Example
    void anEndThatIsAheadOfItsChunksDoesNotEndTheAnswer() {
        entry.open(EntryFixture.ENGINE, EntryFixture.FIRST, 100);
        entry.generate(8);
        long number = entry.dispatches().getFirst().getNumber();
        Ended ended = Ended.newBuilder()
                .setSession(100)
                .setNumber(number)
                .setLength(2)
                .setRan(Ran.RAN)
                .build();
        entry.give(
                EntryFixture.ENGINE, EntryFixture.FIRST, Envelope.newBuilder().setEnded(ended));
        assertThat(entry.out.take(Envelope::hasAnswerEnd)).isEmpty();
        entry.give(EntryFixture.ENGINE, EntryFixture.FIRST, tokens(100, number, 0, " a", " b"));
        entry.give(
                EntryFixture.ENGINE, EntryFixture.FIRST, Envelope.newBuilder().setEnded(ended));
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
