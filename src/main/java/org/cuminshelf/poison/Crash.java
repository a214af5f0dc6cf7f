package org.cuminshelf.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminshelf.message.Involvement;

/** One start of an upstream that crashed, and the requests that were there. */
final class Crash {

    /**
     * A request that was there.
     *
     * @param involvement how far it had come
     * @param changedAt   number of the last change
     */
    record Run(Involvement involvement, long changedAt) {

        boolean isCleared() {
            return involvement == Involvement.CLEARED;
        }
    }

    final String upstream;
    final Map<Fingerprint, Run> runs = new LinkedHashMap<>();
    /** When it was first heard of, in nanoseconds. */
    final long knownSince;
    /** When a request was last added, in nanoseconds. */
    long lastAddedAt;
    /** Whether a request that is known to be poison was there. */
    boolean explained;

    Crash(String upstream, long now) {
        this.upstream = upstream;
        this.knownSince = now;
        this.lastAddedAt = now;
    }

    boolean holdsUncleared(Predicate<Fingerprint> wanted) {
        return runs.entrySet().stream().anyMatch(run -> !run.getValue().isCleared() && wanted.test(run.getKey()));
    }
}
