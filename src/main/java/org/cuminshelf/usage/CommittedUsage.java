package org.cuminshelf.usage;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminshelf.message.UsageWindow;

/**
 * The windows whose counts are committed to the replicated log of a group of control processes.
 *
 * <p>Failure it guards against: two reports of one window with different counts. The counts of a window that are
 * committed first are final, and every process reports only those.
 */
public final class CommittedUsage {

    /** Maximum number of unacknowledged windows; older ones are dropped without a report. */
    private static final int MAX_UNACKNOWLEDGED = 64;

    private final TreeMap<Long, UsageWindow> unacknowledged = new TreeMap<>();
    private long lastWindow;

    private CommittedUsage() {}

    /**
     * Creates an instance without windows.
     *
     * @return the instance
     */
    public static CommittedUsage create() {
        return new CommittedUsage();
    }

    /**
     * Applies committed counts. Counts of the last committed window or an earlier one are ignored.
     *
     * @param window the window with its counts
     */
    public void commit(UsageWindow window) {
        if (window.getWindow() <= lastWindow) {
            return;
        }
        lastWindow = window.getWindow();
        unacknowledged.put(lastWindow, window);
        if (unacknowledged.size() > MAX_UNACKNOWLEDGED) {
            unacknowledged.pollFirstEntry();
        }
    }

    /**
     * Applies the committed acknowledgement of a report.
     *
     * @param window the number of the reported window
     */
    public void acknowledge(long window) {
        unacknowledged.remove(window);
    }

    /**
     * Returns the last committed window. Earlier windows are committed too, or were dropped.
     *
     * @return the number of the window, 0 before the first
     */
    public long lastWindow() {
        return lastWindow;
    }

    /**
     * Returns the window to report next.
     *
     * @return the oldest unacknowledged window; empty if there is none
     */
    public Optional<UsageWindow> nextToReport() {
        return Optional.ofNullable(unacknowledged.firstEntry()).map(entry -> entry.getValue());
    }

    /**
     * Returns all unacknowledged windows.
     *
     * @return the windows, oldest first
     */
    public List<UsageWindow> unacknowledged() {
        return List.copyOf(unacknowledged.values());
    }

    /**
     * Replaces the state by that of a snapshot.
     *
     * @param lastCommitted the number of the last committed window
     * @param windows       the unacknowledged windows
     */
    public void restore(long lastCommitted, List<UsageWindow> windows) {
        lastWindow = lastCommitted;
        unacknowledged.clear();
        windows.forEach(window -> unacknowledged.put(window.getWindow(), window));
    }
}
