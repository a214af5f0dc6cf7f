package org.cuminshelf.trial;

import java.util.PriorityQueue;

/** Virtual time: what is to happen, in order. */
final class VirtualTime {

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextOrder;
    private long count;

    /** The time in nanoseconds since the start of the run. */
    long now() {
        return now;
    }

    /** Events that happened so far. */
    long count() {
        return count;
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), nextOrder++, action));
    }

    void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    /** Lets everything happen up to a time. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            count++;
            event.action.run();
        }
        now = end;
    }
}
