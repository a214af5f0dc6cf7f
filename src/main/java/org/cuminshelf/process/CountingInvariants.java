package org.cuminshelf.process;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.cuminshelf.core.Invariants;
import org.tinylog.Logger;

/** Counts and logs invariant violations instead of throwing, for processes that serve requests. */
public final class CountingInvariants implements Invariants {

    private static final Counter VIOLATIONS = Counter.builder()
            .name("cuminshelf_invariant_breaches")
            .help("Invariant violations detected; report any value above 0 as a bug.")
            .labelNames("invariant")
            .register();

    private final AtomicLong count = new AtomicLong();

    private CountingInvariants() {}

    /**
     * Creates a checker with a count of zero.
     *
     * @return the checker
     */
    public static CountingInvariants create() {
        return new CountingInvariants();
    }

    @Override
    public void check(boolean holds, String name, Supplier<String> detail) {
        if (!holds) {
            count.incrementAndGet();
            VIOLATIONS.labelValues(name).inc();
            Logger.error("invariant: {} does not hold: {}.", name, detail.get());
        }
    }

    /**
     * Returns the number of violations since this object was created.
     *
     * @return the number of violations
     */
    public long count() {
        return count.get();
    }
}
