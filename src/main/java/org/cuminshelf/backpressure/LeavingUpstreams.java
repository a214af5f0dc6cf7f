package org.cuminshelf.backpressure;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Durations;

/**
 * Upstream instances that announced in an answer that they are leaving.
 *
 * <p>Without this table an upstream that leaves without notifying control, or that is listed again by a control process
 * that missed the notice, receives new requests until it stops. An instance that announced its departure never returns.
 */
public final class LeavingUpstreams {

    /** Time for which an instance is remembered; it stops long before that. */
    private static final long RETENTION_NANOS = Durations.nanos(600_000);
    /** Time for which the other entries are notified: several reports reach each of them. */
    private static final long REPORT_PERIOD_NANOS = Durations.nanos(2_000);

    private static final int MAX_INSTANCES = 10_000;

    /**
     * An upstream instance that is leaving.
     *
     * @param firstReportedAt when the first notice was received, in nanoseconds
     * @param reportedLocally whether the upstream notified this entry, as opposed to another entry
     */
    private record LeavingInstance(long firstReportedAt, boolean reportedLocally) {}

    private final Map<String, LeavingInstance> leavingInstances = new LinkedHashMap<>();

    private LeavingUpstreams() {}

    /**
     * Creates an empty table.
     *
     * @return the table
     */
    public static LeavingUpstreams create() {
        return new LeavingUpstreams();
    }

    /**
     * Records that an upstream is leaving.
     *
     * @param now             the time in nanoseconds
     * @param instanceId      identity of the upstream instance
     * @param reportedLocally whether the notice came in an answer to this entry, as opposed to another entry
     * @return whether the instance was not known to be leaving
     */
    public boolean add(long now, String instanceId, boolean reportedLocally) {
        boolean added = leavingInstances.putIfAbsent(instanceId, new LeavingInstance(now, reportedLocally)) == null;
        if (leavingInstances.size() > MAX_INSTANCES) {
            leavingInstances.remove(leavingInstances.keySet().iterator().next());
        }
        return added;
    }

    /**
     * Checks whether an upstream is leaving.
     *
     * @param instanceId identity of the upstream instance
     * @return true if it is
     */
    public boolean contains(String instanceId) {
        return leavingInstances.containsKey(instanceId);
    }

    /**
     * Returns the instances to report to the other entries.
     *
     * @param now the time in nanoseconds
     * @return instances that recently notified this entry that they are leaving
     */
    public List<String> recentLocalReports(long now) {
        return leavingInstances.entrySet().stream()
                .filter(entry -> entry.getValue().reportedLocally
                        && now - entry.getValue().firstReportedAt < REPORT_PERIOD_NANOS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Removes expired instances.
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
