package org.cuminshelf.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Questions of a leader that wait for a round of heartbeats which a quorum answers, and those whose round was. */
final class PendingReads {

    private final TreeMap<Long, List<Long>> byRound = new TreeMap<>();
    private final List<Long> confirmed = new ArrayList<>();

    /** Has a question wait for the first round that is sent after it. */
    void add(long round, long token) {
        byRound.computeIfAbsent(round, key -> new ArrayList<>()).add(token);
    }

    /** Whether a question waits for a round that has not been sent. */
    boolean needsRoundAfter(long sent) {
        return !byRound.isEmpty() && byRound.lastKey() > sent;
    }

    /** Takes note of the newest round that a quorum answered. */
    void reached(long round) {
        while (!byRound.isEmpty() && byRound.firstKey() <= round) {
            confirmed.addAll(byRound.pollFirstEntry().getValue());
        }
    }

    /** Takes the questions that are confirmed. */
    List<Long> takeConfirmed() {
        if (confirmed.isEmpty()) {
            return List.of();
        }
        List<Long> taken = List.copyOf(confirmed);
        confirmed.clear();
        return taken;
    }

    void clear() {
        byRound.clear();
        confirmed.clear();
    }
}
