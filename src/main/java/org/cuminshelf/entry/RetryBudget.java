package org.cuminshelf.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries for each service or model to a share of its first attempts. This prevents a retry storm: when a
 * zone fails, every call fails at once, and unlimited retries would multiply the load on the remaining upstreams.
 */
final class RetryBudget {

    /** Retries that each new call adds to the budget. */
    private static final double TOKENS_PER_CALL = 0.2;

    private static final double MAX_TOKENS = 20;

    private final Map<String, Double> tokensByTarget = new HashMap<>();

    /** Adds the share of a new call to the budget. */
    void onCall(String target) {
        tokensByTarget.put(target, Math.min(MAX_TOKENS, tokens(target) + TOKENS_PER_CALL));
    }

    /** Takes one retry from the budget; returns whether one was available. */
    boolean tryTake(String target) {
        double tokens = tokens(target);
        if (tokens < 1) {
            return false;
        }
        tokensByTarget.put(target, tokens - 1);
        return true;
    }

    private double tokens(String target) {
        return tokensByTarget.getOrDefault(target, MAX_TOKENS);
    }
}
