package org.cuminshelf.direct;

import java.util.LinkedHashMap;
import org.cuminshelf.engines.PrefillClock;

/**
 * The streams of this entry at one upstream that wait for their next event, and the intervals between their events
 * since the last load report.
 */
final class EventWaits {

    private static final double NANOS_PER_MILLI = 1e6;

    /** Time of the last event by attempt, the oldest first: each event moves its attempt to the end. */
    private final LinkedHashMap<Long, Long> lastEventAt = new LinkedHashMap<>();

    /** Time for which the upstream prefilled prompts, as far as known here. */
    final PrefillClock prefillClock = PrefillClock.create();

    private int unreportedCount;
    private double unreportedMillis;

    /** Records an event of an attempt, which waits for the next one from then on. */
    void onEvent(long now, long attempt) {
        lastEventAt.remove(attempt);
        lastEventAt.put(attempt, now);
    }

    /** Removes an attempt that has ended. */
    void remove(long attempt) {
        lastEventAt.remove(attempt);
    }

    /**
     * Returns the longest time for which an attempt has waited for its next event. A wait counts up to one usual
     * interval beyond the last event of the other attempts. Guards against one dead connection that makes an engine
     * seem to hang that still sends events to its other streams.
     *
     * @param now            until when waits count, in nanoseconds
     * @param intervalMillis usual interval between two events in milliseconds
     * @return milliseconds; 0 if no attempt waits
     */
    double awaitedMillis(long now, double intervalMillis) {
        if (isEmpty()) {
            return 0;
        }
        double oldestMillis = (now - lastEventAt.firstEntry().getValue()) / NANOS_PER_MILLI;
        double newestMillis = (now - lastEventAt.lastEntry().getValue()) / NANOS_PER_MILLI;
        return Math.max(0, Math.min(oldestMillis, newestMillis + intervalMillis));
    }

    /** Whether no attempt waits. */
    boolean isEmpty() {
        return lastEventAt.isEmpty();
    }

    /** Adds intervals between events to the next load report. */
    void addInterval(int count, double totalMillis) {
        unreportedCount += count;
        unreportedMillis += totalMillis;
    }

    boolean hasUnreported() {
        return unreportedCount > 0;
    }

    int unreportedCount() {
        return unreportedCount;
    }

    double unreportedMillis() {
        return unreportedMillis;
    }

    /** Starts the sums of the next load report. */
    void clearUnreported() {
        unreportedCount = 0;
        unreportedMillis = 0;
    }
}
