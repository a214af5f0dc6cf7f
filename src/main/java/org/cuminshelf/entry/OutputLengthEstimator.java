package org.cuminshelf.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminshelf.message.Generation;

/**
 * Estimates how many tokens an answer will have, by an exponentially weighted mean for each organisation and model.
 */
final class OutputLengthEstimator {

    private static final int MAX_ENTRIES = 10_000;
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Share of the token limit that is expected before any answer was recorded. */
    private static final double INITIAL_SHARE_OF_LIMIT = 0.5;

    private record Key(String organisation, String model) {}

    private final Map<Key, Double> means = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    double expectedTokens(String organisation, Generation generation) {
        double limit = generation.getMaxTokens();
        Double mean = means.get(new Key(organisation, generation.getModel()));
        return Math.min(limit, mean == null ? limit * INITIAL_SHARE_OF_LIMIT : mean);
    }

    /** Adds the length of a complete answer to the mean. */
    void observe(String organisation, String model, int tokens) {
        means.merge(
                new Key(organisation, model),
                (double) tokens,
                (mean, latest) -> mean + SMOOTHING_FACTOR * (latest - mean));
    }
}
