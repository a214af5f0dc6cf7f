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
 * The sessions of the entries and their attempts, in memory only. After a restart the sessions of the earlier
 * incarnation are unknown, and the journal makes no statement about their attempts.
 */
final class AttemptJournal {

    private static final long SESSION_IDLE_TIMEOUT_NANOS = Durations.nanos(600_000);

    private record EntryIncarnation(Address entry, long incarnation) {}

    private final UniformRandomProvider random;
    private final Map<Long, EntrySession> sessions = new TreeMap<>();
    private final Map<EntryIncarnation, EntrySession> sessionsByEntry = new HashMap<>();
    private final Map<Long, AttemptRecord> runningAttempts = new TreeMap<>();
    private long nextAttemptId = 1;
    /** Prompt tokens of running attempts that the upstream hasn't processed yet. */
    private long pendingPromptTokens;

    AttemptJournal(UniformRandomProvider random) {
        this.random = random;
    }

    /** Returns the session of an incarnation of an entry, after creating it if it doesn't exist. */
    EntrySession open(long now, Address entry, long incarnation) {
        EntrySession session = sessionsByEntry.computeIfAbsent(new EntryIncarnation(entry, incarnation), key -> {
            EntrySession created = new EntrySession(newSessionId(), entry, incarnation);
            sessions.put(created.id, created);
            return created;
        });
        session.lastMessageAt = now;
        return session;
    }

    Optional<EntrySession> session(long id) {
        return Optional.ofNullable(sessions.get(id));
    }

    Iterable<EntrySession> sessions() {
        return sessions.values();
    }

    Optional<AttemptRecord> attempt(long session, long number) {
        return session(session).map(found -> found.attempts.get(number));
    }

    Optional<AttemptRecord> runningAttempt(long id) {
        return Optional.ofNullable(runningAttempts.get(id));
    }

    Iterable<AttemptRecord> runningAttempts() {
        return runningAttempts.values();
    }

    int runningCount() {
        return runningAttempts.size();
    }

    long newAttemptId() {
        return nextAttemptId++;
    }

    void attemptStarted(AttemptRecord attempt) {
        attempt.session.addAttempt(attempt);
        runningAttempts.put(attempt.id, attempt);
        pendingPromptTokens += attempt.pendingPromptTokens;
    }

    /** Records that the upstream has processed the prompt of an attempt. */
    void promptProcessed(AttemptRecord attempt) {
        pendingPromptTokens -= attempt.pendingPromptTokens;
        attempt.pendingPromptTokens = 0;
    }

    void attemptEnded(AttemptRecord attempt) {
        promptProcessed(attempt);
        runningAttempts.remove(attempt.id);
    }

    /**
     * Prompt tokens that the upstream hasn't processed yet. Unlike the upstream's own report, this count has no delay,
     * in which several entries would send their prompts to the same engine.
     */
    long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Removes idle sessions without running attempts. Later dispatches in such a session are refused. */
    void removeIdleSessions(long now) {
        Iterator<EntrySession> iterator = sessions.values().iterator();
        while (iterator.hasNext()) {
            EntrySession session = iterator.next();
            if (now - session.lastMessageAt > SESSION_IDLE_TIMEOUT_NANOS && !session.hasRunning()) {
                iterator.remove();
                sessionsByEntry.remove(new EntryIncarnation(session.entry, session.entryIncarnation));
            }
        }
    }

    private long newSessionId() {
        long id = random.nextLong() & Long.MAX_VALUE;
        return id == 0 ? 1 : id;
    }
}
