package org.cuminshelf.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Priority queue of deadlines with at most one deadline for each key. Keys with equal deadlines are returned in the
 * order in which their deadlines were set.
 *
 * <p>Replaced and removed deadlines stay in the heap as stale entries until they reach its head or outnumber the
 * current entries.
 *
 * @param <K> type of the keys
 */
public final class DeadlineQueue<K> {

    private record Entry<K>(long dueNanos, long sequence, K key) implements Comparable<Entry<K>> {
        @Override
        public int compareTo(Entry<K> other) {
            int byDeadline = Long.compare(dueNanos, other.dueNanos);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Entry<K>> heap = new PriorityQueue<>();
    private final Map<K, Entry<K>> current = new HashMap<>();
    private long nextSequence;

    private DeadlineQueue() {}

    /**
     * Creates an empty queue.
     *
     * @param <K> type of the keys
     * @return the queue
     */
    public static <K> DeadlineQueue<K> create() {
        return new DeadlineQueue<>();
    }

    /**
     * Sets the deadline of a key and replaces its previous one.
     *
     * @param key      the key
     * @param dueNanos deadline in nanoseconds
     */
    public void set(K key, long dueNanos) {
        Entry<K> entry = new Entry<>(dueNanos, nextSequence++, key);
        current.put(key, entry);
        heap.add(entry);
        compact();
    }

    /**
     * Sets the deadline of a key unless it already has the same or an earlier one.
     *
     * @param key      the key
     * @param dueNanos deadline in nanoseconds
     */
    public void setIfEarlier(K key, long dueNanos) {
        Entry<K> entry = current.get(key);
        if (entry == null || entry.dueNanos > dueNanos) {
            set(key, dueNanos);
        }
    }

    /**
     * Removes the deadline of a key, if it has one.
     *
     * @param key the key
     */
    public void clear(K key) {
        current.remove(key);
        compact();
    }

    /**
     * Removes and returns the next key that is due.
     *
     * @param nowNanos current time in nanoseconds
     * @return the key; empty if none is due
     */
    public Optional<K> poll(long nowNanos) {
        removeStaleHead();
        Entry<K> head = heap.peek();
        if (head == null || head.dueNanos > nowNanos) {
            return Optional.empty();
        }
        heap.poll();
        current.remove(head.key);
        return Optional.of(head.key);
    }

    /**
     * Returns the earliest deadline.
     *
     * @return time in nanoseconds, or {@link Core#NEVER} if the queue is empty
     */
    public long next() {
        removeStaleHead();
        Entry<K> head = heap.peek();
        return head == null ? Core.NEVER : head.dueNanos;
    }

    private void removeStaleHead() {
        Entry<K> head = heap.peek();
        while (head != null && current.get(head.key) != head) {
            heap.poll();
            head = heap.peek();
        }
    }

    private void compact() {
        int maxStaleEntries = 64;
        if (heap.size() > 2 * current.size() + maxStaleEntries) {
            heap.removeIf(entry -> current.get(entry.key) != entry);
        }
    }
}
