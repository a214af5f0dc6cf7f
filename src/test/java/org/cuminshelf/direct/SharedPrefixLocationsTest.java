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

/** Where shared parts are believed to be, and from where they are fetched. */
class SharedPrefixLocationsTest {

    private static final GenerationShape SHAPE = new GenerationShape(
            "m", 9_000, 100, List.of(new PromptSegment("subject", 5_000), new PromptSegment("own", 4_000)));

    @Property(seed = "11")
    void aSourceIsAnotherEngineThatHoldsMoreThanIsKnownOfTheOwn(
            @ForAll @IntRange(min = 1, max = 12) int engines, @ForAll @IntRange(max = 0xFFF) int holders) {
        List<UpstreamInstance> rows = rows(engines, engines / 3);
        for (int index = 0; index < engines; index++) {
            if ((holders >> index & 1) == 1) {
                rows.get(index).promptCache.recordPrompt(SHAPE.segments().subList(0, 1), 0);
            }
        }
        SharedPrefixLocations shared = SharedPrefixLocations.of(SHAPE, rows, 0);
        for (UpstreamInstance row : rows) {
            Optional<UpstreamInstance> source = shared.sourceFor(row);
            int known = row.promptCache.cachedPrefixTokens(SHAPE.segments());
            assertThat(source).isNotEqualTo(Optional.of(row));
            source.ifPresent(other -> assertThat(shared.tokensCachedBy(other)).isGreaterThan(known));
            boolean elsewhere =
                    rows.stream().anyMatch(other -> other != row && shared.tokensCachedBy(other) >= known + 256);
            assertThat(source.isPresent()).isEqualTo(elsewhere);
            assertThat(shared.tokensAvailableTo(row)).isBetween(shared.tokensCachedBy(row), 5_000);
        }
    }

    /*
     * A subject's parts are read again by every engine after one of them left: another home is chosen for all subjects.
     */
    @Example
    void onlySubjectsOfTheEngineThatLeftGetAnotherHome() {
        List<UpstreamInstance> before = rows(9, 3);
        List<UpstreamInstance> after = before.subList(0, 8);
        int moved = 0;
        for (int subject = 0; subject < 200; subject++) {
            String old = home(subject, before);
            moved += old.equals(before.get(8).id) ? 1 : 0;
            assertThat(home(subject, after)).matches(now -> old.equals(before.get(8).id) || now.equals(old));
        }
        // Six engines generate; the one that left was the home of about a sixth.
        assertThat(moved).isBetween(15, 55);
    }

    private static String home(int subject, List<UpstreamInstance> rows) {
        GenerationShape shape = new GenerationShape(
                "m", 100, 1, List.of(new PromptSegment("subject" + subject, 50), new PromptSegment("own", 50)));
        SharedPrefixLocations shared = SharedPrefixLocations.of(shape, rows, 0);
        return rows.stream().filter(shared::isHomeOfStreams).findFirst().orElseThrow().id;
    }

    private static List<UpstreamInstance> rows(int engines, int prefill) {
        List<UpstreamInstance> rows = new ArrayList<>();
        for (int index = 0; index < engines; index++) {
            Role role = index < prefill ? Role.ROLE_PREFILL : Role.ROLE_DECODE;
            UpstreamInstance row = new UpstreamInstance(0, DirectFixture.heartbeat("u" + index, role));
            row.applyHeartbeat(DirectFixture.heartbeat("u" + index, role));
            rows.add(row);
        }
        return rows;
    }
}
