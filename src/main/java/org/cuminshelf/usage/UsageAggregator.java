package org.cuminshelf.usage;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.Subscribe;
import org.cuminshelf.message.UsageWindow;

/**
 * The counts that all entries reported to one control process. Reports may arrive late, twice or in any order: of two
 * counts from the same incarnation of an entry, the higher one is the later. Counts of earlier incarnations are kept.
 */
public final class UsageAggregator {

    /** Time without a report after which an entry is no longer waited for. */
    private static final long LIVENESS_TIMEOUT_NANOS = Durations.nanos(4_000);

    /** One incarnation of an entry. */
    private record EntryIncarnation(Address entry, long incarnation) {}

    /** The counts reported by one incarnation of an entry. */
    private static final class ReportedUsage {
        private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();
        /** Version of the entry's counts up to which every change has been received. */
        private long receivedVersion;

        /** Number of the first window that the entry may still count in; 0 while the entry does not know the time. */
        private long firstOpenWindow;

        private long lastReportAtNanos;
    }

    private final Map<EntryIncarnation, ReportedUsage> reportedByEntry = new HashMap<>();

    private UsageAggregator() {}

    /**
     * Creates the aggregator of a starting control process.
     *
     * @return the aggregator
     */
    public static UsageAggregator create() {
        return new UsageAggregator();
    }

    /**
     * Adds the report of an entry.
     *
     * @param now         the monotonic time in nanoseconds
     * @param entry       the address of the entry
     * @param incarnation the incarnation of the entry
     * @param subscribe   the message with the report
     * @return the version of the entry's counts up to which every change has been received
     */
    public long onReport(long now, Address entry, long incarnation, Subscribe subscribe) {
        ReportedUsage reported =
                reportedByEntry.computeIfAbsent(new EntryIncarnation(entry, incarnation), key -> new ReportedUsage());
        reported.lastReportAtNanos = now;
        reported.firstOpenWindow = Math.max(reported.firstOpenWindow, subscribe.getUsageUntil());
        for (UsageWindow window : subscribe.getUsageList()) {
            Map<String, Integer> counts = reported.windows.computeIfAbsent(window.getWindow(), key -> new HashMap<>());
            for (OrganisationCount row : window.getCountsList()) {
                counts.merge(row.getOrganisation(), row.getCount(), Math::max);
            }
        }
        // Changes reported to an earlier incarnation of this process are missing here; the entry must report them
        // again.
        if (subscribe.getUsageSince() <= reported.receivedVersion) {
            reported.receivedVersion = Math.max(reported.receivedVersion, subscribe.getUsageVersion());
        }
        return reported.receivedVersion;
    }

    /**
     * Discards the windows whose counts are final, and silent entries without other counts.
     *
     * @param now        the monotonic time in nanoseconds
     * @param lastWindow the number of the last window whose counts are final
     */
    public void discardThrough(long now, long lastWindow) {
        reportedByEntry
                .values()
                .forEach(reported -> reported.windows.headMap(lastWindow, true).clear());
        reportedByEntry.values().removeIf(reported -> reported.windows.isEmpty() && !isLive(now, reported));
    }

    private static boolean isLive(long now, ReportedUsage reported) {
        return now - reported.lastReportAtNanos <= LIVENESS_TIMEOUT_NANOS;
    }

    /**
     * Returns whether all live entries have reported a window completely.
     *
     * @param now    the monotonic time in nanoseconds
     * @param window the number of the window
     * @return true if no live entry may still count in the window
     */
    public boolean isComplete(long now, long window) {
        return reportedByEntry.values().stream()
                .filter(reported -> isLive(now, reported) && reported.firstOpenWindow > 0)
                .allMatch(reported -> reported.firstOpenWindow > window);
    }

    /**
     * Returns the current window of the fleet: the median of what the live entries report, so that a wrong clock does
     * not decide it.
     *
     * @param now the monotonic time in nanoseconds
     * @return the number of the window, or empty while no live entry knows the time
     */
    public OptionalLong currentWindow(long now) {
        List<Long> openWindows = reportedByEntry.values().stream()
                .filter(reported -> isLive(now, reported) && reported.firstOpenWindow > 0)
                .map(reported -> reported.firstOpenWindow)
                .sorted()
                .toList();
        return openWindows.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(openWindows.get((openWindows.size() - 1) / 2));
    }

    /**
     * Returns the first window with any count.
     *
     * @return the number of the window, or empty if there is none
     */
    public OptionalLong firstWindow() {
        return reportedByEntry.values().stream()
                .filter(reported -> !reported.windows.isEmpty())
                .mapToLong(reported -> reported.windows.firstKey())
                .min();
    }

    /**
     * Returns the sums of all entries for a window.
     *
     * @param window the number of the window
     * @return the sums, ordered by the names of the organisations
     */
    public UsageWindow sum(long window) {
        TreeMap<String, Integer> sums = new TreeMap<>(Comparator.naturalOrder());
        reportedByEntry
                .values()
                .forEach(reported -> reported.windows
                        .getOrDefault(window, Map.of())
                        .forEach((organisation, count) -> sums.merge(organisation, count, Integer::sum)));
        UsageWindow.Builder sum = UsageWindow.newBuilder().setWindow(window);
        sums.forEach((organisation, count) -> sum.addCounts(
                OrganisationCount.newBuilder().setOrganisation(organisation).setCount(count)));
        return sum.build();
    }
}
