package org.cuminshelf.platform;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Counts and logs heartbeats that can't be read. Whoever sends them sends them again and again, so that the lines are
 * bounded; the counter tells of all of them.
 */
final class RejectedHeartbeats {

    /** Lines a second: enough to see who sends them. */
    private static final int MOST_LINES = 2;
    /** Characters of a name that are logged; those of upstreams are shorter. */
    private static final int MOST_CHARACTERS = 64;

    private final Counter count;
    private final LongSupplier clock;
    private long second = Long.MIN_VALUE;
    private int lines;

    private RejectedHeartbeats(Counter count, LongSupplier clock) {
        this.count = count;
        this.clock = clock;
    }

    /**
     * Registers the counter.
     *
     * @param registry where it is served from
     * @param clock    monotonic nanoseconds
     * @return the notes
     */
    static RejectedHeartbeats register(PrometheusRegistry registry, LongSupplier clock) {
        Counter count = Counter.builder()
                .name("cuminshelf_heartbeats_refused")
                .help("Heartbeats of upstreams that could not be read.")
                .register(registry);
        return new RejectedHeartbeats(count, clock);
    }

    /**
     * Notes a heartbeat that was refused.
     *
     * @param name  the name under which it came
     * @param wrong what is wrong with it
     * @return whether a line was written
     */
    boolean note(String name, String wrong) {
        count.inc();
        long now = TimeUnit.NANOSECONDS.toSeconds(clock.getAsLong());
        if (now != second) {
            second = now;
            lines = 0;
        }
        if (lines >= MOST_LINES) {
            return false;
        }
        lines++;
        String shown = name.length() > MOST_CHARACTERS ? name.substring(0, MOST_CHARACTERS) : name;
        Logger.info("control: event=heartbeat-refused name={} reason=\"{}\"", shown, wrong);
        return true;
    }
}
