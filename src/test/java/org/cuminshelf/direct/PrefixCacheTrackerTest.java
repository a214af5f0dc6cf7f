package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/** What an engine probably still holds. */
class PrefixCacheTrackerTest {

    private final PrefixCacheTracker cache = new PrefixCacheTracker();

    @Example
    void aPartCountsOnlyIfAllBeforeItAreHeld() {
        cache.recordPrompt(List.of(new PromptSegment("b", 20)), 0);
        List<PromptSegment> prompt = List.of(new PromptSegment("a", 10), new PromptSegment("b", 20));
        assertThat(cache.cachedPrefixTokens(prompt)).isZero();
        cache.recordPrompt(List.of(new PromptSegment("a", 10)), 0);
        assertThat(cache.cachedPrefixTokens(prompt)).isEqualTo(30);
    }

    /*
     * Long prompts take half as long again as expected: the engine dropped their shared parts for newer ones long ago,
     * while the entry still counts them as held.
     */
    @Example
    void aPartIsForgottenOnceTheMemoryWasFilledByOthers() {
        cache.setCapacityTokens(1_000);
        List<PromptSegment> subject = List.of(new PromptSegment("subject", 400));
        cache.recordPrompt(subject, 0);
        for (int index = 0; index < 6; index++) {
            cache.recordPrompt(List.of(new PromptSegment("own" + index, 100)), 0);
        }
        assertThat(cache.cachedPrefixTokens(subject)).isEqualTo(400);
        for (int index = 6; index < 17; index++) {
            cache.recordPrompt(List.of(new PromptSegment("own" + index, 100)), 0);
        }
        assertThat(cache.cachedPrefixTokens(subject)).isZero();
    }

    @Example
    void aPartThatIsUsedAgainStays() {
        cache.setCapacityTokens(1_000);
        List<PromptSegment> subject = List.of(new PromptSegment("subject", 400));
        for (int index = 0; index < 40; index++) {
            cache.recordPrompt(List.of(new PromptSegment("own" + index, 100)), 0);
            cache.recordPrompt(subject, 0);
        }
        assertThat(cache.cachedPrefixTokens(subject)).isEqualTo(400);
    }
}
