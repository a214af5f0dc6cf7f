package org.cuminshelf.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Durations;

/**
 * Limits the retries of each service in a sliding window to this entry's share of the limit for all entries together: a
 * ratio of its own requests, and an equal part of a fixed allowance. Guards against a retry storm when many upstreams
 * fail at once.
 *
 * <p>An entry that has run for less than a window does not know what it granted before its restart. It uses the part of
 * the limit that older entries leave, and its part of the allowance grows with its age, so that no series of restarts
 * adds up to more than the limit.
 */
final class ServiceRetryBudget {

    /** Slices of the sliding window, from the newest one on. */
    private static final int WINDOW_SLICES = 20;
    /** Slices for which a sent retry counts: the window, the slice in progress, and one for the way to the upstream. */
    private static final int RETRY_SLICES = WINDOW_SLICES + 2;
    /** Share of the limit that an entry uses. */
    private static final double USED_SHARE = 0.7;
    /** The same for an entry that has run for less than a window: what older ones leave. */
    private static final double YOUNG_SHARE = 1 - USED_SHARE;

    /** What was counted in one slice. */
    private static final class Slice {
        private final long number;
        private long requests;
        private long retries;

        private Slice(long number) {
            this.number = number;
        }
    }

    /** The window of one service. */
    private static final class Window {
        /** Oldest first. */
        private final Deque<Slice> slices = new ArrayDeque<>();
        /** Retries that were granted and not sent yet. */
        private long reserved;

        private Slice current(long number) {
            if (slices.isEmpty() || slices.getLast().number != number) {
                slices.add(new Slice(number));
            }
            while (slices.getFirst().number <= number - RETRY_SLICES) {
                slices.removeFirst();
            }
            return slices.getLast();
        }

        private long retries() {
            return reserved + slices.stream().mapToLong(slice -> slice.retries).sum();
        }

        private long requests(long number) {
            return slices.stream()
                    .filter(slice -> slice.number > number - WINDOW_SLICES)
                    .mapToLong(slice -> slice.requests)
                    .sum();
        }
    }

    private final double ratio;
    private final double allowance;
    private final long sliceNanos;
    private final long startNanos;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates a budget without any requests.
     *
     * @param limits the limits for all entries together
     * @param now    when this entry started, in nanoseconds
     */
    ServiceRetryBudget(RetryLimits limits, long now) {
        this.ratio = limits.ratio();
        this.allowance = limits.allowance();
        this.sliceNanos = Durations.nanos(limits.windowMillis()) / WINDOW_SLICES;
        this.startNanos = now;
    }

    /** Counts a request of a caller. */
    void onRequest(long now, String service) {
        window(service).current(sliceNumber(now)).requests++;
    }

    /**
     * Grants one more retry if the limit allows it.
     *
     * @param now     the time in nanoseconds
     * @param service the service of the request
     * @param entries number of entries among which the allowance is divided
     */
    Optional<RetryGrant> reserve(long now, String service, int entries) {
        if (!isAvailable(now, service, entries, 1)) {
            return Optional.empty();
        }
        window(service).reserved++;
        return Optional.of(new RetryGrant(service));
    }

    /** Returns whether so many more retries may be sent. */
    boolean isAvailable(long now, String service, int entries, int count) {
        return used(now, service) + count <= limit(now, service, entries);
    }

    /** Returns the retries that count now: those sent in the window, and those granted and not sent yet. */
    long used(long now, String service) {
        Window window = window(service);
        window.current(sliceNumber(now));
        return window.retries();
    }

    /** Returns the number of retries that may count now. */
    double limit(long now, String service, int entries) {
        Window window = window(service);
        long number = sliceNumber(now);
        window.current(number);
        double allowanceHere = allowance / Math.max(1, entries);
        double share = USED_SHARE;
        if (isYoung(now)) {
            allowanceHere *= (double) (now - startNanos) / (RETRY_SLICES * sliceNanos);
            share = YOUNG_SHARE;
        }
        return share * (ratio * window.requests(number) + allowanceHere);
    }

    /** Returns whether this entry may have granted retries in the window before it started. */
    boolean isYoung(long now) {
        return now - startNanos < RETRY_SLICES * sliceNanos;
    }

    /** Records that the request of a grant is sent now. */
    void onSent(long now, RetryGrant grant) {
        Window window = window(grant.service());
        Slice slice = window.current(sliceNumber(now));
        window.reserved--;
        slice.retries++;
        grant.markSent(slice.number);
    }

    /** Records that the request of a grant never left this process, so that the grant is held for another one. */
    void onNotSent(RetryGrant grant) {
        Window window = window(grant.service());
        window.slices.stream()
                .filter(slice -> slice.number == grant.sentInSlice())
                .forEach(slice -> slice.retries--);
        window.reserved++;
        grant.markNotSent();
    }

    /** Takes back a grant that is not used. */
    void release(RetryGrant grant) {
        window(grant.service()).reserved--;
    }

    private Window window(String service) {
        return windows.computeIfAbsent(service, key -> new Window());
    }

    private long sliceNumber(long now) {
        return Math.floorDiv(now, sliceNanos);
    }
}
