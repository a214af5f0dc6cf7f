package org.cuminshelf.routes;

import java.util.List;

/**
 * One route.
 *
 * @param name          its name
 * @param host          the host it stands for, in lower case
 * @param pathPrefix    the beginning of the paths it stands for, with a slash at both ends
 * @param kind          what may be repeated
 * @param timeoutMillis longest time that a request is kept waiting for its answer
 * @param targetMillis  time within which an answer, or the first event of a stream, is worth most
 * @param priority      rank among routes; 0 goes first
 * @param services      where its requests go
 * @param maxAttempts   most upstreams to which one request is sent
 * @param resumable     whether a stream may go on at another upstream after the last event that was delivered
 * @param pauseMillis   longest pause between two events of a stream that counts as being on time; 0 if none is stated
 * @param publicRoute   whether its requests need no key of an organisation
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean resumable,
        long pauseMillis,
        boolean publicRoute) {

    /**
     * Whether a request may run more than once.
     *
     * @return true for idempotent requests and streams that may be resumed
     */
    public boolean isRepeatable() {
        return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Chooses the service of a request.
     *
     * @param choice any number that is spread evenly over requests
     * @return the name of a service with a weight above 0
     */
    public String service(long choice) {
        int sum = services.stream().mapToInt(WeightedService::weight).sum();
        long place = Math.floorMod(choice, (long) sum);
        for (WeightedService service : services) {
            place -= service.weight();
            if (place < 0) {
                return service.service();
            }
        }
        return services.getFirst().service();
    }
}
