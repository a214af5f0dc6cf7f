package org.cuminshelf.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminshelf.message.Involvement;

/** The crash of one upstream instance, and the requests and shared attributes that were there. */
final class CrashRecord {

    /**
     * A request that was running at the crash, or an attribute of such requests.
     *
     * @param attribute    the request or attribute
     * @param involvement  how long it had been running; of several requests, the one that had run for the shortest time
     * @param requests     requests with the attribute and that involvement
     * @param changeNumber number of its last change
     */
    record Run(RequestAttribute attribute, Involvement involvement, int requests, long changeNumber) {

        boolean isCleared() {
            return involvement == Involvement.CLEARED;
        }

        /** Whether another report of the same request or attribute says no more than this one. */
        boolean covers(Involvement other, int otherRequests) {
            int difference = involvement.getNumber() - other.getNumber();
            return difference > 0 || difference == 0 && (isCleared() || requests >= otherRequests);
        }
    }

    final String upstream;
    final Map<Fingerprint, Run> runs = new LinkedHashMap<>();
    /** When the crash was first reported, in nanoseconds. */
    final long firstReportedAt;
    /** When a suspect request was last added, in nanoseconds. */
    long lastRequestAddedAt;
    /** Whether a request that is known to be poison was running there. */
    boolean explained;

    CrashRecord(String upstream, long now) {
        this.upstream = upstream;
        this.firstReportedAt = now;
        this.lastRequestAddedAt = now;
    }

    boolean hasUncleared(Predicate<Fingerprint> predicate) {
        return runs.entrySet().stream().anyMatch(run -> !run.getValue().isCleared() && predicate.test(run.getKey()));
    }

    /** Checks whether a shared attribute that was there has been cleared. */
    boolean hasClearedAttribute() {
        return runs.values().stream()
                .anyMatch(run -> run.isCleared() && run.attribute().isShared());
    }

    /** Counts the shared attributes, or else the whole requests, that are kept of it. */
    long count(boolean shared) {
        return runs.values().stream()
                .filter(run -> run.attribute().isShared() == shared)
                .count();
    }
}
