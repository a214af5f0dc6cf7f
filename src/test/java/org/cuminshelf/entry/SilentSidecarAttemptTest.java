package org.cuminshelf.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cuminshelf.message.AnswerPart;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Chunk;
import org.cuminshelf.message.Dispatch;
import org.cuminshelf.message.Ended;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.Refused;

/** Tests the attempts of an entry while a sidecar is silent that may be sound. */
class SilentSidecarAttemptTest {

    private static final long SESSION = 100;
    private static final long OTHER_SESSION = 300;
    /** Attempts of one generation after which it is not sent again. */
    private static final int MAX_ATTEMPTS = 6;
    /** Time after which a sidecar passes for silent. */
    private static final long SILENCE_MILLIS = 3_000;

    private final EntryFixture entry = new EntryFixture();

    private void addOtherEngine(int slots) {
        entry.addEngine(EntryFixture.OTHER_ENGINE);
        openOtherSession(slots);
    }

    private void openOtherSession(int slots) {
        entry.openSession(1, EntryFixture.OTHER_ENGINE, EntryFixture.INCARNATION, OTHER_SESSION, slots);
    }

    /** Dispatches a generation to the first engine, which sends its first token. */
    private Dispatch startStream() {
        entry.generate(8);
        Dispatch dispatch = entry.dispatches().getFirst();
        sendToken(dispatch, 0, " a");
        entry.out.take(Envelope::hasAnswerPart);
        return dispatch;
    }

    private void sendToken(Dispatch dispatch, long offset, String token) {
        entry.deliver(
                EntryFixture.ENGINE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder()
                        .setChunk(Chunk.newBuilder()
                                .setSession(dispatch.getSession())
                                .setNumber(dispatch.getNumber())
                                .setOffset(offset)
                                .addTokens(token)));
    }

    private void refuse(Dispatch dispatch) {
        entry.deliver(
                EntryFixture.ENGINE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder()
                        .setRefused(Refused.newBuilder()
                                .setSession(dispatch.getSession())
                                .setNumber(dispatch.getNumber())
                                .setCause(Cause.CONNECT_FAILED)));
    }

    /** Returns the dispatches and cancellations while the first engine is silent and another one answers. */
    private List<Envelope> sentDuringSilence(int otherSlots) {
        entry.out.take(message -> true);
        entry.advanceMillis(SILENCE_MILLIS / 2);
        openOtherSession(otherSlots);
        entry.advanceMillis(SILENCE_MILLIS / 2);
        return entry.out.take(message -> message.hasDispatch() || message.hasCancel());
    }

    private void assertDelivered(Dispatch dispatch, long offset, String token) {
        sendToken(dispatch, offset, token);
        assertThat(entry.out.take(Envelope::hasAnswerPart).stream().map(Envelope::getAnswerPart))
                .flatExtracting(AnswerPart::getTokensList)
                .containsExactly(token);
    }

    @Example
    void aSilentStreamContinuesOnAnotherEngine() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        startStream();
        addOtherEngine(8);
        List<Envelope> sent = sentDuringSilence(8);
        assertThat(sent).filteredOn(Envelope::hasCancel).hasSize(1);
        assertThat(sent)
                .filteredOn(Envelope::hasDispatch)
                .hasSize(1)
                .allMatch(message -> message.getDispatch().getSession() == OTHER_SESSION);
    }

    /** Guards against a stream that is cancelled for its sidecar's silence although there is no other engine. */
    @Example
    void aSilentStreamIsKeptWithoutAnotherEngine() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        Dispatch stream = startStream();
        entry.advanceMillis(SILENCE_MILLIS);
        assertThat(entry.out.take(Envelope::hasCancel)).isEmpty();
        assertDelivered(stream, 1, " b");
    }

    /** Guards against streams that are all cancelled although the other engine has a slot for one of them only. */
    @Example
    void silentStreamsAreReplacedOnlyAsFarAsAnotherEngineHasSlots() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        for (int stream = 0; stream < 4; stream++) {
            startStream();
        }
        addOtherEngine(1);
        List<Envelope> sent = sentDuringSilence(1);
        assertThat(sent).filteredOn(Envelope::hasDispatch).hasSize(1);
        assertThat(sent).filteredOn(Envelope::hasCancel).hasSize(1);
    }

    /** Guards against a stream that is cancelled for silence in its last attempt, so that nothing continues it. */
    @Example
    void aSilentStreamIsKeptIfItHasNoAttemptLeft() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        Dispatch last = exhaustAttempts();
        addOtherEngine(8);
        assertThat(sentDuringSilence(8)).isEmpty();
        assertDelivered(last, 0, " a");
    }

    /** Guards against a stream that is cancelled for silence while the retry budget is spent. */
    @Example
    void aSilentStreamIsKeptIfTheRetryBudgetIsSpent() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        for (int call = 0; call < 4; call++) {
            exhaustAttempts();
        }
        Dispatch stream = startStream();
        addOtherEngine(8);
        assertThat(sentDuringSilence(8)).isEmpty();
        assertDelivered(stream, 1, " b");
    }

    /** Guards against a slot that goes to a new call while a stream on a silent engine needs one. */
    @Example
    void aSilentStreamComesBeforeNewCalls() {
        entry.openSession(1, EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION, 1);
        startStream();
        addOtherEngine(1);
        entry.generate(8);
        Dispatch other = entry.dispatches().getFirst();
        assertThat(other.getSession()).isEqualTo(OTHER_SESSION);
        sentDuringSilence(1);
        entry.generate(8);
        entry.deliver(
                EntryFixture.OTHER_ENGINE,
                EntryFixture.INCARNATION,
                Envelope.newBuilder()
                        .setEnded(Ended.newBuilder()
                                .setSession(OTHER_SESSION)
                                .setNumber(other.getNumber())
                                .setRan(Ran.RAN)));
        assertThat(entry.dispatches())
                .hasSize(1)
                .allMatch(dispatch -> dispatch.getGeneration().getHeldList().contains(" a"));
    }

    /** Guards against streams that are cancelled by the first tick after a pause of the entry itself. */
    @Example
    void aPauseOfTheEntryIsNoSilenceOfItsSidecars() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        Dispatch stream = startStream();
        addOtherEngine(8);
        entry.pauseMillis(SILENCE_MILLIS);
        openOtherSession(8);
        entry.advanceMillis(200);
        assertThat(entry.out.take(Envelope::hasCancel)).isEmpty();
        assertDelivered(stream, 1, " b");
    }

    /** Guards against new calls that wait after a pause of the entry because its sidecars pass for silent. */
    @Example
    void aPauseOfTheEntryDoesNotHoldBackNewCalls() {
        entry.openSession(EntryFixture.ENGINE, EntryFixture.INCARNATION, SESSION);
        // By then a heartbeat to the engine is unanswered.
        entry.advanceMillis(1_200);
        entry.pauseMillis(SILENCE_MILLIS);
        entry.generate(8);
        assertThat(entry.dispatches()).hasSize(1);
    }

    /** Has a generation refused until its last attempt, and returns that one. */
    private Dispatch exhaustAttempts() {
        entry.generate(8);
        Dispatch dispatch = entry.dispatches().getFirst();
        for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
            refuse(dispatch);
            dispatch = entry.dispatches().getFirst();
        }
        return dispatch;
    }
}
