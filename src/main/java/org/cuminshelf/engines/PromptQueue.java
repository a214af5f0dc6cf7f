package org.cuminshelf.engines;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Address;

/**
 * The prompts that were sent to one engine and showed no sign of having been taken in yet: those of this entry, and
 * those that other entries told of.
 *
 * <p>An engine takes prompts one after the other. So the time at which it will be free follows from when each was sent
 * and how long it takes, and it is corrected by what is seen: a prompt that should have been taken in and wasn't is
 * still being read. Sums of what was sent would count the part that is done as if it were still to be done.
 */
public final class PromptQueue {

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Part of the time by which a prompt is overdue that it is expected to take still. An engine whose prompt is
     * overdue misjudged something large, such as parts that it was thought to hold; short prompts sent there at once
     * came 0.5 s late.
     */
    private static final double OVERDUE_SHARE = 0.5;

    /**
     * One prompt under way.
     *
     * @param sentAt     when it was sent, in nanoseconds
     * @param workMillis milliseconds for which it takes up the engine
     */
    public record Waiting(long sentAt, double workMillis) {}

    private final Map<Long, Waiting> own = new HashMap<>();
    private final Map<Address, List<Waiting>> others = new HashMap<>();
    /** All prompts in the order in which they were sent, made anew when it is next asked for after a change. */
    private Optional<List<Waiting>> ordered = Optional.empty();

    private long lastTakenAt = Long.MIN_VALUE / 2;

    private PromptQueue() {}

    /**
     * Makes a queue without any prompt.
     *
     * @return the queue
     */
    public static PromptQueue empty() {
        return new PromptQueue();
    }

    /**
     * Notes a prompt of this entry.
     *
     * @param attempt names it
     * @param prompt  when it was sent and what it takes
     */
    public void add(long attempt, Waiting prompt) {
        own.put(attempt, prompt);
        ordered = Optional.empty();
    }

    /**
     * Notes that a prompt of this entry doesn't wait any more.
     *
     * @param attempt names it
     */
    public void remove(long attempt) {
        if (own.remove(attempt) != null) {
            ordered = Optional.empty();
        }
    }

    /**
     * Notes that the engine showed that it took a prompt in. Whatever is still there was read after it.
     *
     * @param now the time in nanoseconds
     */
    public void taken(long now) {
        lastTakenAt = now;
    }

    /**
     * Takes what another entry has under way, in place of what it told before.
     *
     * @param entry   names the entry
     * @param prompts its prompts
     */
    public void told(Address entry, List<Waiting> prompts) {
        List<Waiting> before = prompts.isEmpty() ? others.remove(entry) : others.put(entry, prompts);
        if (before != null || !prompts.isEmpty()) {
            ordered = Optional.empty();
        }
    }

    /**
     * The prompts of this entry.
     *
     * @return them, in no order
     */
    public List<Waiting> own() {
        return List.copyOf(own.values());
    }

    /**
     * Tells whether nothing is under way.
     *
     * @return true if no entry is known to have a prompt there
     */
    public boolean isEmpty() {
        return own.isEmpty() && others.isEmpty();
    }

    /**
     * Tells how long the prompts that are there still take up the engine.
     *
     * @param now           the time in nanoseconds
     * @param latencyMillis milliseconds by which the sign that a prompt was taken in follows the engine's work on it
     * @return milliseconds
     */
    public double waitMillis(long now, double latencyMillis) {
        if (isEmpty()) {
            return 0;
        }
        double free = (lastTakenAt - now) / NANOS_PER_MILLI - latencyMillis;
        for (Waiting prompt : inOrder()) {
            double sentMillis = (prompt.sentAt - now) / NANOS_PER_MILLI;
            double end = Math.max(free, sentMillis) + prompt.workMillis;
            // No sign of it has come, so it ended no sooner than the latency ago; what is overdue lasts on.
            double overdue = Math.max(0, -latencyMillis - end);
            free = Math.max(end, -latencyMillis + OVERDUE_SHARE * overdue);
        }
        return Math.max(0, free);
    }

    private List<Waiting> inOrder() {
        if (ordered.isEmpty()) {
            ordered = Optional.of(sorted());
        }
        return ordered.get();
    }

    private List<Waiting> sorted() {
        List<Waiting> all = new ArrayList<>(own.values());
        others.values().forEach(all::addAll);
        all.sort(Comparator.comparingLong(Waiting::sentAt));
        return all;
    }
}
