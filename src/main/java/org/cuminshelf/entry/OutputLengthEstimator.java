package org.cuminshelf.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cuminshelf.message.Generation;

/** How many tokens a model's answers have, learnt for each organisation by an exponentially weighted mean. */
final class OutputLengthEstimator {

    private static final int REMEMBERED = 10_000;
    private static final double WEIGHT_OF_NEW = 0.2;
    private static final double FIRST_GUESS_OF_LIMIT = 0.5;

    private record Key(String organisation, String model) {}

    private final Map<Key, Double> means = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > REMEMBERED;
        }
    };

    double expected(String organisation, Generation generation) {
        double limit = generation.getMaxTokens();
        Double mean = means.get(new Key(organisation, generation.getModel()));
        return Math.min(limit, mean == null ? limit * FIRST_GUESS_OF_LIMIT : mean);
    }

    void learn(String organisation, String model, int tokens) {
        means.merge(
                new Key(organisation, model),
                (double) tokens,
                (mean, latest) -> mean + WEIGHT_OF_NEW * (latest - mean));
    }
}
