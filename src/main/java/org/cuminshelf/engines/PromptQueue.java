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
    private static final double REMAINING_SHARE_OF_OVERDUE = 0.5;

    /**
     * One prompt under way.
     *
     * @param sentAt     when it was sent, in nanoseconds
     * @param prefillMillis milliseconds for which it takes up the engine
     */
    public record PendingPrompt(long sentAt, double prefillMillis) {}

    private final Map<Long, PendingPrompt> localPrompts = new HashMap<>();
    private final Map<Address, List<PendingPrompt>> remotePrompts = new HashMap<>();
    /** All prompts in the order in which they were sent, made anew when it is next asked for after a change. */
    private Optional<List<PendingPrompt>> sortedPrompts = Optional.empty();

    private long lastPrefilledAt = Long.MIN_VALUE / 2;

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
    public void add(long attempt, PendingPrompt prompt) {
        localPrompts.put(attempt, prompt);
        sortedPrompts = Optional.empty();
    }

    /**
     * Notes that a prompt of this entry doesn't wait any more.
     *
     * @param attempt names it
     */
    public void remove(long attempt) {
        if (localPrompts.remove(attempt) != null) {
            sortedPrompts = Optional.empty();
        }
    }

    /**
     * Notes that the engine showed that it took a prompt in. Whatever is still there was read after it.
     *
     * @param now the time in nanoseconds
     */
    public void onPrefilled(long now) {
        lastPrefilledAt = now;
    }

    /**
     * Takes what another entry has under way, in place of what it told before.
     *
     * @param entry   names the entry
     * @param prompts its prompts
     */
    public void setRemotePrompts(Address entry, List<PendingPrompt> prompts) {
        List<PendingPrompt> before =
                prompts.isEmpty() ? remotePrompts.remove(entry) : remotePrompts.put(entry, prompts);
        if (before != null || !prompts.isEmpty()) {
            sortedPrompts = Optional.empty();
        }
    }

    /**
     * The prompts of this entry.
     *
     * @return them, in no order
     */
    public List<PendingPrompt> localPrompts() {
        return List.copyOf(localPrompts.values());
    }

    /**
     * Tells whether nothing is under way.
     *
     * @return true if no entry is known to have a prompt there
     */
    public boolean isEmpty() {
        return localPrompts.isEmpty() && remotePrompts.isEmpty();
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
        double freeMillis = (lastPrefilledAt - now) / NANOS_PER_MILLI - latencyMillis;
        for (PendingPrompt prompt : inSendOrder()) {
            double sentMillis = (prompt.sentAt - now) / NANOS_PER_MILLI;
            double endMillis = Math.max(freeMillis, sentMillis) + prompt.prefillMillis;
            // No sign of it has come, so it ended no sooner than the latency ago; what is overdue lasts on.
            double overdueMillis = Math.max(0, -latencyMillis - endMillis);
            freeMillis = Math.max(endMillis, -latencyMillis + REMAINING_SHARE_OF_OVERDUE * overdueMillis);
        }
        return Math.max(0, freeMillis);
    }

    private List<PendingPrompt> inSendOrder() {
        if (sortedPrompts.isEmpty()) {
            sortedPrompts = Optional.of(sortBySendTime());
        }
        return sortedPrompts.get();
    }

    private List<PendingPrompt> sortBySendTime() {
        List<PendingPrompt> all = new ArrayList<>(localPrompts.values());
        remotePrompts.values().forEach(all::addAll);
        all.sort(Comparator.comparingLong(PendingPrompt::sentAt));
        return all;
    }
}
