package org.cuminshelf.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cuminshelf.message.Role;

/** Tests where the shared prefix of a prompt is assumed to be cached, and from where it is fetched. */
class SharedPrefixLocationsTest {

    private static final GenerationShape SHAPE = new GenerationShape(
            "m", 9_000, 100, List.of(new PromptSegment("subject", 5_000), new PromptSegment("own", 4_000)));

    @Property(seed = "11")
    void aSourceIsAnotherEngineThatHasCachedMoreOfThePrefix(
            @ForAll @IntRange(min = 1, max = 12) int engines, @ForAll @IntRange(max = 0xFFF) int cachingEngines) {
        List<UpstreamInstance> instances = instances(engines, engines / 3);
        for (int index = 0; index < engines; index++) {
            if ((cachingEngines >> index & 1) == 1) {
                instances.get(index).promptCache.recordPrompt(SHAPE.segments().subList(0, 1), 0);
            }
        }
        SharedPrefixLocations shared = SharedPrefixLocations.of(SHAPE, instances, 0);
        for (UpstreamInstance instance : instances) {
            Optional<UpstreamInstance> source = shared.sourceFor(instance);
            int cachedTokens = instance.promptCache.cachedPrefixTokens(SHAPE.segments());
            assertThat(source).isNotEqualTo(Optional.of(instance));
            source.ifPresent(other -> assertThat(shared.tokensCachedBy(other)).isGreaterThan(cachedTokens));
            boolean hasSource = instances.stream()
                    .anyMatch(other -> other != instance && shared.tokensCachedBy(other) >= cachedTokens + 256);
            assertThat(source.isPresent()).isEqualTo(hasSource);
            assertThat(shared.tokensAvailableTo(instance)).isBetween(shared.tokensCachedBy(instance), 5_000);
        }
    }

    /*
     * Guards against all engines prefilling the shared prefixes again after one of them left, because another home
     * engine was selected for every prefix.
     */
    @Example
    void onlyPrefixesOfTheRemovedEngineGetAnotherHomeEngine() {
        List<UpstreamInstance> before = instances(9, 3);
        List<UpstreamInstance> after = before.subList(0, 8);
        int movedPrefixes = 0;
        for (int prefix = 0; prefix < 200; prefix++) {
            String previousHome = homeEngine(prefix, before);
            movedPrefixes += previousHome.equals(before.get(8).id) ? 1 : 0;
            assertThat(homeEngine(prefix, after))
                    .matches(now -> previousHome.equals(before.get(8).id) || now.equals(previousHome));
        }
        // Six engines generate; the removed one was the home engine of about a sixth of the prefixes.
        assertThat(movedPrefixes).isBetween(15, 55);
    }

    private static String homeEngine(int prefix, List<UpstreamInstance> instances) {
        GenerationShape shape = new GenerationShape(
                "m", 100, 1, List.of(new PromptSegment("subject" + prefix, 50), new PromptSegment("own", 50)));
        SharedPrefixLocations shared = SharedPrefixLocations.of(shape, instances, 0);
        return instances.stream().filter(shared::isHomeOfStreams).findFirst().orElseThrow().id;
    }

    private static List<UpstreamInstance> instances(int engines, int prefill) {
        List<UpstreamInstance> instances = new ArrayList<>();
        for (int index = 0; index < engines; index++) {
            Role role = index < prefill ? Role.ROLE_PREFILL : Role.ROLE_DECODE;
            UpstreamInstance instance = new UpstreamInstance(0, DirectFixture.heartbeat("u" + index, role));
            instance.applyHeartbeat(DirectFixture.heartbeat("u" + index, role));
            instances.add(instance);
        }
        return instances;
    }
}
