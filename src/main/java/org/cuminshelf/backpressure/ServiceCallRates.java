package org.cuminshelf.backpressure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/** Calls for one service at this entry and, as far as they tell, at the others. */
final class ServiceCallRates {

    /** What an entry told counts for as long; it tells four times a second at the least. */
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
     * The part of all calls that this entry has. An entry that tells nothing counts for as much as this one, so that
     * entries that don't hear each other each take an equal part and not the whole.
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
