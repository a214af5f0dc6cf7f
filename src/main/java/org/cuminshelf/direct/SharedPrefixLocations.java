package org.cuminshelf.direct;

import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * The engines that have probably cached the shared prefix of one prompt: all of its segments except the last.
 *
 * <p>Entries report to each other which prompts they send to which engine. Streams with the same shared prefix continue
 * on the same engine, the home engine of the prefix. It is selected by rendezvous hashing of the last shared segment,
 * so that a change of the fleet moves few prefixes.
 */
final class SharedPrefixLocations {

    /** Tokens below which prefilling is as fast as fetching: 3 ms. */
    private static final int MIN_FETCH_TOKENS = 256;

    private final GenerationShape shape;
    private final long now;
    private final List<UpstreamInstance> engines;
    private final int tokens;
    private final String homeEngine;
    /**
     * The two engines that have probably cached most of the prefix, so that the choice of a source needs no second scan
     * of all engines.
     */
    private Optional<UpstreamInstance> mostCached = Optional.empty();

    private Optional<UpstreamInstance> nextMostCached = Optional.empty();

    private SharedPrefixLocations(GenerationShape shape, List<UpstreamInstance> engines, long now) {
        this.shape = shape;
        this.now = now;
        this.engines = engines;
        this.tokens = sharedTokens(shape.segments());
        this.homeEngine = findHomeEngine();
        engines.forEach(this::rank);
    }

    private void rank(UpstreamInstance engine) {
        int fetchable = tokensFetchableFrom(engine);
        if (mostCached.isEmpty() || fetchable > tokensFetchableFrom(mostCached.get())) {
            nextMostCached = mostCached;
            mostCached = Optional.of(engine);
        } else if (nextMostCached.isEmpty() || fetchable > tokensFetchableFrom(nextMostCached.get())) {
            nextMostCached = Optional.of(engine);
        }
    }

    /** Returns the locations of the shared prefix of a prompt among the engines that are available. */
    static SharedPrefixLocations of(GenerationShape shape, List<UpstreamInstance> engines, long now) {
        return new SharedPrefixLocations(shape, engines, now);
    }

    /** Returns the tokens of the shared prefix. */
    int tokens() {
        return tokens;
    }

    /**
     * Returns the tokens of the shared prefix that an engine has probably cached, or will have when it prefills the
     * prompt.
     */
    int tokensCachedBy(UpstreamInstance engine) {
        return Math.min(tokens, engine.promptCache.cachedPrefixTokens(shape.segments()));
    }

    /** Returns the tokens of the shared prefix that other engines can fetch from an engine now. */
    private int tokensFetchableFrom(UpstreamInstance engine) {
        return Math.min(tokens, engine.promptCache.fetchablePrefixTokens(shape.segments(), now));
    }

    /** Returns whether an engine is the home engine of the prefix, among the engines that generate. */
    boolean isHomeOfStreams(UpstreamInstance engine) {
        return engine.id.equals(homeEngine);
    }

    /** Returns the most tokens of the shared prefix that can be fetched from any engine. */
    int maxFetchableTokens() {
        return mostCached.map(this::tokensFetchableFrom).orElse(0);
    }

    /**
     * Returns another engine from which an engine may fetch segments of the shared prefix that it lacks. It does not
     * fetch segments that it has cached, and prefills those that the other has evicted, so that a wrong estimate costs
     * very little.
     */
    Optional<UpstreamInstance> sourceFor(UpstreamInstance engine) {
        int cachedTokens = engine.promptCache.cachedPrefixTokens(shape.segments());
        Optional<UpstreamInstance> other =
                mostCached.filter(candidate -> candidate != engine).or(() -> nextMostCached);
        return other.filter(candidate -> tokensFetchableFrom(candidate) >= cachedTokens + MIN_FETCH_TOKENS);
    }

    /** Returns the tokens of the shared prefix that an engine has probably cached or can fetch. */
    int tokensAvailableTo(UpstreamInstance engine) {
        return Math.max(
                tokensCachedBy(engine),
                sourceFor(engine).map(this::tokensFetchableFrom).orElse(0));
    }

    private static int sharedTokens(List<PromptSegment> segments) {
        int sum = 0;
        for (PromptSegment segment : segments.subList(0, Math.max(0, segments.size() - 1))) {
            sum += segment.tokens();
        }
        return sum;
    }

    private String findHomeEngine() {
        int segments = shape.segments().size();
        if (segments < 2) {
            return "";
        }
        String lastSharedSegment = shape.segments().get(segments - 2).id();
        String best = "";
        long highest = Long.MIN_VALUE;
        for (UpstreamInstance engine : engines) {
            if (!engine.generatesTokens()) {
                continue;
            }
            long hash = LongHashFunction.xx3().hashChars(lastSharedSegment + engine.id);
            if (hash > highest) {
                highest = hash;
                best = engine.id;
            }
        }
        return best;
    }
}
