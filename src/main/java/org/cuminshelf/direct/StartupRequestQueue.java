package org.cuminshelf.direct;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.ReceivedRequest;

/**
 * Requests received before a quorum has confirmed the routes to a starting entry.
 *
 * <p>Guards against lost requests while all processes restart together: callers reach the entries before the control
 * group has a leader again, are refused, retry 0.2 s later and are refused for good. A leader is elected within a
 * second, so a request waits for it, for at most half of its time.
 */
final class StartupRequestQueue {

    /** Maximum number of waiting requests; further ones are refused at once. */
    private static final int MAX_REQUESTS = 2_000;
    /** Maximum size of the waiting bodies: an eighth of the heap of an entry in current deployments. */
    private static final long MAX_BODY_BYTES = 16 << 20;

    /**
     * A waiting request.
     *
     * @param request   the request
     * @param exchange  receives its answer
     * @param intent    the properties of the request that its routing depends on
     * @param arrivedAt when it was received, in nanoseconds
     * @param expiresAt when it is refused, in nanoseconds
     */
    record PendingRequest(
            ReceivedRequest request, CallerExchange exchange, CallIntent intent, long arrivedAt, long expiresAt) {}

    private final Map<CallerExchange, PendingRequest> requests = new LinkedHashMap<>();
    private long bodyBytes;

    /** Adds a request; returns false if the queue is full. */
    boolean add(long now, ReceivedRequest request, CallerExchange exchange, CallIntent intent, long totalMillis) {
        if (requests.size() >= MAX_REQUESTS || bodyBytes + request.body().length > MAX_BODY_BYTES) {
            return false;
        }
        bodyBytes += request.body().length;
        long expiresAt = now + AdmissionQueue.maxDiscoveryWaitNanos(Durations.nanos(totalMillis));
        requests.put(exchange, new PendingRequest(request, exchange, intent, now, expiresAt));
        return true;
    }

    /** Removes the request of a caller that disconnected. Returns whether it was waiting. */
    boolean remove(CallerExchange exchange) {
        PendingRequest removed = requests.remove(exchange);
        bodyBytes -= removed == null ? 0 : removed.request.body().length;
        return removed != null;
    }

    /** Removes and returns the oldest request. */
    Optional<PendingRequest> poll() {
        Optional<PendingRequest> oldest = requests.values().stream().findFirst();
        oldest.ifPresent(pending -> remove(pending.exchange));
        return oldest;
    }

    /** Removes and returns a request that has waited too long. */
    Optional<PendingRequest> pollExpired(long now) {
        Optional<PendingRequest> expired = requests.values().stream()
                .filter(pending -> now >= pending.expiresAt)
                .findFirst();
        expired.ifPresent(pending -> remove(pending.exchange));
        return expired;
    }

    long nextDue() {
        return requests.values().stream()
                .mapToLong(PendingRequest::expiresAt)
                .min()
                .orElse(Core.NEVER);
    }

    int size() {
        return requests.size();
    }
}
