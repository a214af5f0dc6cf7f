package org.cuminshelf.entry;

import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The calls that wait for an upstream: the higher priority first, and within one priority fair by organisation (start
 * time fair queueing: each call is tagged with the service its organisation has had, over its weight).
 */
final class WaitingCalls {

    private static final int REMEMBERED_ORGANISATIONS = 10_000;

    private static final Comparator<CallRow> ORDER = Comparator.<CallRow>comparingInt(call -> -call.priority)
            .thenComparingDouble(call -> call.fairTag)
            .thenComparingLong(call -> call.id);

    private final TreeSet<CallRow> calls = new TreeSet<>(ORDER);
    private final Map<String, Double> lastTags = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > REMEMBERED_ORGANISATIONS;
        }
    };
    private double virtualTime;

    int size() {
        return calls.size();
    }

    /** Tags a new call and lets it wait. */
    void add(CallRow call, double cost, double weight) {
        String organisation = call.request.getOrganisation();
        double start = Math.max(virtualTime, lastTags.getOrDefault(organisation, 0.0));
        call.fairTag = start;
        lastTags.put(organisation, start + cost / weight);
        calls.add(call);
    }

    /** Lets a call wait again at the place it had. */
    void addAgain(CallRow call) {
        calls.add(call);
    }

    void remove(CallRow call) {
        calls.remove(call);
    }

    void taken(CallRow call) {
        calls.remove(call);
        virtualTime = Math.max(virtualTime, call.fairTag);
    }

    Iterator<CallRow> inOrder() {
        return java.util.List.copyOf(calls).iterator();
    }
}
