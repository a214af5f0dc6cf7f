package org.cuminshelf.usage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/**
 * The time of day that most clocks of the fleet agree on, over the own monotonic clock.
 *
 * <p>Failure it guards against: the time of day of a VM is off by seconds, or jumps, and its calls are counted in the
 * wrong window. Each answer of a control process bounds by how far its clock is ahead of the own monotonic one: the
 * clock was read between the question and the answer. The offset that lies within most clocks' bounds is taken
 * (Marzullo's algorithm, as in NTP), the own clock being one of them, so that a minority that is off changes nothing.
 */
public final class FleetClock {

    /** Samples remembered of each clock; the narrowest of them counts. */
    private static final int SAMPLES = 8;
    /** By how much two clocks that are right may differ. */
    private static final long CLOCKS_DIFFER = Durations.nanos(50);
    /** Change of the own clock against the monotonic one after which all samples are forgotten. */
    private static final long JUMP = Durations.nanos(200);

    /** Time after which a clock that gave no answer any more counts no more, if others do. */
    private static final long KEPT = Durations.nanos(30_000);

    /** Bounds of an offset: nanoseconds from the monotonic clock to the time since the start of 1970. */
    private record Bounds(long lowest, long highest) {

        private long width() {
            return highest - lowest;
        }

        private long middle() {
            return lowest + width() / 2;
        }
    }

    /** Where the bounds of one clock begin or end. */
    private record Edge(long offset, boolean begins) {}

    private final Map<Address, Deque<Bounds>> samples = new HashMap<>();
    private final Map<Address, Long> heardAt = new HashMap<>();
    private OptionalLong own = OptionalLong.empty();
    private OptionalLong agreed = OptionalLong.empty();

    private FleetClock() {}

    /**
     * Makes a clock that no other was compared with yet.
     *
     * @return the clock
     */
    public static FleetClock create() {
        return new FleetClock();
    }

    /**
     * Takes a reading of the own time of day.
     *
     * @param now        the monotonic time in nanoseconds
     * @param unixMillis milliseconds since the start of 1970
     */
    public void addOwnReading(long now, long unixMillis) {
        long offset = Durations.nanos(unixMillis) - now;
        if (own.isPresent() && Math.abs(offset - own.getAsLong()) > JUMP) {
            // The VM stood still without its monotonic clock, and then all offsets are another, or this clock jumped.
            samples.clear();
        }
        own = OptionalLong.of(offset);
        agreed = OptionalLong.of(agree());
    }

    /**
     * Takes another process's reading of its time of day.
     *
     * @param clock     the process
     * @param askedAt   monotonic time of the question in nanoseconds
     * @param now       monotonic time of the answer in nanoseconds
     * @param unixMicros what its clock showed in between, microseconds since the start of 1970
     */
    public void addRemoteReading(Address clock, long askedAt, long now, long unixMicros) {
        long read = TimeUnit.MICROSECONDS.toNanos(unixMicros);
        Deque<Bounds> of = samples.computeIfAbsent(clock, key -> new ArrayDeque<>());
        of.add(new Bounds(read - now - CLOCKS_DIFFER / 2, read - askedAt + CLOCKS_DIFFER / 2));
        if (of.size() > SAMPLES) {
            of.remove();
        }
        heardAt.put(clock, now);
        // Clocks run apart in days: those of processes that are gone must not outvote those that are there.
        heardAt.values().removeIf(at -> now - at > KEPT);
        samples.keySet().retainAll(heardAt.keySet());
        agreed = OptionalLong.of(agree());
    }

    /**
     * The time that most clocks agree on.
     *
     * @param now the monotonic time in nanoseconds
     * @return milliseconds since the start of 1970, or nothing before any clock was read
     */
    public OptionalLong unixMillis(long now) {
        return agreed.isPresent() ? OptionalLong.of(Durations.millis(now + agreed.getAsLong())) : OptionalLong.empty();
    }

    /** The middle of the offsets that most clocks allow; of two that as many allow, that which is known better. */
    private long agree() {
        List<Edge> edges = new ArrayList<>();
        samples.values()
                .forEach(of -> of.stream()
                        .min(Comparator.comparingLong(Bounds::width))
                        .ifPresent(bounds -> addEdges(edges, bounds)));
        own.ifPresent(offset -> addEdges(edges, new Bounds(offset - CLOCKS_DIFFER / 2, offset + CLOCKS_DIFFER / 2)));
        edges.sort(Comparator.comparingLong(Edge::offset).thenComparing(edge -> !edge.begins));
        int open = 0;
        int most = 0;
        Bounds best = new Bounds(0, Long.MAX_VALUE);
        for (int index = 0; index < edges.size(); index++) {
            open += edges.get(index).begins ? 1 : -1;
            if (index + 1 == edges.size()) {
                break;
            }
            Bounds between = new Bounds(edges.get(index).offset, edges.get(index + 1).offset);
            if (open > most || open == most && between.width() < best.width()) {
                most = open;
                best = between;
            }
        }
        return best.middle();
    }

    private static void addEdges(List<Edge> edges, Bounds bounds) {
        edges.add(new Edge(bounds.lowest, true));
        edges.add(new Edge(bounds.highest, false));
    }
}
