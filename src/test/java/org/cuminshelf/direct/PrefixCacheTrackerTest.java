package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/** Tests which segments are assumed to be in an engine's prefix cache. */
class PrefixCacheTrackerTest {

    private final PrefixCacheTracker cache = new PrefixCacheTracker();

    @Example
    void aSegmentCountsOnlyIfAllSegmentsBeforeItAreCached() {
        cache.recordPrompt(List.of(new PromptSegment("b", 20)), 0);
        List<PromptSegment> prompt = List.of(new PromptSegment("a", 10), new PromptSegment("b", 20));
        assertThat(cache.cachedPrefixTokens(prompt)).isZero();
        cache.recordPrompt(List.of(new PromptSegment("a", 10)), 0);
        assertThat(cache.cachedPrefixTokens(prompt)).isEqualTo(30);
    }

    /*
     * Guards against long prompts taking half as long again as expected: the engine evicted their shared segments long
     * ago, while the entry still counted them as cached.
     */
    @Example
    void aSegmentIsEvictedOnceOthersHaveFilledTheMemory() {
        cache.setCapacityTokens(1_000);
        List<PromptSegment> sharedPrompt = List.of(new PromptSegment("subject", 400));
        cache.recordPrompt(sharedPrompt, 0);
        for (int index = 0; index < 6; index++) {
            cache.recordPrompt(List.of(new PromptSegment("own" + index, 100)), 0);
        }
        assertThat(cache.cachedPrefixTokens(sharedPrompt)).isEqualTo(400);
        for (int index = 6; index < 17; index++) {
            cache.recordPrompt(List.of(new PromptSegment("own" + index, 100)), 0);
        }
        assertThat(cache.cachedPrefixTokens(sharedPrompt)).isZero();
    }

    @Example
    void aSegmentThatIsUsedAgainStaysCached() {
        cache.setCapacityTokens(1_000);
        List<PromptSegment> sharedPrompt = List.of(new PromptSegment("subject", 400));
        for (int index = 0; index < 40; index++) {
            cache.recordPrompt(List.of(new PromptSegment("own" + index, 100)), 0);
            cache.recordPrompt(sharedPrompt, 0);
        }
        assertThat(cache.cachedPrefixTokens(sharedPrompt)).isEqualTo(400);
    }
}
