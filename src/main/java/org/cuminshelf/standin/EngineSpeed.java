package org.cuminshelf.standin;

import org.cuminshelf.core.Durations;

/**
 * How fast a stand-in engine is.
 *
 * @param prefillPerSecond prompt tokens taken in a second while nothing else runs
 * @param stepNanos        time of a decode step with one stream, in nanoseconds
 * @param decodePerSecond  output tokens a second over the whole batch at most
 * @param slots            streams at once
 * @param cacheBlocks      prefix blocks held
 * @param changeNanos      time of a role change, in nanoseconds
 * @param loadNanos        time to load a model or adapter, in nanoseconds
 * @param reportLagNanos   age of the load it reports, in nanoseconds
 * @param kvPerSecond      tokens of KV cache imported in a second
 */
public record EngineSpeed(
        int prefillPerSecond,
        long stepNanos,
        int decodePerSecond,
        int slots,
        int cacheBlocks,
        long changeNanos,
        long loadNanos,
        long reportLagNanos,
        int kvPerSecond) {

    /**
     * An engine of usual speed.
     *
     * @return 8,000 prompt tokens and 2,000 output tokens a second, 64 slots, 5 s for a role change
     */
    public static EngineSpeed usual() {
        return new EngineSpeed(
                8_000,
                Durations.nanos(10),
                2_000,
                64,
                2_048,
                Durations.nanos(5_000),
                Durations.nanos(3_000),
                Durations.nanos(500),
                100_000);
    }

    /**
     * An engine that hardly takes time, for tests and for measuring what the system itself costs.
     *
     * @return the speed
     */
    public static EngineSpeed instant() {
        return new EngineSpeed(
                50_000_000,
                Durations.nanos(1) / 20,
                50_000_000,
                4_096,
                2_048,
                Durations.nanos(300),
                Durations.nanos(200),
                Durations.nanos(50),
                100_000_000);
    }
}
