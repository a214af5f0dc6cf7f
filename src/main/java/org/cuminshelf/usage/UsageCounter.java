package org.cuminshelf.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cuminshelf.message.OrganisationCount;
import org.cuminshelf.message.UsageWindow;

/**
 * What one entry counted since its start, by window and organisation. Counts only rise, and each change has a number,
 * so that what was told in vain is told again with the next.
 */
public final class UsageCounter {

    /** Windows remembered at the most: for as long as all of control may be away. */
    private static final int MOST_WINDOWS = 24;

    private static final class Row {
        private int count;
        private long changedAt;
    }

    private final TreeMap<Long, Map<String, Row>> windows = new TreeMap<>();
    private long version;
    private long settled;

    private UsageCounter() {}

    /**
     * Makes counts of a starting entry.
     *
     * @return the counts
     */
    public static UsageCounter create() {
        return new UsageCounter();
    }

    /**
     * Counts a call.
     *
     * @param window       the window in which it began
     * @param organisation in whose name
     * @return false if the counts of that window stand for good, so that it comes too late
     */
    public boolean count(long window, String organisation) {
        if (window <= settled) {
            return false;
        }
        Row row =
                windows.computeIfAbsent(window, key -> new TreeMap<>()).computeIfAbsent(organisation, key -> new Row());
        row.count++;
        row.changedAt = ++version;
        if (windows.size() > MOST_WINDOWS) {
            windows.pollFirstEntry();
        }
        return true;
    }

    /**
     * Forgets windows whose counts stand for good.
     *
     * @param last the number of the last of them
     */
    public void discardThrough(long last) {
        settled = Math.max(settled, last);
        windows.headMap(settled, true).clear();
    }

    /**
     * The number of the last change.
     *
     * @return the number, 0 before the first
     */
    public long version() {
        return version;
    }

    /**
     * What changed.
     *
     * @param since a number of a change
     * @return the rows that changed after it, by window
     */
    public List<UsageWindow> changesSince(long since) {
        List<UsageWindow> changed = new ArrayList<>();
        windows.forEach((window, rows) -> {
            UsageWindow.Builder told = UsageWindow.newBuilder().setWindow(window);
            rows.forEach((organisation, row) -> {
                if (row.changedAt > since) {
                    told.addCounts(OrganisationCount.newBuilder()
                            .setOrganisation(organisation)
                            .setCount(row.count));
                }
            });
            if (told.getCountsCount() > 0) {
                changed.add(told.build());
            }
        });
        return changed;
    }
}
