package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.LogEntry;

/** The last committed order to each upstream without a sidecar. Part of the state machine of the global group. */
final class LastDirectOrders {

    /** Maximum number of upstreams; the one with the oldest order is evicted, as it has most likely ended. */
    private static final int MAX_UPSTREAMS = 4_096;

    private final LinkedHashMap<String, DirectOrder> lastByUpstream = new LinkedHashMap<>();
    private final List<DirectOrder> applied = new ArrayList<>();

    void apply(LogEntry entry) {
        DirectOrder order =
                entry.getDirectOrder().toBuilder().setNumber(entry.getIndex()).build();
        put(order);
        applied.add(order);
    }

    /** Removes and returns the orders applied since the last call. */
    List<DirectOrder> takeApplied() {
        List<DirectOrder> taken = List.copyOf(applied);
        applied.clear();
        return taken;
    }

    Collection<DirectOrder> all() {
        return lastByUpstream.values();
    }

    void load(List<DirectOrder> saved) {
        lastByUpstream.clear();
        applied.clear();
        saved.forEach(this::put);
        // A later leader must observe the order cooldown for the orders of the snapshot too.
        applied.addAll(saved);
    }

    private void put(DirectOrder order) {
        lastByUpstream.remove(order.getUpstream());
        lastByUpstream.put(order.getUpstream(), order);
        if (lastByUpstream.size() > MAX_UPSTREAMS) {
            Map.Entry<String, DirectOrder> oldest =
                    lastByUpstream.entrySet().iterator().next();
            lastByUpstream.remove(oldest.getKey());
        }
    }
}
