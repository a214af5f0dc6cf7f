package org.cuminshelf.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the retries of each service to a share of its first tries. Guards against a retry storm: when a zone goes,
 * every call fails at once, and retries without a budget would multiply the load on what is left.
 */
final class RetryBudget {

    private static final double EARNED_PER_CALL = 0.2;
    private static final double LARGEST = 20;

    private final Map<String, Double> saved = new HashMap<>();

    void onCall(String target) {
        saved.put(target, Math.min(LARGEST, held(target) + EARNED_PER_CALL));
    }

    boolean take(String target) {
        double held = held(target);
        if (held < 1) {
            return false;
        }
        saved.put(target, held - 1);
        return true;
    }

    private double held(String target) {
        return saved.getOrDefault(target, LARGEST);
    }
}
