package org.cuminshelf.engines;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.cuminshelf.core.Address;

/**
 * Prompts that were sent to one engine and of which no output has been received: those of this entry, and those that
 * other entries reported.
 *
 * <p>An engine prefills prompts one after the other, so the time at which it will be free follows from when each was
 * sent and how long it takes. Observations correct this: a prompt that should have been prefilled and was not is still
 * in progress. The plain sum of prefill times would count work that is already done.
 *
 * <p>An engine that finishes a prompt continues with the most urgent one that waits there, and of equally urgent ones
 * with the one that was sent first. So an urgent prompt waits for the prompt in progress and for those at least as
 * urgent, not for the whole queue: estimated by the whole queue, urgent prompts seemed late and were refused while less
 * urgent ones were queued before them.
 */
public final class PromptQueue {

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Fraction of the time by which a prompt is overdue that it is expected to take still. If a prompt is overdue,
     * something large was misjudged, such as the tokens in the engine's cache; short prompts that were sent to such an
     * engine at once were 0.5 s late.
     */
    private static final double REMAINING_SHARE_OF_OVERDUE = 0.5;

    /** Priority in an engine's queue of a request that states none; 0 is the most urgent. */
    public static final int DEFAULT_PRIORITY = 5;
    /** Less urgent than any request. */
    private static final int LOWEST_PRIORITY = Integer.MAX_VALUE;

    /** The order in which an engine takes prompts that wait there. */
    private static final Comparator<PendingPrompt> SERVICE_ORDER =
            Comparator.comparingInt(PendingPrompt::priority).thenComparingLong(PendingPrompt::sentAt);

    /**
     * A prompt in progress.
     *
     * @param sentAt        when it was sent, in nanoseconds
     * @param prefillMillis milliseconds for which it occupies the engine
     * @param priority      its priority in the engine's queue, 0 being the most urgent
     */
    public record PendingPrompt(long sentAt, double prefillMillis, int priority) {

        /**
         * Creates a prompt of default priority.
         *
         * @param sentAt        when it was sent, in nanoseconds
         * @param prefillMillis milliseconds for which it occupies the engine
         */
        public PendingPrompt(long sentAt, double prefillMillis) {
            this(sentAt, prefillMillis, DEFAULT_PRIORITY);
        }
    }

    private final Map<Long, PendingPrompt> localPrompts = new HashMap<>();
    private final Map<Address, List<PendingPrompt>> remotePrompts = new HashMap<>();
    /** All prompts in the order in which they were sent; empty after a change, until the next query. */
    private Optional<List<PendingPrompt>> sortedPrompts = Optional.empty();

    /** Number of {@link #remotePrompts} of all entries. */
    private int remoteCount;
    /** Priority of the least urgent of the sorted prompts. */
    private int lowestPriority;

    private long lastPrefilledAt = Long.MIN_VALUE / 2;

    private PromptQueue() {}

    /**
     * Creates a queue without prompts.
     *
     * @return the queue
     */
    public static PromptQueue empty() {
        return new PromptQueue();
    }

    /**
     * Adds a prompt of this entry.
     *
     * @param attempt identity of the attempt
     * @param prompt  when it was sent and how long it takes
     */
    public void add(long attempt, PendingPrompt prompt) {
        localPrompts.put(attempt, prompt);
        sortedPrompts = Optional.empty();
    }

    /**
     * Removes a prompt of this entry.
     *
     * @param attempt identity of the attempt
     */
    public void remove(long attempt) {
        if (localPrompts.remove(attempt) != null) {
            sortedPrompts = Optional.empty();
        }
    }

    /**
     * Records that output of a prompt was received. The remaining prompts are prefilled after it.
     *
     * @param now the time in nanoseconds
     */
    public void onPrefilled(long now) {
        lastPrefilledAt = now;
    }

    /**
     * Replaces the prompts of another entry.
     *
     * @param entry   the other entry
     * @param prompts its prompts
     */
    public void setRemotePrompts(Address entry, List<PendingPrompt> prompts) {
        List<PendingPrompt> before =
                prompts.isEmpty() ? remotePrompts.remove(entry) : remotePrompts.put(entry, prompts);
        remoteCount += prompts.size() - (before == null ? 0 : before.size());
        if (before != null || !prompts.isEmpty()) {
            sortedPrompts = Optional.empty();
        }
    }

    /**
     * Returns the prompts of this entry.
     *
     * @return the prompts, in no particular order
     */
    public List<PendingPrompt> localPrompts() {
        return List.copyOf(localPrompts.values());
    }

    /**
     * Checks whether no prompt is in progress.
     *
     * @return true if no entry is known to have a prompt at the engine
     */
    public boolean isEmpty() {
        return localPrompts.isEmpty() && remotePrompts.isEmpty();
    }

    /**
     * Returns the number of prompts of all entries.
     *
     * @return their number
     */
    public int size() {
        return localPrompts.size() + remoteCount;
    }

    /**
     * Predicts how long the prompts in the queue still occupy the engine.
     *
     * @param now           the time in nanoseconds
     * @param latencyMillis milliseconds from the end of a prefill to the engine's first output
     * @return milliseconds
     */
    public double waitMillis(long now, double latencyMillis) {
        return waitMillis(now, latencyMillis, LOWEST_PRIORITY);
    }

    /**
     * Predicts how long a prompt that is sent now waits for others.
     *
     * @param now           the time in nanoseconds
     * @param latencyMillis milliseconds from the end of a prefill to the engine's first output
     * @param priority      its priority in the engine's queue, 0 being the most urgent
     * @return milliseconds
     */
    public double waitMillis(long now, double latencyMillis, int priority) {
        if (isEmpty()) {
            return 0;
        }
        double freeMillis = (lastPrefilledAt - now) / NANOS_PER_MILLI - latencyMillis;
        List<PendingPrompt> unsent = inSendOrder();
        if (lowestPriority <= priority) {
            return waitForAllMillis(now, freeMillis, unsent, latencyMillis);
        }
        PriorityQueue<PendingPrompt> waiting = new PriorityQueue<>(SERVICE_ORDER);
        int nextUnsent = 0;
        while (nextUnsent < unsent.size() || !waiting.isEmpty()) {
            if (waiting.isEmpty()) {
                freeMillis = Math.max(freeMillis, millisFrom(now, unsent.get(nextUnsent)));
            }
            while (nextUnsent < unsent.size() && millisFrom(now, unsent.get(nextUnsent)) <= freeMillis) {
                waiting.add(unsent.get(nextUnsent));
                nextUnsent++;
            }
            PendingPrompt next = waiting.poll();
            if (freeMillis > 0 && next.priority > priority) {
                return freeMillis;
            }
            freeMillis = endMillis(freeMillis, next, latencyMillis);
        }
        return Math.max(0, freeMillis);
    }

    /** Returns the same if all prompts precede the new one, so that their order among each other does not matter. */
    private static double waitForAllMillis(
            long now, double freeMillis, List<PendingPrompt> prompts, double latencyMillis) {
        double endMillis = freeMillis;
        for (PendingPrompt prompt : prompts) {
            endMillis = endMillis(Math.max(endMillis, millisFrom(now, prompt)), prompt, latencyMillis);
        }
        return Math.max(0, endMillis);
    }

    private static double millisFrom(long now, PendingPrompt prompt) {
        return (prompt.sentAt - now) / NANOS_PER_MILLI;
    }

    /** Returns when the prefill of a prompt ends that begins at a time; both in milliseconds from now. */
    private static double endMillis(double startMillis, PendingPrompt prompt, double latencyMillis) {
        double plannedMillis = startMillis + prompt.prefillMillis;
        // No output was received, so the prefill ended at most latencyMillis ago; an overdue one is still running.
        double overdueMillis = Math.max(0, -latencyMillis - plannedMillis);
        return Math.max(plannedMillis, -latencyMillis + REMAINING_SHARE_OF_OVERDUE * overdueMillis);
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
        lowestPriority = all.stream().mapToInt(PendingPrompt::priority).max().orElse(0);
        return all;
    }
}
