package org.cuminshelf.poison;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminshelf.message.Involvement;

/** The crash of one upstream instance, and the requests that were running there. */
final class CrashRecord {

    /**
     * A request that was running at the crash.
     *
     * @param involvement  how long it had been running
     * @param changeNumber number of its last change
     */
    record Run(Involvement involvement, long changeNumber) {

        boolean isCleared() {
            return involvement == Involvement.CLEARED;
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
}
