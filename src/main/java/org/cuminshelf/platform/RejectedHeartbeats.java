package org.cuminshelf.platform;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Counts and logs invalid heartbeats. A faulty sender repeats them, so the log lines are limited; the counter includes
 * all of them.
 */
final class RejectedHeartbeats {

    /** Enough to identify the sender. */
    private static final int MAX_LINES_PER_SECOND = 2;
    /** Length at which a logged name is cut off; valid upstream names are shorter. */
    private static final int MAX_LOGGED_CHARACTERS = 64;

    private final Counter counter;
    private final LongSupplier clock;
    private long currentSecond = Long.MIN_VALUE;
    private int linesThisSecond;

    private RejectedHeartbeats(Counter counter, LongSupplier clock) {
        this.counter = counter;
        this.clock = clock;
    }

    /**
     * Creates an instance and registers its counter.
     *
     * @param registry registry for the counter
     * @param clock    monotonic clock in nanoseconds
     * @return the instance
     */
    static RejectedHeartbeats register(PrometheusRegistry registry, LongSupplier clock) {
        Counter counter = Counter.builder()
                .name("cuminshelf_heartbeats_refused")
                .help("Heartbeats of upstreams that could not be read.")
                .register(registry);
        return new RejectedHeartbeats(counter, clock);
    }

    /**
     * Counts a rejected heartbeat and logs it unless this second's limit of lines is reached.
     *
     * @param name   the upstream name in the request
     * @param reason why the heartbeat is invalid
     * @return whether a line was logged
     */
    boolean countAndLog(String name, String reason) {
        counter.inc();
        long now = TimeUnit.NANOSECONDS.toSeconds(clock.getAsLong());
        if (now != currentSecond) {
            currentSecond = now;
            linesThisSecond = 0;
        }
        if (linesThisSecond >= MAX_LINES_PER_SECOND) {
            return false;
        }
        linesThisSecond++;
        String loggedName = name.length() > MAX_LOGGED_CHARACTERS ? name.substring(0, MAX_LOGGED_CHARACTERS) : name;
        Logger.info("control: event=heartbeat-refused name={} reason=\"{}\"", loggedName, reason);
        return true;
    }
}
