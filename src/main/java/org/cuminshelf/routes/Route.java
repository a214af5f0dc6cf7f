package org.cuminshelf.routes;

import java.util.List;

/**
 * A route: assigns the requests of one host and path prefix to services.
 *
 * @param name                the name of the route
 * @param host                the host that it matches, in lower case
 * @param pathPrefix          the path prefix that it matches; begins and ends with a slash
 * @param kind                whether its requests may be repeated
 * @param timeoutMillis       maximum time that a request waits for its answer
 * @param targetLatencyMillis target latency of an answer, or of the first event of a stream; a later answer is worth
 *                            less
 * @param priority            priority among routes; 0 is the highest
 * @param services            the services that take its requests
 * @param maxAttempts         maximum number of upstreams to which one request is sent
 * @param resumable           whether another upstream may continue a stream after the last delivered event
 * @param maxEventGapMillis   maximum gap between two events of a stream that still counts as on time; 0 if not stated
 * @param publicRoute         whether its requests need no API key of an organisation
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean resumable,
        long maxEventGapMillis,
        boolean publicRoute) {

    /**
     * Returns whether a request may run more than once.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Chooses the service of a request in proportion to the weights.
     *
     * @param hash a number distributed uniformly over requests, such as a hash of the request's id
     * @return the name of a service with a weight above 0
     */
    public String chooseService(long hash) {
        int sum = services.stream().mapToInt(WeightedService::weight).sum();
        long place = Math.floorMod(hash, (long) sum);
        for (WeightedService service : services) {
            place -= service.weight();
            if (place < 0) {
                return service.service();
            }
        }
        return services.getFirst().service();
    }
}
