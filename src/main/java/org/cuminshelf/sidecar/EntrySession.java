package org.cuminshelf.sidecar;

import java.util.TreeMap;
import org.cuminshelf.core.Address;

/** The session between one incarnation of an entry and this incarnation of the sidecar. */
final class EntrySession {

    /** Attempts kept for each session; older ones that aren't running are covered by {@link #floor}. */
    static final int MAX_REMEMBERED_ATTEMPTS = 512;

    final long id;
    final Address entry;
    final long entryIncarnation;
    /** Attempts by number. */
    final TreeMap<Long, AttemptRecord> attempts = new TreeMap<>();
    /** When the entry last opened the session, dispatched or revoked an attempt, in nanoseconds. */
    long lastMessageAt;
    /** An attempt with this or a lower number that isn't in {@link #attempts} is refused. */
    long floor;

    /** The highest attempt number seen. */
    long highestNumber;

    EntrySession(long id, Address entry, long entryIncarnation) {
        this.id = id;
        this.entry = entry;
        this.entryIncarnation = entryIncarnation;
    }

    /**
     * Adds an attempt. Removes the oldest attempts that aren't running and raises the floor over them, so that the
     * journal doesn't grow without bound; an attempt at or below the floor is refused, so a removed one can't start.
     */
    void addAttempt(AttemptRecord attempt) {
        attempts.put(attempt.number, attempt);
        highestNumber = Math.max(highestNumber, attempt.number);
        while (attempts.size() > MAX_REMEMBERED_ATTEMPTS) {
            Long oldest = oldestNotRunning();
            if (oldest == null) {
                return;
            }
            attempts.remove(oldest);
            floor = Math.max(floor, oldest);
        }
    }

    boolean hasRunning() {
        return attempts.values().stream().anyMatch(attempt -> attempt.state == AttemptRecord.State.RUNNING);
    }

    private Long oldestNotRunning() {
        for (AttemptRecord attempt : attempts.values()) {
            if (attempt.state != AttemptRecord.State.RUNNING) {
                return attempt.number;
            }
        }
        return null;
    }
}
