package org.cuminshelf.backpressure;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Upstreams that said in an answer that they leave, by the identity of their starts.
 *
 * <p>Failure it guards against: an upstream leaves without a word to control, or is listed anew by a control process
 * that missed it, and gets new work until it is gone. A start that said so does not come back.
 */
public final class LeavingUpstreams {

    /** Time for which a start is remembered; it is gone long before. */
    private static final long RETENTION_NANOS = Durations.nanos(600_000);
    /** Time for which the other entries are told: each hears of it several times. */
    private static final long REPORT_PERIOD_NANOS = Durations.nanos(2_000);

    private static final int MAX_INSTANCES = 10_000;

    /**
     * A start that leaves.
     *
     * @param firstReportedAt       when that was first heard, in nanoseconds
     * @param reportedLocally whether this entry heard it from the upstream, and not from another entry
     */
    private record LeavingInstance(long firstReportedAt, boolean reportedLocally) {}

    private final Map<String, LeavingInstance> leavingInstances = new LinkedHashMap<>();

    private LeavingUpstreams() {}

    /**
     * Makes a table in which no upstream leaves.
     *
     * @return the table
     */
    public static LeavingUpstreams create() {
        return new LeavingUpstreams();
    }

    /**
     * Takes an upstream's word that it leaves.
     *
     * @param now      the time in nanoseconds
     * @param instanceId    identity of its start
     * @param reportedLocally whether it came in an answer to this entry, and not from another entry
     * @return whether that is news
     */
    public boolean add(long now, String instanceId, boolean reportedLocally) {
        boolean added = leavingInstances.putIfAbsent(instanceId, new LeavingInstance(now, reportedLocally)) == null;
        if (leavingInstances.size() > MAX_INSTANCES) {
            leavingInstances.remove(leavingInstances.keySet().iterator().next());
        }
        return added;
    }

    /**
     * Tells whether an upstream said that it leaves.
     *
     * @param instanceId identity of its start
     * @return true if it did
     */
    public boolean contains(String instanceId) {
        return leavingInstances.containsKey(instanceId);
    }

    /**
     * What the other entries should hear.
     *
     * @param now the time in nanoseconds
     * @return starts that said lately to this entry that they leave
     */
    public List<String> recentLocalReports(long now) {
        return leavingInstances.entrySet().stream()
                .filter(entry -> entry.getValue().reportedLocally
                        && now - entry.getValue().firstReportedAt < REPORT_PERIOD_NANOS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Forgets what is old.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        Iterator<LeavingInstance> oldest = leavingInstances.values().iterator();
        while (oldest.hasNext() && now - oldest.next().firstReportedAt > RETENTION_NANOS) {
            oldest.remove();
        }
    }
}
