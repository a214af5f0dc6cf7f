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
 * What all entries counted, as they told one control process. Words may come late, twice or in any order: of two counts
 * of one start of an entry the higher is the later. What an entry counted before it ended stays.
 */
public final class UsageAggregator {

    /** Silence after which an entry is not waited for any more. */
    private static final long LEASE = Durations.nanos(4_000);

    /** One start of an entry. */
    private record Source(Address entry, long incarnation) {}

    /** What one start of an entry told. */
    private static final class Told {
        private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();
        /** Version of the entry's counts up to which nothing is missing here. */
        private long heard;

        private long until;
        private long heardAt;
    }

    private final Map<Source, Told> sources = new HashMap<>();

    private UsageAggregator() {}

    /**
     * Makes counts of a starting control process.
     *
     * @return the counts
     */
    public static UsageAggregator create() {
        return new UsageAggregator();
    }

    /**
     * Takes what an entry tells.
     *
     * @param now         the time in nanoseconds
     * @param entry       its address
     * @param incarnation its start
     * @param subscribe   what it tells
     * @return the version of its counts up to which nothing is missing here
     */
    public long onReport(long now, Address entry, long incarnation, Subscribe subscribe) {
        Told told = sources.computeIfAbsent(new Source(entry, incarnation), key -> new Told());
        told.heardAt = now;
        told.until = Math.max(told.until, subscribe.getUsageUntil());
        for (UsageWindow window : subscribe.getUsageList()) {
            Map<String, Integer> counts = told.windows.computeIfAbsent(window.getWindow(), key -> new HashMap<>());
            for (OrganisationCount row : window.getCountsList()) {
                counts.merge(row.getOrganisation(), row.getCount(), Math::max);
            }
        }
        // What was told to a former life of this process is not here, so that the entry has to tell it again.
        if (subscribe.getUsageSince() <= told.heard) {
            told.heard = Math.max(told.heard, subscribe.getUsageVersion());
        }
        return told.heard;
    }

    /**
     * Forgets windows that stand for good, and entries that are gone and left nothing.
     *
     * @param now  the time in nanoseconds
     * @param last the number of the last window that stands
     */
    public void discardThrough(long now, long last) {
        sources.values().forEach(told -> told.windows.headMap(last, true).clear());
        sources.values().removeIf(told -> told.windows.isEmpty() && !isHeard(now, told));
    }

    private static boolean isHeard(long now, Told told) {
        return now - told.heardAt <= LEASE;
    }

    /**
     * Whether all entries that are heard have told all of a window.
     *
     * @param now    the time in nanoseconds
     * @param window its number
     * @return true if no count of it is to come, as far as is known
     */
    public boolean isComplete(long now, long window) {
        return sources.values().stream()
                .filter(told -> isHeard(now, told) && told.until > 0)
                .allMatch(told -> told.until > window);
    }

    /**
     * The window in which the fleet is: that in the middle of what entries say, so that no clock that is off decides.
     *
     * @param now the time in nanoseconds
     * @return its number, or nothing while no entry knows the time
     */
    public OptionalLong currentWindow(long now) {
        List<Long> until = sources.values().stream()
                .filter(told -> isHeard(now, told) && told.until > 0)
                .map(told -> told.until)
                .sorted()
                .toList();
        return until.isEmpty() ? OptionalLong.empty() : OptionalLong.of(until.get((until.size() - 1) / 2));
    }

    /**
     * The first window of which anything was counted.
     *
     * @return its number, if there is one
     */
    public OptionalLong firstWindow() {
        return sources.values().stream()
                .filter(told -> !told.windows.isEmpty())
                .mapToLong(told -> told.windows.firstKey())
                .min();
    }

    /**
     * What all entries counted in a window.
     *
     * @param window its number
     * @return the sums, in the order of the organisations' names
     */
    public UsageWindow sum(long window) {
        TreeMap<String, Integer> sums = new TreeMap<>(Comparator.naturalOrder());
        sources.values()
                .forEach(told -> told.windows
                        .getOrDefault(window, Map.of())
                        .forEach((organisation, count) -> sums.merge(organisation, count, Integer::sum)));
        UsageWindow.Builder sum = UsageWindow.newBuilder().setWindow(window);
        sums.forEach((organisation, count) -> sum.addCounts(
                OrganisationCount.newBuilder().setOrganisation(organisation).setCount(count)));
        return sum.build();
    }
}
