package org.cuminshelf.routes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cuminshelf.exchange.CallerLimits;

/** Tests which route matches a request. */
class RouteTableTest {

    private static RouteTable table(List<String> prefixes) {
        List<Route> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(new Route(
                    prefix,
                    "h",
                    prefix,
                    RequestKind.IDEMPOTENT,
                    1_000,
                    200,
                    0,
                    List.of(new WeightedService("s", 1)),
                    1,
                    false,
                    0,
                    false));
        }
        RoutedService service = new RoutedService("s", 10, Optional.empty());
        return RouteTable.of(1, routes, Map.of("s", service), CallerLimits.DEFAULT);
    }

    private static Optional<String> matchedPrefix(RouteTable table, String path) {
        return table.route("H:80", path).map(Route::pathPrefix);
    }

    @Example
    void theLongestMatchingPrefixWins() {
        RouteTable table = table(List.of("/", "/a/", "/a/b/", "/a/b/c/d/"));
        assertThat(matchedPrefix(table, "/a/b/c/x")).contains("/a/b/");
        assertThat(matchedPrefix(table, "/a/b/c/d/")).contains("/a/b/c/d/");
        assertThat(matchedPrefix(table, "/a")).contains("/");
        assertThat(matchedPrefix(table(List.of("/a/")), "/b/")).isEmpty();
        assertThat(matchedPrefix(table(List.of("/a/")), "no-path")).isEmpty();
        assertThat(table.route("other", "/a/")).isEmpty();
    }

    /* Compares the lookup with a linear search. Paths use only three segments, so that prefixes match often. */
    @Property(tries = 300, seed = "61")
    void theRouteIsThatOfALinearSearch(
            @ForAll @Size(max = 8) List<@IntRange(max = 26) Integer> numbers, @ForAll @IntRange(max = 242) int path) {
        List<String> prefixes =
                numbers.stream().map(RouteTableTest::prefix).distinct().toList();
        String requestPath = prefix(path) + "x";
        Optional<String> expected =
                prefixes.stream().filter(requestPath::startsWith).max((a, b) -> a.length() - b.length());
        assertThat(matchedPrefix(table(prefixes), requestPath)).isEqualTo(expected);
    }

    private static String prefix(int number) {
        StringBuilder text = new StringBuilder("/");
        for (int rest = number; rest > 0; rest /= 3) {
            text.append((char) ('a' + rest % 3)).append('/');
        }
        return text.toString();
    }

    @Example
    void aPathDeeperThanAnyPrefixMatchesThePrefixItBeginsWith() {
        assertThat(matchedPrefix(table(List.of("/a/")), "/a" + "/".repeat(16_000)))
                .contains("/a/");
        assertThat(matchedPrefix(table(List.of("/a/")), "/".repeat(16_000))).isEmpty();
    }
}
