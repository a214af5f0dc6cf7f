package org.cuminshelf.backpressure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** Calls for one service at this entry and, as far as they tell, at the others. */
final class ServiceDemand {

    /** What an entry told counts for as long; it tells four times a second at the least. */
    private static final long TOLD_KEPT = Durations.nanos(1_000);

    private record Told(double perSecond, long at) {}

    private final CallRate own;
    private final Map<Address, Told> told = new HashMap<>();

    ServiceDemand(long now) {
        this.own = new CallRate(now);
    }

    CallRate own() {
        return own;
    }

    void told(long now, Address entry, double perSecond) {
        told.put(entry, new Told(perSecond, now));
    }

    /**
     * The part of all calls that this entry has. An entry that tells nothing counts for as much as this one, so that
     * entries that don't hear each other each take an equal part and not the whole.
     */
    double ownPart(long now, Address self, List<Address> entries) {
        told.values().removeIf(one -> now - one.at > TOLD_KEPT);
        double mine = Math.max(RateShare.LEAST_DEMAND, own.perSecond(now));
        double all = mine;
        for (Address entry : entries) {
            Told other = told.get(entry);
            if (!entry.equals(self)) {
                all += other == null ? mine : Math.max(RateShare.LEAST_DEMAND, other.perSecond);
            }
        }
        return mine / all;
    }
}
