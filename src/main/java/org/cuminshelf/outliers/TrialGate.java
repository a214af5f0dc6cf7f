package org.cuminshelf.outliers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.core.Durations;

/**
 * Decides when an outlier gets a trial request: one at a time, and at intervals.
 *
 * <p>Guards against two failures: an upstream that has recovered gets no requests, so that nobody learns of it; and all
 * entries send a trial at the same moment, so that dozens of requests fail. Each entry waits for a pseudo-random time
 * in addition, and waits anew after each outcome that it learns of from another entry.
 *
 * <p>Times are nanoseconds of the monotonic clock. Not thread-safe.
 */
public final class TrialGate {

    /** Interval of the trials of one entry: four of them within the time in which a recovery should be known. */
    private static final long INTERVAL_NANOS = Durations.nanos(500);
    /** The same after several failures, which leaves time for a second trial within 2 s of a recovery. */
    private static final long LONG_INTERVAL_NANOS = Durations.nanos(1_000);

    private static final int MIN_FAILURES_FOR_LONG_INTERVAL = 3;
    /** Additional time after which a request is used for a trial that is lost if the trial fails. */
    private static final long NOT_REPEATABLE_DELAY_NANOS = Durations.nanos(250);

    private static final int HASH_BITS = 24;

    /** The trials of one upstream. */
    private static final class Trials {
        private boolean open;
        private long sentAt = Long.MIN_VALUE / 2;
        private long dueAt = Long.MIN_VALUE / 2;
        private int failures;
        private long outcomes;
    }

    private final long seed;
    private final Map<String, Trials> trials = new HashMap<>();

    private TrialGate(long seed) {
        this.seed = seed;
    }

    /**
     * Creates a gate without trials.
     *
     * @param seed seed of the pseudo-random times, different for each entry
     * @return the gate
     */
    public static TrialGate create(long seed) {
        return new TrialGate(seed);
    }

    /**
     * Returns whether a request may be sent to an outlier as a trial.
     *
     * @param upstream   id of the upstream instance
     * @param now        the time in nanoseconds
     * @param repeatable whether the request may be sent again if the trial fails
     * @return whether it may be sent
     */
    public boolean mayTry(String upstream, long now, boolean repeatable) {
        Trials state = state(upstream);
        return !state.open && now >= state.dueAt + (repeatable ? 0 : NOT_REPEATABLE_DELAY_NANOS);
    }

    /**
     * Records that a request is sent to an outlier.
     *
     * @param upstream id of the upstream instance
     * @param now      the time in nanoseconds
     */
    public void onSent(String upstream, long now) {
        Trials state = state(upstream);
        state.open = true;
        state.sentAt = now;
        state.dueAt = Math.max(state.dueAt, now + INTERVAL_NANOS);
    }

    /**
     * Records that the outcome of the last request is known, or never will be.
     *
     * @param upstream id of the upstream instance
     */
    public void onEnded(String upstream) {
        state(upstream).open = false;
    }

    /**
     * Records an outcome at an outlier, of this entry or another one.
     *
     * @param upstream    id of the upstream instance
     * @param now         the time in nanoseconds
     * @param failed      whether it was an error
     * @param spreadNanos time over which the entries spread their next trials, in nanoseconds
     */
    public void onOutcome(String upstream, long now, boolean failed, long spreadNanos) {
        Trials state = state(upstream);
        state.failures = failed ? state.failures + 1 : 0;
        state.outcomes++;
        long dueAt = now + waitNanos(state.failures) + (long) (spreadNanos * randomFraction(upstream, state.outcomes));
        state.dueAt = Math.max(dueAt, state.sentAt + INTERVAL_NANOS);
    }

    private static long waitNanos(int failures) {
        if (failures == 0) {
            return 0;
        }
        return failures < MIN_FAILURES_FOR_LONG_INTERVAL ? INTERVAL_NANOS : LONG_INTERVAL_NANOS;
    }

    private double randomFraction(String upstream, long outcomes) {
        long hash = LongHashFunction.xx3(seed + outcomes).hashChars(upstream);
        return (hash >>> 64 - HASH_BITS) / (double) (1 << HASH_BITS);
    }

    private Trials state(String upstream) {
        return trials.computeIfAbsent(upstream, key -> new Trials());
    }

    /**
     * Drops all upstreams but the given ones.
     *
     * @param upstreams ids of the instances that are kept
     */
    public void retain(Set<String> upstreams) {
        trials.keySet().retainAll(upstreams);
    }
}
