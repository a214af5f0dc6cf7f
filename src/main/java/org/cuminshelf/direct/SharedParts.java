package org.cuminshelf.direct;

import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.message.Role;

/**
 * Where the parts of one prompt that other requests share probably are.
 *
 * <p>An entry knows what it sent to an engine itself. Of the others' prompts it knows that all entries turn first to
 * the same engine for a subject, its home: the one of highest rank by rendezvous hashing, so that a change of the fleet
 * moves few subjects. Each role has a home of its own.
 */
final class SharedParts {

    /** Part of the shared tokens that counts as held by the home, which may have dropped them. */
    private static final double HOME_CREDIT = 0.8;
    /** Tokens below which reading is as quick as having them fetched: 3 ms. */
    private static final int LEAST_FETCH = 256;

    private final GenerationShape shape;
    private final List<UpstreamRow> engines;
    private final int tokens;
    private final String prefillHome;
    private final String otherHome;
    /** The two engines that probably hold most, so that the choice of a source takes no second look at all. */
    private Optional<UpstreamRow> most = Optional.empty();

    private Optional<UpstreamRow> second = Optional.empty();

    private SharedParts(GenerationShape shape, List<UpstreamRow> engines) {
        this.shape = shape;
        this.engines = engines;
        this.tokens = sharedTokens(shape.parts());
        this.prefillHome = home(true);
        this.otherHome = home(false);
        engines.forEach(this::rank);
    }

    private void rank(UpstreamRow row) {
        int held = heldBy(row);
        if (most.isEmpty() || held > heldBy(most.get())) {
            second = most;
            most = Optional.of(row);
        } else if (second.isEmpty() || held > heldBy(second.get())) {
            second = Optional.of(row);
        }
    }

    /** Those of a prompt among the engines that may be asked. */
    static SharedParts of(GenerationShape shape, List<UpstreamRow> engines) {
        return new SharedParts(shape, engines);
    }

    /** Tokens of the parts that other requests share. */
    int tokens() {
        return tokens;
    }

    /** Tokens of the prompt that an engine probably holds. */
    int heldBy(UpstreamRow row) {
        return Math.min(tokens, row.cache.heldTokens(shape.parts()));
    }

    /** Whether an engine is the home of the subject among those that generate. */
    boolean isHomeOfStreams(UpstreamRow row) {
        return row.id.equals(otherHome);
    }

    /** Tokens of the prompt that the home of the prefill role, or else that of the others, probably holds. */
    int heldByHome() {
        return engines.stream()
                .filter(row -> row.id.equals(prefillHome) || prefillHome.isEmpty() && row.id.equals(otherHome))
                .mapToInt(this::heldBy)
                .findFirst()
                .orElse(0);
    }

    /**
     * Another engine from which an engine may fetch what it lacks of the shared parts. It fetches nothing that it
     * holds, and reads what the other turns out to have dropped, so that a wrong guess costs next to nothing.
     */
    Optional<UpstreamRow> sourceFor(UpstreamRow row) {
        int known = row.cache.heldTokens(shape.parts());
        Optional<UpstreamRow> other = most.filter(engine -> engine != row).or(() -> second);
        return other.filter(engine -> heldBy(engine) >= known + LEAST_FETCH);
    }

    /** Tokens of the prompt that an engine probably holds or can fetch. */
    int withinReachOf(UpstreamRow row) {
        return Math.max(heldBy(row), sourceFor(row).map(this::heldBy).orElse(0));
    }

    private static int sharedTokens(List<PromptPart> parts) {
        int sum = 0;
        for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            sum += part.tokens();
        }
        return sum;
    }

    private String home(boolean prefill) {
        int parts = shape.parts().size();
        if (parts < 2) {
            return "";
        }
        String subject = shape.parts().get(parts - 2).id();
        String best = "";
        long highest = Long.MIN_VALUE;
        for (UpstreamRow row : engines) {
            if ((row.role == Role.ROLE_PREFILL) != prefill) {
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
