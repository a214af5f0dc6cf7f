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
public final class Leavers {

    /** Time for which a start is remembered; it is gone long before. */
    private static final long KEPT = Durations.nanos(600_000);
    /** Time for which the other entries are told: each hears of it several times. */
    private static final long TOLD = Durations.nanos(2_000);

    private static final int MOST_KEPT = 10_000;

    /**
     * A start that leaves.
     *
     * @param at       when that was first heard, in nanoseconds
     * @param directly whether this entry heard it from the upstream, and not from another entry
     */
    private record Leaver(long at, boolean directly) {}

    private final Map<String, Leaver> leavers = new LinkedHashMap<>();

    private Leavers() {}

    /**
     * Makes a table in which no upstream leaves.
     *
     * @return the table
     */
    public static Leavers none() {
        return new Leavers();
    }

    /**
     * Takes an upstream's word that it leaves.
     *
     * @param now      the time in nanoseconds
     * @param start    identity of its start
     * @param directly whether it came in an answer to this entry, and not from another entry
     * @return whether that is news
     */
    public boolean add(long now, String start, boolean directly) {
        boolean news = leavers.putIfAbsent(start, new Leaver(now, directly)) == null;
        if (leavers.size() > MOST_KEPT) {
            leavers.remove(leavers.keySet().iterator().next());
        }
        return news;
    }

    /**
     * Tells whether an upstream said that it leaves.
     *
     * @param start identity of its start
     * @return true if it did
     */
    public boolean contains(String start) {
        return leavers.containsKey(start);
    }

    /**
     * What the other entries should hear.
     *
     * @param now the time in nanoseconds
     * @return starts that said lately to this entry that they leave
     */
    public List<String> heardHere(long now) {
        return leavers.entrySet().stream()
                .filter(entry -> entry.getValue().directly && now - entry.getValue().at < TOLD)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Forgets what is old.
     *
     * @param now the time in nanoseconds
     */
    public void tick(long now) {
        Iterator<Leaver> oldest = leavers.values().iterator();
        while (oldest.hasNext() && now - oldest.next().at > KEPT) {
            oldest.remove();
        }
    }
}
