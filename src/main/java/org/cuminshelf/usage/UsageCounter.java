package org.cuminshelf.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.UsageWindow;

/**
 * The calls that one entry counted since its start, by window and organisation. Counts never decrease, and each change
 * increases the version, so that changes in a lost report are included in the next one.
 */
public final class UsageCounter {

    /** Maximum number of windows kept, for the time that all control processes may be unavailable. */
    private static final int MAX_WINDOWS = 24;

    private static final class Count {
        private int value;
        private long changedAtVersion;
    }

    private final TreeMap<Long, Map<String, Count>> windows = new TreeMap<>();
    private long version;
    private long lastFinalWindow;

    private UsageCounter() {}

    /**
     * Creates the counter of a starting entry.
     *
     * @return the counter
     */
    public static UsageCounter create() {
        return new UsageCounter();
    }

    /**
     * Counts a call.
     *
     * @param window       the number of the window in which the call began to run
     * @param organisation the organisation of the call
     * @return false if the counts of that window are final already, so that the call is not counted
     */
    public boolean count(long window, String organisation) {
        if (window <= lastFinalWindow) {
            return false;
        }
        Count count = windows.computeIfAbsent(window, key -> new TreeMap<>())
                .computeIfAbsent(organisation, key -> new Count());
        count.value++;
        count.changedAtVersion = ++version;
        if (windows.size() > MAX_WINDOWS) {
            windows.pollFirstEntry();
        }
        return true;
    }

    /**
     * Discards the windows whose counts are final.
     *
     * @param lastWindow the number of the last such window
     */
    public void discardThrough(long lastWindow) {
        lastFinalWindow = Math.max(lastFinalWindow, lastWindow);
        windows.headMap(lastFinalWindow, true).clear();
    }

    /**
     * Returns the version of the counts.
     *
     * @return the version, 0 before the first change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the counts that changed after a version.
     *
     * @param since the version
     * @return the changed counts, by window
     */
    public List<UsageWindow> changesSince(long since) {
        List<UsageWindow> changed = new ArrayList<>();
        windows.forEach((window, counts) -> {
            UsageWindow.Builder changedCounts = UsageWindow.newBuilder().setWindow(window);
            counts.forEach((organisation, count) -> {
                if (count.changedAtVersion > since) {
                    changedCounts.addCounts(OrganisationCount.newBuilder()
                            .setOrganisation(organisation)
                            .setCount(count.value));
                }
            });
            if (changedCounts.getCountsCount() > 0) {
                changed.add(changedCounts.build());
            }
        });
        return changed;
    }
}
