package org.cuminshelf.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminshelf.message.Involvement;

/** One start of an upstream that crashed, and the requests that were there. */
final class CrashRecord {

    /**
     * A request that was there.
     *
     * @param involvement how far it had come
     * @param changeNumber   number of the last change
     */
    record Run(Involvement involvement, long changeNumber) {

        boolean isCleared() {
            return involvement == Involvement.CLEARED;
        }
    }

    final String upstream;
    final Map<Fingerprint, Run> runs = new LinkedHashMap<>();
    /** When it was first heard of, in nanoseconds. */
    final long firstReportedAt;
    /** When a request was last added, in nanoseconds. */
    long lastRequestAddedAt;
    /** Whether a request that is known to be poison was there. */
    boolean explained;

    CrashRecord(String upstream, long now) {
        this.upstream = upstream;
        this.firstReportedAt = now;
        this.lastRequestAddedAt = now;
    }

    boolean hasUncleared(Predicate<Fingerprint> predicate) {
        return runs.entrySet().stream().anyMatch(run -> !run.getValue().isCleared() && predicate.test(run.getKey()));
    }
}
