package org.cuminshelf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.PoisonRegistry;

/** Benchmark of the poison request check: the registry lookup and the fingerprint of a request body. */
public final class FingerprintBench {

    private static final int[] BODY_SIZES_BYTES = {1 << 10, 12 << 10, 1 << 20};
    /** Number of bytes hashed for each body size; large enough that most of the run executes compiled code. */
    private static final long HASHED_BYTES_PER_SIZE = 4L << 30;

    private static final int LOOKUPS = 200_000_000;
    private static final double NANOS_PER_MICRO = 1e3;

    private FingerprintBench() {}

    /**
     * Runs the benchmark.
     *
     * @return the result lines to print
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
        long checksum = lookUpInEmptyRegistry(lines);
        for (int bodyBytes : BODY_SIZES_BYTES) {
            byte[] body = new byte[bodyBytes];
            random.nextBytes(body);
            int rounds = (int) Math.min(4_000_000, HASHED_BYTES_PER_SIZE / bodyBytes);
            checksum += computeFingerprints(body, rounds / 4);
            long start = System.nanoTime();
            checksum += computeFingerprints(body, rounds);
            double meanMicros = (System.nanoTime() - start) / NANOS_PER_MICRO / rounds;
            lines.add(String.format(Locale.ROOT, "fingerprint of a body of %d bytes: %.2f us", bodyBytes, meanMicros));
        }
        lines.add("checksum " + checksum);
        return lines;
    }

    private static long lookUpInEmptyRegistry(List<String> lines) {
        PoisonRegistry registry = new PoisonRegistry();
        long emptyCount = 0;
        long start = System.nanoTime();
        for (int lookup = 0; lookup < LOOKUPS; lookup++) {
            emptyCount += registry.isEmpty() ? 1 : 0;
        }
        double meanNanos = (double) (System.nanoTime() - start) / LOOKUPS;
        lines.add(String.format(Locale.ROOT, "a request while no crash is known: %.2f ns", meanNanos));
        return emptyCount;
    }

    private static long computeFingerprints(byte[] body, int rounds) {
        long checksum = 0;
        for (int round = 0; round < rounds; round++) {
            body[round % body.length]++;
            checksum += Fingerprint.of("POST", "host.example", "/path/of/a/request", "", body)
                    .low();
        }
        return checksum;
    }
}
