package org.cuminshelf.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Linearizable reads that wait until a quorum acknowledges a heartbeat round that was sent after them, and reads that
 * have been confirmed in this way. A read is named by its token.
 */
final class PendingReads {

    private final TreeMap<Long, List<Long>> tokensByRound = new TreeMap<>();
    private final List<Long> confirmed = new ArrayList<>();

    /** Adds a read that waits for the given round, the first one that is sent after the read. */
    void add(long round, long token) {
        tokensByRound.computeIfAbsent(round, key -> new ArrayList<>()).add(token);
    }

    /** Whether a read waits for a round later than the newest one that was sent. */
    boolean needsRoundAfter(long newestSentRound) {
        return !tokensByRound.isEmpty() && tokensByRound.lastKey() > newestSentRound;
    }

    /** Confirms the reads that wait for the given round or an earlier one, which a quorum has acknowledged. */
    void confirmUpTo(long round) {
        while (!tokensByRound.isEmpty() && tokensByRound.firstKey() <= round) {
            confirmed.addAll(tokensByRound.pollFirstEntry().getValue());
        }
    }

    /** Returns and removes the tokens of the confirmed reads. */
    List<Long> takeConfirmed() {
        if (confirmed.isEmpty()) {
            return List.of();
        }
        List<Long> taken = List.copyOf(confirmed);
        confirmed.clear();
        return taken;
    }

    void clear() {
        tokensByRound.clear();
        confirmed.clear();
    }
}
