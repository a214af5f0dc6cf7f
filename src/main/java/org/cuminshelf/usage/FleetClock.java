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
 * The time of day that most clocks of the fleet agree on, as an offset from the local monotonic clock.
 *
 * <p>Failure it guards against: the time of day of a VM is wrong by seconds, or jumps, and its calls are counted in the
 * wrong window. Each answer of a control process bounds the offset of its clock from the local monotonic clock, because
 * the clock was read between the request and the answer. The offset within the bounds of the most clocks is used
 * (Marzullo's algorithm, as in NTP). The local time of day is one of these clocks, so a minority of wrong clocks has no
 * effect.
 */
public final class FleetClock {

    /** Samples kept for each clock; the one with the narrowest bounds is used. */
    private static final int MAX_SAMPLES = 8;
    /** Maximum difference between two correct clocks. */
    private static final long MAX_CLOCK_DIFFERENCE_NANOS = Durations.nanos(50);
    /** Change of the local time of day against the monotonic clock after which all samples are discarded. */
    private static final long JUMP_THRESHOLD_NANOS = Durations.nanos(200);

    /** Time since its last answer after which a clock is ignored, once another clock answers. */
    private static final long SAMPLE_LIFETIME_NANOS = Durations.nanos(30_000);

    /** Bounds of an offset: nanoseconds from the monotonic clock to the time since the start of 1970. */
    private record Bounds(long lowest, long highest) {

        private long width() {
            return highest - lowest;
        }

        private long middle() {
            return lowest + width() / 2;
        }
    }

    /** The lower or upper end of the bounds of one clock. */
    private record Edge(long offset, boolean begins) {}

    private final Map<Address, Deque<Bounds>> samples = new HashMap<>();
    private final Map<Address, Long> lastSampleAtNanos = new HashMap<>();
    private OptionalLong ownOffsetNanos = OptionalLong.empty();
    private OptionalLong agreedOffsetNanos = OptionalLong.empty();

    private FleetClock() {}

    /**
     * Creates a clock without readings.
     *
     * @return the clock
     */
    public static FleetClock create() {
        return new FleetClock();
    }

    /**
     * Adds a reading of the local time of day.
     *
     * @param now        the local monotonic time in nanoseconds
     * @param unixMillis milliseconds since the start of 1970
     */
    public void addOwnReading(long now, long unixMillis) {
        long offsetNanos = Durations.nanos(unixMillis) - now;
        if (ownOffsetNanos.isPresent() && Math.abs(offsetNanos - ownOffsetNanos.getAsLong()) > JUMP_THRESHOLD_NANOS) {
            // Either the VM was suspended with its monotonic clock, which changes all offsets, or the time of day
            // jumped.
            samples.clear();
        }
        ownOffsetNanos = OptionalLong.of(offsetNanos);
        agreedOffsetNanos = OptionalLong.of(computeAgreedOffsetNanos());
    }

    /**
     * Adds a reading that another process took of its time of day.
     *
     * @param clock            the process
     * @param requestedAtNanos the local monotonic time of the request in nanoseconds
     * @param now              the local monotonic time of the answer in nanoseconds
     * @param unixMicros       the reading in between, in microseconds since the start of 1970
     */
    public void addRemoteReading(Address clock, long requestedAtNanos, long now, long unixMicros) {
        long readNanos = TimeUnit.MICROSECONDS.toNanos(unixMicros);
        Deque<Bounds> ofClock = samples.computeIfAbsent(clock, key -> new ArrayDeque<>());
        ofClock.add(new Bounds(
                readNanos - now - MAX_CLOCK_DIFFERENCE_NANOS / 2,
                readNanos - requestedAtNanos + MAX_CLOCK_DIFFERENCE_NANOS / 2));
        if (ofClock.size() > MAX_SAMPLES) {
            ofClock.remove();
        }
        lastSampleAtNanos.put(clock, now);
        // Clocks drift apart over days: processes that have ended must not outvote those that run.
        lastSampleAtNanos.values().removeIf(at -> now - at > SAMPLE_LIFETIME_NANOS);
        samples.keySet().retainAll(lastSampleAtNanos.keySet());
        agreedOffsetNanos = OptionalLong.of(computeAgreedOffsetNanos());
    }

    /**
     * Returns the time that most clocks agree on.
     *
     * @param now the monotonic time in nanoseconds
     * @return milliseconds since the start of 1970, or empty before the first reading
     */
    public OptionalLong unixMillis(long now) {
        return agreedOffsetNanos.isPresent()
                ? OptionalLong.of(Durations.millis(now + agreedOffsetNanos.getAsLong()))
                : OptionalLong.empty();
    }

    /** Returns the middle of the offsets within the bounds of the most clocks; on a tie, of the narrower range. */
    private long computeAgreedOffsetNanos() {
        List<Edge> edges = new ArrayList<>();
        samples.values()
                .forEach(ofClock -> ofClock.stream()
                        .min(Comparator.comparingLong(Bounds::width))
                        .ifPresent(bounds -> addEdges(edges, bounds)));
        ownOffsetNanos.ifPresent(offset -> addEdges(
                edges, new Bounds(offset - MAX_CLOCK_DIFFERENCE_NANOS / 2, offset + MAX_CLOCK_DIFFERENCE_NANOS / 2)));
        edges.sort(Comparator.comparingLong(Edge::offset).thenComparing(edge -> !edge.begins));
        int overlapping = 0;
        int maxOverlapping = 0;
        Bounds best = new Bounds(0, Long.MAX_VALUE);
        for (int index = 0; index < edges.size(); index++) {
            overlapping += edges.get(index).begins ? 1 : -1;
            if (index + 1 == edges.size()) {
                break;
            }
            Bounds between = new Bounds(edges.get(index).offset, edges.get(index + 1).offset);
            if (overlapping > maxOverlapping || overlapping == maxOverlapping && between.width() < best.width()) {
                maxOverlapping = overlapping;
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
