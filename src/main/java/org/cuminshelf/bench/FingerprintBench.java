package org.cuminshelf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.poison.Fingerprint;
import org.cuminshelf.poison.PoisonRegistry;

/** What it costs a request to be looked up among the poison requests. */
public final class FingerprintBench {

    private static final int[] BODIES = {1 << 10, 12 << 10, 1 << 20};
    /** Bytes hashed for each figure; enough that the code is compiled for most of it. */
    private static final long BYTES = 4L << 30;

    private static final int LOOKUPS = 200_000_000;
    private static final double NANOS_PER_MICRO = 1e3;

    private FingerprintBench() {}

    /**
     * Measures.
     *
     * @return lines to print
     */
    public static List<String> measure() {
        List<String> lines = new ArrayList<>();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
        long sum = nothingKnown(lines);
        for (int size : BODIES) {
            byte[] body = new byte[size];
            random.nextBytes(body);
            int rounds = (int) Math.min(4_000_000, BYTES / size);
            sum += fingerprints(body, rounds / 4);
            long began = System.nanoTime();
            sum += fingerprints(body, rounds);
            double micros = (System.nanoTime() - began) / NANOS_PER_MICRO / rounds;
            lines.add(String.format(Locale.ROOT, "fingerprint of a body of %d bytes: %.2f us", size, micros));
        }
        lines.add("checksum " + sum);
        return lines;
    }

    private static long nothingKnown(List<String> lines) {
        PoisonRegistry register = new PoisonRegistry();
        long empty = 0;
        long began = System.nanoTime();
        for (int lookup = 0; lookup < LOOKUPS; lookup++) {
            empty += register.isEmpty() ? 1 : 0;
        }
        double nanos = (double) (System.nanoTime() - began) / LOOKUPS;
        lines.add(String.format(Locale.ROOT, "a request while no crash is known: %.2f ns", nanos));
        return empty;
    }

    private static long fingerprints(byte[] body, int rounds) {
        long sum = 0;
        for (int round = 0; round < rounds; round++) {
            body[round % body.length]++;
            sum += Fingerprint.of("POST", "host.example", "/path/of/a/request", "", body)
                    .low();
        }
        return sum;
    }
}
