package org.cuminshelf.standin;

import org.cuminshelf.core.Durations;

/**
 * Performance parameters of a stand-in engine.
 *
 * @param prefillTokensPerSecond   prefill throughput in prompt tokens per second while no stream is decoding
 * @param decodeStepNanos          minimum duration of a decode step, in nanoseconds
 * @param decodeTokensPerSecond    maximum output tokens per second over the whole batch
 * @param slots                    maximum number of streams that decode concurrently
 * @param prefixCacheBlocks        capacity of the prefix cache in blocks
 * @param roleChangeNanos          duration of a role change, in nanoseconds
 * @param loadNanos                duration of any other order, such as loading a model or adapter, in nanoseconds
 * @param reportLagNanos           age of the reported load, in nanoseconds
 * @param kvImportTokensPerSecond  KV cache import rate in tokens per second
 */
public record EngineSpeed(
        int prefillTokensPerSecond,
        long decodeStepNanos,
        int decodeTokensPerSecond,
        int slots,
        int prefixCacheBlocks,
        long roleChangeNanos,
        long loadNanos,
        long reportLagNanos,
        int kvImportTokensPerSecond) {

    /**
     * Returns the default performance parameters.
     *
     * @return 8,000 prompt tokens and 2,000 output tokens per second, 64 slots, 5 s for a role change
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
     * Returns parameters with negligible processing time, for tests and for measuring the overhead of the system
     * itself.
     *
     * @return the parameters
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
