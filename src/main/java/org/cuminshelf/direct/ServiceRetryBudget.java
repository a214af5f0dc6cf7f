package org.cuminshelf.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Limits the retries of each service in a sliding window to this entry's share of the limit for all entries together: a
 * ratio of its own requests, and an equal part of a fixed allowance. Guards against a retry storm when many upstreams
 * fail at once. The shares add up to less than the limit, as entries may start and stop without this entry knowing.
 */
final class ServiceRetryBudget {

    /** Slices of the sliding window; the oldest one is dropped as a whole. */
    private static final int SLICES = 10;
    /** Share of the limit that is used; the rest covers unknown entries and delayed counts. */
    private static final double USED_SHARE = 0.7;

    private final double ratio;
    private final double allowance;
    private final long sliceNanos;
    /** Slices of the window of each service, oldest first; each holds its number, its requests and its retries. */
    private final Map<String, Deque<long[]>> slices = new HashMap<>();

    /**
     * Creates a budget without any requests.
     *
     * @param limits the limits for all entries together
     */
    ServiceRetryBudget(RetryLimits limits) {
        this.ratio = limits.ratio();
        this.allowance = limits.allowance();
        this.sliceNanos = Durations.nanos(limits.windowMillis()) / SLICES;
    }

    /** Counts a request of a caller. */
    void onRequest(long now, String service) {
        currentSlice(now, service)[1]++;
    }

    /**
     * Returns whether one more retry may be sent, and counts it if so.
     *
     * @param now     the time in nanoseconds
     * @param service the service of the request
     * @param entries number of entries among which the allowance is divided
     */
    boolean tryAcquire(long now, String service, int entries) {
        boolean available = isAvailable(now, service, entries);
        if (available) {
            currentSlice(now, service)[2]++;
        }
        return available;
    }

    /** Returns whether one more retry may be sent, without counting it. */
    boolean isAvailable(long now, String service, int entries) {
        currentSlice(now, service);
        long retries = 0;
        long requests = 0;
        for (long[] slice : slices.get(service)) {
            retries += slice[2];
            requests += slice[1];
        }
        double limit = USED_SHARE * (ratio * requests + allowance / Math.max(1, entries));
        return retries + 1 <= limit;
    }

    /** Returns a retry that was counted lately, as it was not sent. */
    void giveBack(long now, String service) {
        currentSlice(now, service);
        Iterator<long[]> newestFirst = slices.get(service).descendingIterator();
        while (newestFirst.hasNext()) {
            long[] slice = newestFirst.next();
            if (slice[2] > 0) {
                slice[2]--;
                return;
            }
        }
    }

    private long[] currentSlice(long now, String service) {
        long number = Math.floorDiv(now, sliceNanos);
        Deque<long[]> serviceSlices = slices.computeIfAbsent(service, key -> new ArrayDeque<>());
        if (serviceSlices.isEmpty() || serviceSlices.getLast()[0] != number) {
            serviceSlices.add(new long[] {number, 0, 0});
        }
        while (serviceSlices.getFirst()[0] <= number - SLICES) {
            serviceSlices.removeFirst();
        }
        return serviceSlices.getLast();
    }
}
