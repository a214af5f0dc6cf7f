package org.cuminshelf.direct;

import org.cuminshelf.core.Durations;

/** How long callers wait for the next event of a stream, or for a whole answer, before they disconnect. */
final class CallerTimeouts {

    /**
     * Longest time that a caller waits for the first event, or {@link #MAX_FIRST_EVENT_TARGETS} times the latency
     * target of the route, whichever is longer.
     */
    private static final double MAX_FIRST_EVENT_MILLIS = 1_900;

    private static final double MAX_FIRST_EVENT_TARGETS = 3.8;
    /** Time without an event after which the caller of a started stream disconnects, less a margin for the network. */
    private static final long MAX_EVENT_GAP_NANOS = Durations.nanos(1_900);
    /** Milliseconds reserved for the usual error of the estimated time to the first event of another attempt. */
    private static final double ESTIMATE_MARGIN_MILLIS = 30;

    private CallerTimeouts() {}

    /** Returns the milliseconds after which the caller of a stream without an event has disconnected. */
    static double maxFirstEventMillis(DirectCall call) {
        return Math.max(MAX_FIRST_EVENT_MILLIS, MAX_FIRST_EVENT_TARGETS * call.route.targetLatencyMillis());
    }

    /** Returns when the caller of a stream disconnects unless it receives an event before, in nanoseconds. */
    static long nextEventDueAt(DirectCall call) {
        return call.responseStarted
                ? call.lastEventAtNanos + MAX_EVENT_GAP_NANOS
                : call.arrivedAtNanos + Durations.nanos((long) maxFirstEventMillis(call));
    }

    /** Returns by when another attempt of a stream must be sent to deliver the next event in time, in nanoseconds. */
    static long latestSendAt(DirectCall call) {
        double ownMillis = call.estimatedFirstEventMillis - call.estimatedQueueMillis + ESTIMATE_MARGIN_MILLIS;
        return nextEventDueAt(call) - Durations.nanos((long) ownMillis);
    }
}
