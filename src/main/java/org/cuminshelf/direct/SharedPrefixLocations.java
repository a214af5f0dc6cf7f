package org.cuminshelf.direct;

import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Where the parts of one prompt that other requests share probably are.
 *
 * <p>Entries tell each other what they send, so each knows which engine was given which part. Streams of a subject go
 * on at the same engine, its home: the one of highest rank by rendezvous hashing, so that a change of the fleet moves
 * few subjects.
 */
final class SharedPrefixLocations {

    /** Tokens below which reading is as quick as having them fetched: 3 ms. */
    private static final int LEAST_FETCH = 256;

    private final GenerationShape shape;
    private final long now;
    private final List<UpstreamInstance> engines;
    private final int tokens;
    private final String streamHome;
    /** The two engines that probably hold most, so that the choice of a source takes no second look at all. */
    private Optional<UpstreamInstance> most = Optional.empty();

    private Optional<UpstreamInstance> second = Optional.empty();

    private SharedPrefixLocations(GenerationShape shape, List<UpstreamInstance> engines, long now) {
        this.shape = shape;
        this.now = now;
        this.engines = engines;
        this.tokens = sharedTokens(shape.segments());
        this.streamHome = home();
        engines.forEach(this::rank);
    }

    private void rank(UpstreamInstance row) {
        int ready = readyAt(row);
        if (most.isEmpty() || ready > readyAt(most.get())) {
            second = most;
            most = Optional.of(row);
        } else if (second.isEmpty() || ready > readyAt(second.get())) {
            second = Optional.of(row);
        }
    }

    /** Those of a prompt among the engines that may be asked. */
    static SharedPrefixLocations of(GenerationShape shape, List<UpstreamInstance> engines, long now) {
        return new SharedPrefixLocations(shape, engines, now);
    }

    /** Tokens of the parts that other requests share. */
    int tokens() {
        return tokens;
    }

    /** Tokens of the prompt that an engine probably holds. */
    int tokensCachedBy(UpstreamInstance row) {
        return Math.min(tokens, row.promptCache.cachedPrefixTokens(shape.segments()));
    }

    /** Tokens of the prompt that another engine can fetch from an engine. */
    private int readyAt(UpstreamInstance row) {
        return Math.min(tokens, row.promptCache.fetchablePrefixTokens(shape.segments(), now));
    }

    /** Whether an engine is the home of the subject among those that generate. */
    boolean isHomeOfStreams(UpstreamInstance row) {
        return row.id.equals(streamHome);
    }

    /** Tokens of the prompt that the engine holds which holds most of it. */
    int maxCachedTokens() {
        return most.map(this::readyAt).orElse(0);
    }

    /**
     * Another engine from which an engine may fetch what it lacks of the shared parts. It fetches nothing that it
     * holds, and reads what the other turns out to have dropped, so that a wrong guess costs next to nothing.
     */
    Optional<UpstreamInstance> sourceFor(UpstreamInstance row) {
        int known = row.promptCache.cachedPrefixTokens(shape.segments());
        Optional<UpstreamInstance> other = most.filter(engine -> engine != row).or(() -> second);
        return other.filter(engine -> readyAt(engine) >= known + LEAST_FETCH);
    }

    /** Tokens of the prompt that an engine probably holds or can fetch. */
    int tokensAvailableTo(UpstreamInstance row) {
        return Math.max(tokensCachedBy(row), sourceFor(row).map(this::readyAt).orElse(0));
    }

    private static int sharedTokens(List<PromptSegment> parts) {
        int sum = 0;
        for (PromptSegment part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            sum += part.tokens();
        }
        return sum;
    }

    private String home() {
        int parts = shape.segments().size();
        if (parts < 2) {
            return "";
        }
        String subject = shape.segments().get(parts - 2).id();
        String best = "";
        long highest = Long.MIN_VALUE;
        for (UpstreamInstance row : engines) {
            if (!row.generatesTokens()) {
                continue;
            }
            long hash = LongHashFunction.xx3().hashChars(subject + row.id);
            if (hash > highest) {
                highest = hash;
                best = row.id;
            }
        }
        return best;
    }
}
