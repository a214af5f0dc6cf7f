package org.cuminshelf.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.AttributeKind;
import org.cuminshelf.message.Involvement;

/** Tests which of the attributes that requests at crashes share is found to be the cause. */
class CauseFinderTest {

    private static final RequestAttribute POISON = segment("poison");
    private static final RequestAttribute OTHER = segment("other");
    private static final RequestAttribute POPULAR = segment("popular");
    private static final ChangeSequence SEQUENCE = ChangeSequence.constant(1);
    private static final long SECOND = Durations.nanos(1_000);
    private static final int MANY_ANSWERS = 50;

    private final CrashTable table = new CrashTable();
    private long now = SECOND;
    private int nextUpstream;

    private static RequestAttribute segment(String name) {
        return RequestAttribute.shared(AttributeKind.PROMPT_SEGMENT, "s", name);
    }

    private void crash(RequestAttribute... attributes) {
        String upstream = "u" + nextUpstream++;
        for (RequestAttribute attribute : attributes) {
            int requests = attribute.equals(POPULAR) ? 3 : 1;
            table.recordRun(now, upstream, attribute, Involvement.JUST_BEGUN, requests, SEQUENCE);
        }
    }

    private void crashAfterAnswers(RequestAttribute... attributes) {
        now += SECOND;
        answers(MANY_ANSWERS);
        crash(attributes);
    }

    private void answers(int count) {
        for (int answer = 0; answer < count; answer++) {
            table.causeFinder().countAnswer("s");
        }
    }

    private List<Fingerprint> findPoison() {
        now += SECOND;
        return table.findPoison(now, fingerprint -> false);
    }

    @Example
    void anAttributeUnderWhichUpstreamsCrashedAtThreeTimesIsPoison() {
        crashAfterAnswers(POISON, POPULAR);
        crashAfterAnswers(POISON, POPULAR);
        assertThat(findPoison()).isEmpty();
        crashAfterAnswers(POISON, POPULAR);
        assertThat(findPoison()).containsExactly(POISON.fingerprint());
    }

    /** Guards against a popular segment that is refused as many upstreams fail together for another cause. */
    @Example
    void crashesAtOneTimeCountOnce() {
        crashAfterAnswers(POISON);
        for (int crash = 0; crash < 20; crash++) {
            now += SECOND / 100;
            answers(MANY_ANSWERS);
            crash(POISON);
        }
        assertThat(findPoison()).isEmpty();
    }

    @Example
    void anAnswerThatEndedWellClearsItsAttributes() {
        crashAfterAnswers(POISON, OTHER);
        crashAfterAnswers(POISON, OTHER);
        table.clear(now, OTHER.fingerprint(), SEQUENCE);
        crashAfterAnswers(POISON, OTHER);
        assertThat(findPoison()).containsExactly(POISON.fingerprint());
        assertThat(table.crashedUpstreams(OTHER.fingerprint())).hasSize(1);
    }

    /** Guards against an attribute that is refused though nothing is served, so that nothing tells it from others. */
    @Example
    void nothingIsFoundWhileNothingIsServed() {
        for (int crash = 0; crash < 8; crash++) {
            now += SECOND;
            crash(POISON);
        }
        answers(MANY_ANSWERS);
        assertThat(findPoison()).as("answers after the last crash say nothing").isEmpty();
        crash(POISON);
        assertThat(findPoison()).containsExactly(POISON.fingerprint());
    }

    @Example
    void twoAttributesThatFitAsWellAreBothFoundAfterFiveTimes() {
        for (int crash = 0; crash < 4; crash++) {
            crashAfterAnswers(POISON, OTHER);
        }
        assertThat(findPoison()).isEmpty();
        crashAfterAnswers(POISON, OTHER);
        assertThat(findPoison()).containsExactlyInAnyOrder(POISON.fingerprint(), OTHER.fingerprint());
    }

    /** Guards against a segment that is refused as it happened to be at crashes of two poison segments. */
    @Example
    void whatOthersExplainIsNotTakenForAThirdCause() {
        RequestAttribute second = segment("second");
        for (int crash = 0; crash < 4; crash++) {
            crashAfterAnswers(POISON, OTHER);
            crashAfterAnswers(second);
        }
        crashAfterAnswers(POISON);
        crashAfterAnswers(POISON);
        crashAfterAnswers(second);
        crashAfterAnswers(second, OTHER);
        assertThat(findPoison()).containsExactlyInAnyOrder(POISON.fingerprint(), second.fingerprint());
    }

    @Example
    void aReturningRequestIsFoundBeforeTheSegmentsThatOnlyItHas() {
        RequestAttribute request = RequestAttribute.request(new Fingerprint(0, 1));
        for (int crash = 0; crash < 3; crash++) {
            crashAfterAnswers(request, POISON);
        }
        assertThat(findPoison()).containsExactly(request.fingerprint());
    }

    /** Guards against requests of a popular segment that are refused beside a poison one with fewer requests. */
    @Example
    void onlyTheAttributeWithTheFewestRequestsIsHeldBack() {
        crashAfterAnswers(POISON, POPULAR, OTHER);
        now += SECOND / 10;
        assertThat(table.causeFinder().holdBack(now, POISON.fingerprint())).isEmpty();
        crash(POISON, POPULAR);
        now += SECOND / 10;
        assertThat(table.causeFinder().holdBack(now, POISON.fingerprint()))
                .as("nothing has succeeded since")
                .isEmpty();
        table.clear(now, OTHER.fingerprint(), SEQUENCE);
        assertThat(table.causeFinder().holdBack(now, POISON.fingerprint())).isPresent();
        assertThat(table.causeFinder().holdBack(now, POPULAR.fingerprint())).isEmpty();
    }

    /** Guards against a sound segment whose trials are at the crashes of a poison one, as both begin at one time. */
    @Example
    void suspectedAttributesHaveTheirTrialsInTurns() {
        RequestAttribute cleared = segment("cleared");
        crashAfterAnswers(POISON, OTHER, cleared);
        crashAfterAnswers(POISON, OTHER);
        table.clear(now, cleared.fingerprint(), SEQUENCE);
        TrialTurn turn = turnOf(POISON);
        TrialTurn otherTurn = turnOf(OTHER);
        List<Long> times = LongStream.range(0, 40)
                .mapToObj(step -> now + step * SECOND / 10)
                .toList();
        assertThat(times).anyMatch(turn::isOpen).anyMatch(otherTurn::isOpen);
        for (long at : times) {
            boolean isOtherOpenWithin250Millis = otherTurn.isOpen(at) || otherTurn.isOpen(at + SECOND / 4 - 1);
            assertThat(turn.isOpen(at) && isOtherOpenWithin250Millis).isFalse();
        }
    }

    /** Guards against a poison segment that goes on ending upstreams while sound ones are tested before it. */
    @Example
    void theAttributeWithTheMostCrashesHasTheFirstTurn() {
        RequestAttribute cleared = segment("cleared");
        crashAfterAnswers(POISON);
        crashAfterAnswers(POISON, OTHER, cleared);
        crashAfterAnswers(POISON, OTHER);
        table.clear(now, cleared.fingerprint(), SEQUENCE);
        assertThat(turnOf(POISON).isOpen(now)).isTrue();
        assertThat(turnOf(OTHER).isOpen(now)).isFalse();
    }

    private TrialTurn turnOf(RequestAttribute attribute) {
        return table.causeFinder()
                .holdBack(now, attribute.fingerprint())
                .orElseThrow()
                .turn();
    }

    @Example
    void requestsAreHeldBackForLongerAfterEachFurtherCrash() {
        crashAfterAnswers(POISON, OTHER);
        table.clear(now, OTHER.fingerprint(), SEQUENCE);
        long previousNanos = 0;
        for (int crash = 0; crash < 4; crash++) {
            crashAfterAnswers(POISON);
            long untilNanos = table.causeFinder()
                    .holdBack(now, POISON.fingerprint())
                    .orElseThrow()
                    .untilNanos();
            assertThat(untilNanos - now).isGreaterThan(previousNanos);
            previousNanos = untilNanos - now;
        }
        assertThat(previousNanos).isLessThan(10 * SECOND);
    }

    @Example
    void theAttributesOfOneCrashAreBoundedAndThoseJustBegunAreKept() {
        for (int attribute = 0; attribute < 1_000; attribute++) {
            table.recordRun(now, "u", segment("s" + attribute), Involvement.UNDER_WAY, 1, SEQUENCE);
        }
        table.recordRun(now, "u", POISON, Involvement.JUST_BEGUN, 1, SEQUENCE);
        assertThat(table.requestCount()).isEqualTo(256);
        assertThat(table.crashedUpstreams(POISON.fingerprint())).containsExactly("u");
    }
}
