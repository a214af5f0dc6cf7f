package org.cuminshelf.backpressure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** Rates of calls for one service at this entry and, as far as they report them, at the other entries. */
final class ServiceCallRates {

    /** Time for which a report is valid; an entry reports at least four times a second. */
    private static final long REPORT_LIFETIME_NANOS = Durations.nanos(1_000);

    private record RemoteRate(double perSecond, long receivedAt) {}

    private final CallRate local;
    private final Map<Address, RemoteRate> remoteRates = new HashMap<>();

    ServiceCallRates(long now) {
        this.local = new CallRate(now);
    }

    CallRate local() {
        return local;
    }

    void onRemoteRate(long now, Address entry, double perSecond) {
        remoteRates.put(entry, new RemoteRate(perSecond, now));
    }

    /**
     * Returns this entry's share of all calls. An entry without a valid report counts for as much as this one, so that
     * entries that can't reach each other each take an equal share instead of the whole limit.
     */
    double localShare(long now, Address self, List<Address> entries) {
        remoteRates.values().removeIf(remoteRate -> now - remoteRate.receivedAt > REPORT_LIFETIME_NANOS);
        double localPerSecond = Math.max(LimitSharing.MIN_CALLS_PER_SECOND, local.perSecond(now));
        double totalPerSecond = localPerSecond;
        for (Address entry : entries) {
            RemoteRate remoteRate = remoteRates.get(entry);
            if (!entry.equals(self)) {
                totalPerSecond += remoteRate == null
                        ? localPerSecond
                        : Math.max(LimitSharing.MIN_CALLS_PER_SECOND, remoteRate.perSecond);
            }
        }
        return localPerSecond / totalPerSecond;
    }
}
