package org.cuminshelf.direct;

import java.util.EnumMap;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.message.Role;

/**
 * Estimate of the prefill that other entries have sent to engines but not yet reported to this entry.
 *
 * <p>With many entries, reports are infrequent: all entries see the same engine idle and send prompts there until the
 * next reports, and these prompts wait for each other while other engines are idle. The estimated unreported work is
 * therefore added to the known backlog of an engine, weighted by a pseudo-random factor for each call and engine, so
 * that entries with the same reports spread their calls over engines whose backlogs differ by less than the unreported
 * work.
 */
final class UnreportedWork {

    /**
     * Time constant of the rate of work: long compared with clusters of arrivals, short compared with changes of the
     * mix of requests.
     */
    private static final double SMOOTHING_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int HASH_BITS = 24;
    /** Maximum weighting factor of the expected work: unreported prompts go to few engines, those that seem idle. */
    private static final double MAX_FACTOR = 6;

    /** Exponentially decaying sum of the prefill milliseconds that this entry sent. */
    private static final class Rate {
        private double workMillis;
        private long updatedAt;

        private double now(long now) {
            workMillis *= Math.exp(-(now - updatedAt) / NANOS_PER_MILLI / SMOOTHING_MILLIS);
            updatedAt = now;
            return workMillis / SMOOTHING_MILLIS;
        }
    }

    private final Map<Role, Rate> rates = new EnumMap<>(Role.class);

    /** Records a prompt that this entry sent. */
    void recordSent(long now, Role role, double workMillis) {
        Rate rate = rates.computeIfAbsent(role, key -> new Rate());
        rate.now(now);
        rate.workMillis += workMillis;
    }

    /**
     * Returns the expected unreported work at each engine of a role, in milliseconds.
     *
     * @param now      the time in nanoseconds
     * @param role     the role
     * @param ageNanos age of the reports of other entries, in nanoseconds
     * @param others   number of other entries
     * @param engines  number of engines of the role
     */
    double expectedMillis(long now, Role role, long ageNanos, int others, int engines) {
        Rate rate = rates.get(role);
        if (rate == null || engines == 0) {
            return 0;
        }
        return rate.now(now) * others * (ageNanos / NANOS_PER_MILLI) / engines;
    }

    /**
     * Returns the factor by which a call weights the unreported work at an engine, uniform from 0 to {@link
     * #MAX_FACTOR}.
     */
    static double randomFactor(String engine, long callHash) {
        return MAX_FACTOR * (LongHashFunction.xx3(callHash).hashChars(engine) >>> 64 - HASH_BITS) / (1 << HASH_BITS);
    }
}
