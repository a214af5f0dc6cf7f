package org.cuminshelf.shares;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The groups of a service, of which the least recently used is dropped when there are too many.
 *
 * @param <K> what identifies a group
 * @param <V> its state
 */
final class BoundedGroups<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxGroups;

    BoundedGroups(int maxGroups) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxGroups = maxGroups;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxGroups;
    }
}
