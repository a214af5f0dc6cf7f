package org.cuminshelf.entry;

import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The queue of calls that wait for an upstream. Calls of higher priority come first; within one priority, organisations
 * share by start-time fair queueing: the start tag of a call is the cost of its organisation's earlier calls, divided
 * by the organisation's weight, and at least the current virtual time.
 */
final class WaitingCalls {

    private static final int MAX_ORGANISATIONS = 10_000;

    private static final Comparator<CallRow> ORDER = Comparator.<CallRow>comparingInt(call -> -call.priority)
            .thenComparingDouble(call -> call.startTag)
            .thenComparingLong(call -> call.id);

    private final TreeSet<CallRow> calls = new TreeSet<>(ORDER);
    /** The start tag of the next call of each organisation. */
    private final Map<String, Double> nextStartTags = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_ORGANISATIONS;
        }
    };

    private double virtualTime;

    int size() {
        return calls.size();
    }

    /** Assigns a start tag to a new call and adds it to the queue. */
    void add(CallRow call, double cost, double weight) {
        String organisation = call.request.getOrganisation();
        double start = Math.max(virtualTime, nextStartTags.getOrDefault(organisation, 0.0));
        call.startTag = start;
        nextStartTags.put(organisation, start + cost / weight);
        calls.add(call);
    }

    /** Returns a call to the queue with its earlier start tag. */
    void requeue(CallRow call) {
        calls.add(call);
    }

    void remove(CallRow call) {
        calls.remove(call);
    }

    /** Removes a call that was assigned to an upstream and advances the virtual time to its start tag. */
    void removeRouted(CallRow call) {
        calls.remove(call);
        virtualTime = Math.max(virtualTime, call.startTag);
    }

    /** Returns an iterator over a copy, so that calls may be removed while iterating. */
    Iterator<CallRow> inOrder() {
        return java.util.List.copyOf(calls).iterator();
    }
}
