package org.cuminshelf.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminshelf.message.UpstreamBeat;

/**
 * Tells which upstreams are probably gone, as entries have reported that they crashed. Control learns of a crash some
 * milliseconds after the first request has failed there, and 5 s before the upstream lapses.
 *
 * <p>A report may be wrong. It holds until the next heartbeat of the upstream, and never again for the same instance.
 */
final class CrashHints {

    /** Most reports kept, twice those of the crash table; the oldest is dropped for a new one. */
    private static final int MAX_REPORTS = 256;

    private final Predicate<String> isReported;
    /** Sequence number of the last heartbeat that had arrived when the report was first seen, by upstream instance. */
    private final Map<String, Long> lastSequences = new LinkedHashMap<>();

    /**
     * Creates hints from the reports of entries.
     *
     * @param isReported whether an upstream instance, given its identity, was reported as crashed
     */
    CrashHints(Predicate<String> isReported) {
        this.isReported = isReported;
    }

    /** Records whether an upstream was reported as crashed; to be called before {@link #isProbablyGone}. */
    void observe(UpstreamBeat heartbeat) {
        if (!isReported.test(heartbeat.getId())) {
            return;
        }
        lastSequences.putIfAbsent(heartbeat.getId(), heartbeat.getSequence());
        if (lastSequences.size() > MAX_REPORTS) {
            lastSequences.remove(lastSequences.keySet().iterator().next());
        }
    }

    /** Returns whether an upstream was reported as crashed and has sent no heartbeat since. */
    boolean isProbablyGone(UpstreamBeat heartbeat) {
        Long lastSequence = lastSequences.get(heartbeat.getId());
        return lastSequence != null && heartbeat.getSequence() <= lastSequence;
    }
}
