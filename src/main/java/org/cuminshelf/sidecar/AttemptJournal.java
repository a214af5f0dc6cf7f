package org.cuminshelf.sidecar;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;

/**
 * The table of sessions and attempts. It lives in memory only: after a restart no session of the earlier incarnation
 * is known, and nothing is sworn about its attempts.
 */
final class AttemptJournal {

    private static final long SESSION_IDLE = Durations.nanos(600_000);

    private record EntryKey(Address entry, long incarnation) {}

    private final UniformRandomProvider random;
    private final Map<Long, EntrySession> sessions = new TreeMap<>();
    private final Map<EntryKey, EntrySession> byEntry = new HashMap<>();
    private final Map<Long, AttemptRecord> running = new TreeMap<>();
    private long nextAttempt = 1;
    private long promptWaiting;

    AttemptJournal(UniformRandomProvider random) {
        this.random = random;
    }

    /** Finds or opens the session of an entry's incarnation. */
    EntrySession open(long now, Address entry, long incarnation) {
        EntrySession row = byEntry.computeIfAbsent(new EntryKey(entry, incarnation), key -> {
            EntrySession made = new EntrySession(newSessionId(), entry, incarnation);
            sessions.put(made.id, made);
            return made;
        });
        row.lastHeard = now;
        return row;
    }

    Optional<EntrySession> session(long id) {
        return Optional.ofNullable(sessions.get(id));
    }

    Iterable<EntrySession> sessions() {
        return sessions.values();
    }

    Optional<AttemptRecord> attempt(long session, long number) {
        return session(session).map(row -> row.attempts.get(number));
    }

    Optional<AttemptRecord> runningAttempt(long id) {
        return Optional.ofNullable(running.get(id));
    }

    Iterable<AttemptRecord> running() {
        return running.values();
    }

    int runningCount() {
        return running.size();
    }

    long newAttemptId() {
        return nextAttempt++;
    }

    void started(AttemptRecord row) {
        row.session.remember(row);
        running.put(row.id, row);
        promptWaiting += row.promptWaiting;
    }

    /** The upstream has taken the prompt in. */
    void promptTaken(AttemptRecord row) {
        promptWaiting -= row.promptWaiting;
        row.promptWaiting = 0;
    }

    void ended(AttemptRecord row) {
        promptTaken(row);
        running.remove(row.id);
    }

    /**
     * Prompt tokens that wait at the upstream now. The upstream's own report comes with a lag, in which several entries
     * would send their prompts to the same engine; this count has none.
     */
    long promptWaiting() {
        return promptWaiting;
    }

    /** Drops sessions that were silent for long and run nothing; their dispatches are refused from then on. */
    void dropIdle(long now) {
        Iterator<EntrySession> rows = sessions.values().iterator();
        while (rows.hasNext()) {
            EntrySession row = rows.next();
            if (now - row.lastHeard > SESSION_IDLE && !row.hasRunning()) {
                rows.remove();
                byEntry.remove(new EntryKey(row.entry, row.entryIncarnation));
            }
        }
    }

    private long newSessionId() {
        long id = random.nextLong() & Long.MAX_VALUE;
        return id == 0 ? 1 : id;
    }
}
