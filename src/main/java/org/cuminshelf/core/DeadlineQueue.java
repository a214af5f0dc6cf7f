package org.cuminshelf.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The due times of a table's rows, one for each key, in the order they fall due.
 *
 * @param <K> the key of a row
 */
public final class DeadlineQueue<K> {

    private record Entry<K>(long due, long order, K key) implements Comparable<Entry<K>> {
        @Override
        public int compareTo(Entry<K> other) {
            int byDue = Long.compare(due, other.due);
            return byDue != 0 ? byDue : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Entry<K>> queue = new PriorityQueue<>();
    private final Map<K, Entry<K>> current = new HashMap<>();
    private long nextOrder;

    private DeadlineQueue() {}

    /**
     * Makes a table without due times.
     *
     * @param <K> the key of a row
     * @return the table
     */
    public static <K> DeadlineQueue<K> create() {
        return new DeadlineQueue<>();
    }

    /**
     * Sets the due time of a key, in place of an earlier one.
     *
     * @param key the key
     * @param due the time in nanoseconds
     */
    public void set(K key, long due) {
        Entry<K> entry = new Entry<>(due, nextOrder++, key);
        current.put(key, entry);
        queue.add(entry);
        compact();
    }

    /**
     * Sets the due time of a key unless it falls due earlier anyway.
     *
     * @param key the key
     * @param due the time in nanoseconds
     */
    public void setIfEarlier(K key, long due) {
        Entry<K> entry = current.get(key);
        if (entry == null || entry.due > due) {
            set(key, due);
        }
    }

    /**
     * Removes the due time of a key.
     *
     * @param key the key
     */
    public void clear(K key) {
        current.remove(key);
        compact();
    }

    /**
     * Takes the next key that is due.
     *
     * @param now the time in nanoseconds
     * @return the key, or nothing if none is due
     */
    public Optional<K> poll(long now) {
        skipStale();
        Entry<K> head = queue.peek();
        if (head == null || head.due > now) {
            return Optional.empty();
        }
        queue.poll();
        current.remove(head.key);
        return Optional.of(head.key);
    }

    /**
     * Tells when the next key falls due.
     *
     * @return the time in nanoseconds, or {@link Core#NEVER}
     */
    public long next() {
        skipStale();
        Entry<K> head = queue.peek();
        return head == null ? Core.NEVER : head.due;
    }

    private void skipStale() {
        Entry<K> head = queue.peek();
        while (head != null && current.get(head.key) != head) {
            queue.poll();
            head = queue.peek();
        }
    }

    private void compact() {
        int allowedStale = 64;
        if (queue.size() > 2 * current.size() + allowedStale) {
            queue.removeIf(entry -> current.get(entry.key) != entry);
        }
    }
}
