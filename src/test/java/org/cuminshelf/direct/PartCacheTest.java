package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/** What an engine probably still holds. */
class PartCacheTest {

    private final PartCache cache = new PartCache();

    @Example
    void aPartCountsOnlyIfAllBeforeItAreHeld() {
        cache.add(List.of(new PromptPart("b", 20)), 0);
        List<PromptPart> prompt = List.of(new PromptPart("a", 10), new PromptPart("b", 20));
        assertThat(cache.heldTokens(prompt)).isZero();
        cache.add(List.of(new PromptPart("a", 10)), 0);
        assertThat(cache.heldTokens(prompt)).isEqualTo(30);
    }

    /*
     * Long prompts take half as long again as expected: the engine dropped their shared parts for newer ones long ago,
     * while the entry still counts them as held.
     */
    @Example
    void aPartIsForgottenOnceTheMemoryWasFilledByOthers() {
        cache.bound(1_000);
        List<PromptPart> subject = List.of(new PromptPart("subject", 400));
        cache.add(subject, 0);
        for (int index = 0; index < 6; index++) {
            cache.add(List.of(new PromptPart("own" + index, 100)), 0);
        }
        assertThat(cache.heldTokens(subject)).isEqualTo(400);
        for (int index = 6; index < 17; index++) {
            cache.add(List.of(new PromptPart("own" + index, 100)), 0);
        }
        assertThat(cache.heldTokens(subject)).isZero();
    }

    @Example
    void aPartThatIsUsedAgainStays() {
        cache.bound(1_000);
        List<PromptPart> subject = List.of(new PromptPart("subject", 400));
        for (int index = 0; index < 40; index++) {
            cache.add(List.of(new PromptPart("own" + index, 100)), 0);
            cache.add(subject, 0);
        }
        assertThat(cache.heldTokens(subject)).isEqualTo(400);
    }
}
