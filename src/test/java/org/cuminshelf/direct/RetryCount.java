package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.core.Durations;

/** Compares what reached upstreams beyond the first arrival of each request with the limits, in sliding windows. */
public final class RetryCount {

    private final RetryLimits limits;
    private final double allowance;
    private final long windowNanos;
    private final List<Long> requests;
    private final List<Long> repeats;

    private RetryCount(RetryLimits limits, int services, List<Long> requests, List<Long> repeats) {
        this.limits = limits;
        this.allowance = services * limits.allowance();
        this.windowNanos = Durations.nanos(limits.windowMillis());
        this.requests = sorted(requests);
        this.repeats = sorted(repeats);
    }

    /**
     * Counts requests and repeats of all entries together.
     *
     * @param limits   the limits of each service
     * @param services number of services
     * @param requests when callers sent their requests, in nanoseconds
     * @param repeats  when arrivals beyond the first of their request reached upstreams, in nanoseconds
     * @return the count
     */
    public static RetryCount of(RetryLimits limits, int services, List<Long> requests, List<Long> repeats) {
        return new RetryCount(limits, services, requests, repeats);
    }

    private static List<Long> sorted(List<Long> times) {
        List<Long> sorted = new ArrayList<>(times);
        Collections.sort(sorted);
        return sorted;
    }

    /**
     * Describes the first window with more repeats than the limits allow.
     *
     * @return the description; empty if there is no such window
     */
    public Optional<String> excess() {
        return repeats.stream()
                .filter(end -> repeatsUpTo(end) > allowedUpTo(end))
                .findFirst()
                .map(end -> repeatsUpTo(end) + " repeats up to " + Durations.millis(end) + " ms, allowed "
                        + allowedUpTo(end));
    }

    /**
     * The largest share of the limit that any window uses.
     *
     * @return the share, 1 at the limit
     */
    public double largestUse() {
        return repeats.stream().mapToDouble(this::useUpTo).max().orElse(0);
    }

    /**
     * The share of the limit that the window up to a time uses.
     *
     * @param end the end of the window, in nanoseconds
     * @return the share, 1 at the limit
     */
    public double useUpTo(long end) {
        return repeatsUpTo(end) / allowedUpTo(end);
    }

    private long repeatsUpTo(long end) {
        return count(repeats, end);
    }

    private double allowedUpTo(long end) {
        long most = Math.max(
                count(requests, end),
                Math.max(count(requests, end - windowNanos / 2), count(requests, end - windowNanos)));
        return limits.ratio() * most + allowance;
    }

    private long count(List<Long> times, long end) {
        return upTo(times, end) - upTo(times, end - windowNanos);
    }

    /** Returns how many times are not after another one. */
    private static long upTo(List<Long> times, long end) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (times.get(middle) <= end) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
