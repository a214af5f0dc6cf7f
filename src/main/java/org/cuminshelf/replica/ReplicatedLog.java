package org.cuminshelf.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Snapshot;

/** The log of a replica in memory: a snapshot, the entries after it, and some entries before it. */
final class ReplicatedLog {

    private final List<LogEntry> entries = new ArrayList<>();
    /** For each entry, the size in bytes of all entries appended up to it, including those no longer held. */
    private final List<Long> endOffsets = new ArrayList<>();
    /** The offset at which the first entry held starts. */
    private long baseOffset;
    /** Index of the entry before the first one held. */
    private long baseIndex;

    /** Term of the entry at {@link #baseIndex}. */
    private long baseTerm;

    /** Membership in force at {@link #baseIndex}. */
    private Membership baseMembership = Membership.getDefaultInstance();

    private Snapshot snapshot = Snapshot.getDefaultInstance();

    long firstIndex() {
        return baseIndex + 1;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.getLast().getTerm();
    }

    /** The group's clock, in milliseconds, at the last entry or at the snapshot. */
    long lastClock() {
        return entries.isEmpty() ? snapshot.getClockMs() : entries.getLast().getClockMs();
    }

    /** The group's clock, in milliseconds, at the given index, or that of the snapshot if the index isn't held. */
    long clock(long index) {
        return holds(index) ? entry(index).getClockMs() : snapshot.getClockMs();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The term of the entry at an index; empty if the entry was compacted away or doesn't exist yet. */
    Optional<Long> term(long index) {
        if (index == baseIndex) {
            return Optional.of(baseTerm);
        }
        return holds(index) ? Optional.of(entry(index).getTerm()) : Optional.empty();
    }

    boolean holds(long index) {
        return index > baseIndex && index <= lastIndex();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    void append(LogEntry entry) {
        endOffsets.add(endOffset(lastIndex()) + entry.getSerializedSize());
        entries.add(entry);
    }

    /**
     * The size in bytes of the entries after one index, up to another and including it. Entries that aren't held count
     * nothing.
     */
    long bytesBetween(long after, long upTo) {
        return Math.max(0, endOffset(upTo) - endOffset(after));
    }

    /** The size in bytes of the entries held and of the snapshot's state. */
    long heldBytes() {
        return bytesBetween(baseIndex, lastIndex()) + snapshot.getState().size();
    }

    private long endOffset(long index) {
        int position = (int) (Math.min(index, lastIndex()) - baseIndex - 1);
        return position < 0 ? baseOffset : endOffsets.get(position);
    }

    /** Removes the entries from the given index on. */
    void truncateFrom(long index) {
        int position = (int) (index - baseIndex - 1);
        entries.subList(position, entries.size()).clear();
        endOffsets.subList(position, endOffsets.size()).clear();
    }

    /** Removes the first entries, up to and including the given index. */
    private void removeUpTo(long index) {
        baseOffset = endOffset(index);
        int count = (int) (index - baseIndex);
        entries.subList(0, count).clear();
        endOffsets.subList(0, count).clear();
    }

    /**
     * Returns entries from an index on, at most {@code maxEntries}. Stops after the entry that reaches
     * {@code maxBytes}, so it returns at least one entry where one exists.
     */
    List<LogEntry> entriesFrom(long index, int maxEntries, long maxBytes) {
        List<LogEntry> part = new ArrayList<>();
        long bytes = 0;
        for (long next = index; next <= lastIndex() && part.size() < maxEntries && bytes < maxBytes; next++) {
            LogEntry entry = entry(next);
            part.add(entry);
            bytes += entry.getSerializedSize();
        }
        return part;
    }

    /** The membership in force: the newest one in the log, whether committed or not. */
    Membership membership() {
        return membershipBefore(lastIndex() + 1);
    }

    /** The membership in force before the entry at the given index. */
    Membership membershipBefore(long index) {
        for (int i = (int) (index - baseIndex - 2); i >= 0; i--) {
            LogEntry entry = entries.get(i);
            if (entry.hasMembership()) {
                return entry.getMembership();
            }
        }
        return baseMembership;
    }

    /** Index of the newest membership entry, or the base index if no entry held has one. */
    long lastMembershipIndex() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).hasMembership()) {
                return entries.get(i).getIndex();
            }
        }
        return baseIndex;
    }

    /**
     * Installs a snapshot of this log, and keeps some entries before it for replicas that lag slightly: no more than
     * the given number, and no more than the given size together.
     */
    void compact(Snapshot newSnapshot, int maxKeptEntries, long maxKeptBytes) {
        snapshot = newSnapshot;
        long newBaseIndex = Math.max(baseIndex, newSnapshot.getIndex() - maxKeptEntries);
        while (bytesBetween(newBaseIndex, newSnapshot.getIndex()) > maxKeptBytes) {
            newBaseIndex++;
        }
        if (newBaseIndex > baseIndex) {
            Membership membership = membershipBefore(newBaseIndex + 1);
            long newBaseTerm = term(newBaseIndex).orElse(baseTerm);
            removeUpTo(newBaseIndex);
            baseMembership = membership;
            baseTerm = newBaseTerm;
            baseIndex = newBaseIndex;
        }
    }

    /** Replaces the log by a received snapshot; keeps the entries after it if the log contains its last entry. */
    void restore(Snapshot received) {
        boolean containsSnapshot = term(received.getIndex())
                .filter(term -> term == received.getTerm())
                .isPresent();
        if (containsSnapshot && received.getIndex() >= baseIndex) {
            removeUpTo(received.getIndex());
        } else {
            entries.clear();
            endOffsets.clear();
        }
        snapshot = received;
        baseIndex = received.getIndex();
        baseTerm = received.getTerm();
        baseMembership = received.getMembership();
    }
}
