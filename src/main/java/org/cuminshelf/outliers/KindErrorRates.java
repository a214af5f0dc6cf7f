package org.cuminshelf.outliers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Durations;

/**
 * The answers and errors of all upstreams of a service for one kind of work.
 *
 * <p>The sums are computed at intervals, so that an observation costs the same with any number of upstreams. No
 * upstream counts for more than an average one: one that fails fast attracts requests, and would otherwise raise the
 * rate that its own errors are compared with.
 */
final class KindErrorRates {

    private static final long REFRESH_INTERVAL_NANOS = Durations.nanos(50);
    /** Decayed answers below which an upstream is dropped. */
    private static final double MIN_ANSWERS = 0.01;

    /** The counts of an upstream, and what of them is in the sums. */
    private static final class Share {
        private final ErrorCount count;
        private double answers;
        private double errors;

        private Share(long now) {
            count = new ErrorCount(now);
        }
    }

    private final Map<String, Share> shares = new HashMap<>();
    private double answers;
    private double errors;
    private long refreshedAt = Long.MIN_VALUE / 2;

    void add(String upstream, long now, int newAnswers, int newErrors) {
        shares.computeIfAbsent(upstream, key -> new Share(now)).count.add(now, newAnswers, newErrors);
    }

    /** Brings the sums up to date if they are older than the interval. */
    void refresh(long now) {
        if (now - refreshedAt < REFRESH_INTERVAL_NANOS) {
            return;
        }
        refreshedAt = now;
        shares.values().forEach(share -> share.count.decay(now));
        double mean = shares.values().stream()
                .mapToDouble(share -> share.count.answers())
                .average()
                .orElse(0);
        answers = 0;
        errors = 0;
        for (Share share : shares.values()) {
            double weight = share.count.answers() > mean ? mean / share.count.answers() : 1;
            share.answers = weight * share.count.answers();
            share.errors = weight * share.count.errors();
            answers += share.answers;
            errors += share.errors;
        }
    }

    /** Answers of all upstreams but one, as of the last refresh. */
    double answersOfOthers(String upstream) {
        Share share = shares.get(upstream);
        return Math.max(0, answers - (share == null ? 0 : share.answers));
    }

    /** Errors of all upstreams but one, as of the last refresh. */
    double errorsOfOthers(String upstream) {
        Share share = shares.get(upstream);
        return Math.max(0, errors - (share == null ? 0 : share.errors));
    }

    boolean isEmpty() {
        return shares.isEmpty();
    }

    /** Drops upstreams that are not among the given ones or have no recent answers. */
    void retain(Set<String> upstreams, long now) {
        shares.values().forEach(share -> share.count.decay(now));
        shares.entrySet()
                .removeIf(entry -> !upstreams.contains(entry.getKey())
                        || entry.getValue().count.answers() < MIN_ANSWERS);
    }
}
