package org.cuminshelf.process;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cuminshelf.core.Invariants;
import org.tinylog.Logger;

/** Counts and logs breaches in a serving process. */
public final class CountingInvariants implements Invariants {

    private static final Counter BREACHES = Counter.builder()
            .name("cuminshelf_invariant_breaches")
            .help("Promises found broken; any value above 0 is a fault to report.")
            .labelNames("invariant")
            .register();

    private final AtomicLong count = new AtomicLong();

    private CountingInvariants() {}

    /**
     * Makes a receiver that has seen no breach.
     *
     * @return the receiver
     */
    public static CountingInvariants create() {
        return new CountingInvariants();
    }

    @Override
    public void check(boolean holds, String name, Supplier<String> detail) {
        if (!holds) {
            count.incrementAndGet();
            BREACHES.labelValues(name).inc();
            Logger.error("invariant: {} does not hold: {}.", name, detail.get());
        }
    }

    /**
     * Counts the breaches so far.
     *
     * @return their number
     */
    public long count() {
        return count.get();
    }
}
