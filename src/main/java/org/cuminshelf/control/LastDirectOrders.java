package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.LogEntry;

/** The last committed order to each upstream that announces itself straight to control. Part of the global group. */
final class LastDirectOrders {

    /** Upstreams remembered; one that ended gets no further order, so the oldest can go. */
    private static final int MOST_UPSTREAMS = 4_096;

    private final LinkedHashMap<String, DirectOrder> last = new LinkedHashMap<>();
    private final List<DirectOrder> applied = new ArrayList<>();

    void apply(LogEntry entry) {
        DirectOrder order =
                entry.getDirectOrder().toBuilder().setNumber(entry.getIndex()).build();
        put(order);
        applied.add(order);
    }

    /** Takes the orders committed since the last question. */
    List<DirectOrder> takeApplied() {
        List<DirectOrder> taken = List.copyOf(applied);
        applied.clear();
        return taken;
    }

    Collection<DirectOrder> all() {
        return last.values();
    }

    void load(List<DirectOrder> saved) {
        last.clear();
        applied.clear();
        saved.forEach(this::put);
        // Whoever leads next must keep its distance from these too.
        applied.addAll(saved);
    }

    private void put(DirectOrder order) {
        last.remove(order.getUpstream());
        last.put(order.getUpstream(), order);
        if (last.size() > MOST_UPSTREAMS) {
            Map.Entry<String, DirectOrder> oldest = last.entrySet().iterator().next();
            last.remove(oldest.getKey());
        }
    }
}
