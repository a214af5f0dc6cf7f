package org.cuminshelf.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.WaitingStreams;

/**
 * The begun streams that wait for room, here and at the other entries, by service and software version.
 *
 * <p>Guards against new streams, which may begin at any version, taking the slots of the only version that can continue
 * the streams that wait. The sums are updated with each report, as each placement reads them.
 */
final class BegunStreamWaits {

    /** The upstreams that may continue a stream. */
    private record Target(String service, String version) {}

    /**
     * The last report of another entry.
     *
     * @param receivedAtNanos when it was received, in nanoseconds
     * @param rows            its rows
     */
    private record Report(long receivedAtNanos, List<WaitingStreams> rows) {}

    private final Map<Target, Integer> own = new HashMap<>();
    private final Map<Target, Integer> total = new HashMap<>();
    private final Map<Address, Report> reports = new HashMap<>();
    private boolean changed;

    // ---- streams of this entry

    /** Records that a call waits, if it is a begun stream. */
    void onWaitBegan(DirectCall call) {
        addOwn(call, 1);
    }

    /** Records that a call no longer waits, if it is a begun stream. */
    void onWaitEnded(DirectCall call) {
        addOwn(call, -1);
    }

    private void addOwn(DirectCall call, int count) {
        call.origin.filter(origin -> call.isBegun()).ifPresent(origin -> {
            Target target = new Target(call.service, origin.version());
            add(own, target, count);
            add(total, target, count);
            changed = true;
        });
    }

    private static void add(Map<Target, Integer> counts, Target target, int count) {
        counts.merge(target, count, (one, other) -> one + other == 0 ? null : one + other);
    }

    /** Whether a begun stream has begun or ceased to wait here since the last report. */
    boolean hasUnreportedChange() {
        return changed;
    }

    /** Adds the begun streams that wait here to a report of this entry, and returns whether there are any. */
    boolean addTo(EntryLoad.Builder load) {
        own.forEach((target, count) -> load.addWaitingStreams(WaitingStreams.newBuilder()
                .setService(target.service)
                .setVersion(target.version)
                .setCount(count)));
        changed = false;
        return !own.isEmpty();
    }

    // ---- reports of other entries

    /** Replaces what another entry last reported. */
    void onReport(long now, Address entry, List<WaitingStreams> rows) {
        Report previous =
                rows.isEmpty() ? reports.remove(entry) : reports.put(entry, new Report(now, List.copyOf(rows)));
        if (previous != null) {
            addRemote(previous.rows, -1);
        }
        addRemote(rows, 1);
    }

    private void addRemote(List<WaitingStreams> rows, int sign) {
        rows.stream()
                .filter(row -> row.getCount() > 0)
                .forEach(row -> add(total, new Target(row.getService(), row.getVersion()), sign * row.getCount()));
    }

    /** Forgets reports that are too old to count. */
    void tick(long now) {
        Set<Address> outdated = new HashSet<>();
        reports.forEach((entry, report) -> {
            if (now - report.receivedAtNanos > UpstreamTable.LOAD_RETENTION_NANOS) {
                outdated.add(entry);
            }
        });
        outdated.forEach(entry -> onReport(Core.NEVER, entry, List.of()));
    }

    // ---- what waits

    /** Returns the number of begun streams of all entries that wait for a version, as far as known here. */
    int waiting(String service, String version) {
        return total.getOrDefault(new Target(service, version), 0);
    }

    /** Whether no begun stream waits anywhere, as far as known here. */
    boolean isEmpty() {
        return total.isEmpty();
    }
}
