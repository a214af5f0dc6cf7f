package org.cuminshelf.usage;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminshelf.message.UsageWindow;

/**
 * The windows whose counts stand, as a group of control processes has them in its log.
 *
 * <p>Failure it guards against: two reports of one window with different counts. The first counts of a window that the
 * log holds stand; only they are reported, by whichever process.
 */
public final class CommittedUsage {

    /** Windows that wait for an acknowledgement at the most: what is older counts no more. */
    private static final int MOST_DUE = 64;

    private final TreeMap<Long, UsageWindow> due = new TreeMap<>();
    private long last;

    private CommittedUsage() {}

    /**
     * Makes no windows.
     *
     * @return the windows
     */
    public static CommittedUsage create() {
        return new CommittedUsage();
    }

    /**
     * Takes counts that were committed.
     *
     * @param window the window with its counts
     */
    public void commit(UsageWindow window) {
        if (window.getWindow() <= last) {
            return;
        }
        last = window.getWindow();
        due.put(last, window);
        if (due.size() > MOST_DUE) {
            due.pollFirstEntry();
        }
    }

    /**
     * Takes the committed word that a report was acknowledged.
     *
     * @param window the number of its window
     */
    public void acknowledge(long window) {
        due.remove(window);
    }

    /**
     * The last window whose counts stand; those before it do too, or are given up.
     *
     * @return its number, 0 before the first
     */
    public long lastWindow() {
        return last;
    }

    /**
     * The window to report next.
     *
     * @return the oldest one without an acknowledgement
     */
    public Optional<UsageWindow> nextToReport() {
        return Optional.ofNullable(due.firstEntry()).map(entry -> entry.getValue());
    }

    /**
     * All windows without an acknowledgement.
     *
     * @return the windows, oldest first
     */
    public List<UsageWindow> unacknowledged() {
        return List.copyOf(due.values());
    }

    /**
     * Takes what a snapshot holds.
     *
     * @param lastWindow the last window whose counts stand
     * @param waiting    the windows without an acknowledgement
     */
    public void restore(long lastWindow, List<UsageWindow> waiting) {
        last = lastWindow;
        due.clear();
        waiting.forEach(window -> due.put(window.getWindow(), window));
    }
}
