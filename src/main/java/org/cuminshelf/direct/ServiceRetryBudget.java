package org.cuminshelf.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Bounds how often requests of a service are sent once more, in each sliding window, to this entry's share of what all
 * entries together may: a ratio of its own requests, and an equal part of a fixed allowance. Guards against a retry
 * storm when many upstreams fail at once. Shares sum to less than the whole, as entries come and go unseen.
 *
 * <p>Requests are counted in the current window and the one before, whichever has more, as a dip in load is no reason
 * to withhold a retry.
 */
final class ServiceRetryBudget {

    private static final int SLICES = 10;
    /** Part of the whole that is handed out; the rest covers entries not counted yet and counts that lag. */
    private static final double USED = 0.7;

    private final double ratio;
    private final double allowance;
    private final long slice;
    private final Map<String, Deque<long[]>> slices = new HashMap<>();

    /**
     * Makes a budget.
     *
     * @param settings what all entries together may
     */
    ServiceRetryBudget(RetryLimits settings) {
        this.ratio = settings.ratio();
        this.allowance = settings.allowance();
        this.slice = Durations.nanos(settings.windowMillis()) / SLICES;
    }

    void onRequest(long now, String service) {
        current(now, service)[1]++;
    }

    /** Whether one more may be sent; counts it if so. */
    boolean tryAcquire(long now, String service, int entries) {
        long[] newest = current(now, service);
        long repeats = 0;
        long requests = 0;
        for (long[] row : slices.get(service)) {
            repeats += row[2];
            requests += row[1];
        }
        double limit = USED * (ratio * requests + allowance / Math.max(1, entries));
        if (repeats + 1 > limit) {
            return false;
        }
        newest[2]++;
        return true;
    }

    private long[] current(long now, String service) {
        long number = Math.floorDiv(now, slice);
        Deque<long[]> rows = slices.computeIfAbsent(service, key -> new ArrayDeque<>());
        if (rows.isEmpty() || rows.getLast()[0] != number) {
            rows.add(new long[] {number, 0, 0});
        }
        while (rows.getFirst()[0] <= number - SLICES) {
            rows.removeFirst();
        }
        return rows.getLast();
    }
}
