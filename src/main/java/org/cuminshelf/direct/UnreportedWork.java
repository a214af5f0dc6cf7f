package org.cuminshelf.direct;

import java.util.EnumMap;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.message.Role;

/**
 * Work that other entries sent to engines and this one can't have heard of yet.
 *
 * <p>Answers the load pattern of many entries that hear of each other late: all see the same engine free, all send
 * there until the news is out, and their prompts wait for each other while other engines idle. What is probably on its
 * way to an engine is added to what is known to wait there, by a different share for each call and engine, so that
 * entries which know the same spread their calls over engines that are alike within what they can't know.
 */
final class UnreportedWork {

    /** Time in which the rate of work follows a change: long against the clumps of arrivals, short against the mix. */
    private static final double MEMORY_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int HASH_BITS = 24;
    /**
     * The most that a call reckons with, against the mean: what is sent unseen goes to few engines, those that seem to
     * be free.
     */
    private static final double MOST_SHARE = 6;

    /** Milliseconds of engines' work that this entry sends in a millisecond. */
    private static final class Rate {
        private double work;
        private long at;

        private double now(long now) {
            work *= Math.exp(-(now - at) / NANOS_PER_MILLI / MEMORY_MILLIS);
            at = now;
            return work / MEMORY_MILLIS;
        }
    }

    private final Map<Role, Rate> rates = new EnumMap<>(Role.class);

    /** Takes note of a prompt that this entry sent. */
    void recordSent(long now, Role role, double workMillis) {
        Rate rate = rates.computeIfAbsent(role, key -> new Rate());
        rate.now(now);
        rate.work += workMillis;
    }

    /**
     * The work that is probably on its way to each engine of a role, in milliseconds.
     *
     * @param now     the time in nanoseconds
     * @param role    the role
     * @param age     how old news of others is, in nanoseconds
     * @param others  the other entries
     * @param engines the engines of the role
     */
    double expectedMillis(long now, Role role, long age, int others, int engines) {
        Rate rate = rates.get(role);
        if (rate == null || engines == 0) {
            return 0;
        }
        return rate.now(now) * others * (age / NANOS_PER_MILLI) / engines;
    }

    /** The share of it that a call reckons with at an engine, evenly spread up to {@link #MOST_SHARE}. */
    static double randomShare(String engine, long callHash) {
        return MOST_SHARE * (LongHashFunction.xx3(callHash).hashChars(engine) >>> 64 - HASH_BITS) / (1 << HASH_BITS);
    }
}
