package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.ReceivedRequest;

/**
 * Requests that came before a quorum confirmed the routes to a starting entry.
 *
 * <p>Failure it guards against: all processes restart together, callers find the entries before the control group has a
 * leader again, are refused, come back 0.2 s later and are refused for good. A leader is there within a second, so a
 * request waits for it, for half of its time at the most.
 */
final class StartupRequestQueue {

    /** Requests that wait at the most; what comes beyond is refused at once. */
    private static final int MOST = 2_000;
    /** Bytes of bodies that wait at the most: an eighth of the heap of an entry of today. */
    private static final long MOST_BYTES = 16 << 20;

    /**
     * One such request.
     *
     * @param request   the request
     * @param exchange  takes its answer
     * @param intent    what it asks for
     * @param arrivedAt when it came, in nanoseconds
     * @param until     when it is refused, in nanoseconds
     */
    record PendingRequest(
            ReceivedRequest request, CallerExchange exchange, CallIntent intent, long arrivedAt, long until) {}

    private final Map<CallerExchange, PendingRequest> requests = new LinkedHashMap<>();
    private long bytes;

    /** Takes a request in, unless there are too many. */
    boolean add(long now, ReceivedRequest request, CallerExchange exchange, CallIntent intent, long patienceMillis) {
        if (requests.size() >= MOST || bytes + request.body().length > MOST_BYTES) {
            return false;
        }
        bytes += request.body().length;
        long until = now + AdmissionQueue.maxDiscoveryWaitNanos(Durations.nanos(patienceMillis));
        requests.put(exchange, new PendingRequest(request, exchange, intent, now, until));
        return true;
    }

    /** The caller left. Returns whether its request was waiting here. */
    boolean remove(CallerExchange exchange) {
        PendingRequest removed = requests.remove(exchange);
        bytes -= removed == null ? 0 : removed.request.body().length;
        return removed != null;
    }

    /** Takes out all requests, in the order in which they came. */
    List<PendingRequest> drain() {
        List<PendingRequest> all = new ArrayList<>(requests.values());
        requests.clear();
        bytes = 0;
        return all;
    }

    /** Takes out a request that waited too long. */
    Optional<PendingRequest> pollExpired(long now) {
        Optional<PendingRequest> overdue =
                requests.values().stream().filter(early -> now >= early.until).findFirst();
        overdue.ifPresent(early -> remove(early.exchange));
        return overdue;
    }

    long nextDue() {
        return requests.values().stream().mapToLong(PendingRequest::until).min().orElse(Core.NEVER);
    }

    int size() {
        return requests.size();
    }
}
