package org.cuminshelf.sidecar;

import java.util.TreeMap;
import org.cuminshelf.core.Address;

/** The session of one incarnation of an entry with this incarnation of the sidecar. */
final class EntrySession {

    /** Attempts remembered for each session; older ones are folded into the floor. */
    static final int REMEMBERED_ATTEMPTS = 512;

    final long id;
    final Address entry;
    final long entryIncarnation;
    final TreeMap<Long, AttemptRecord> attempts = new TreeMap<>();
    long lastHeard;
    /** An attempt at or below this number which is not in the table is refused. */
    long floor;

    long highestNumber;

    EntrySession(long id, Address entry, long entryIncarnation) {
        this.id = id;
        this.entry = entry;
        this.entryIncarnation = entryIncarnation;
    }

    /**
     * Remembers an attempt, folding the oldest that no longer run into the floor. Guards against a journal that grows
     * without bound: a number at or below the floor is refused, so forgetting its row can't let it start.
     */
    void remember(AttemptRecord row) {
        attempts.put(row.number, row);
        highestNumber = Math.max(highestNumber, row.number);
        while (attempts.size() > REMEMBERED_ATTEMPTS) {
            Long oldest = oldestFinished();
            if (oldest == null) {
                return;
            }
            attempts.remove(oldest);
            floor = Math.max(floor, oldest);
        }
    }

    boolean hasRunning() {
        return attempts.values().stream().anyMatch(row -> row.state == AttemptRecord.State.RUNNING);
    }

    private Long oldestFinished() {
        for (AttemptRecord row : attempts.values()) {
            if (row.state != AttemptRecord.State.RUNNING) {
                return row.number;
            }
        }
        return null;
    }
}
