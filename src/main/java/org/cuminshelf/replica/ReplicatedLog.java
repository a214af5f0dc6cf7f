package org.cuminshelf.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Snapshot;

/** The log of a replica in memory: a snapshot and the entries after it. */
final class ReplicatedLog {

    private final List<LogEntry> entries = new ArrayList<>();
    /** Index and term of the entry before the first one held. */
    private long baseIndex;

    private long baseTerm;
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

    long lastClock() {
        return entries.isEmpty() ? snapshot.getClockMs() : entries.getLast().getClockMs();
    }

    /** The group's clock at an index held, or at the snapshot. */
    long clock(long index) {
        return holds(index) ? get(index).getClockMs() : snapshot.getClockMs();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The term of an entry, or nothing where it is no longer or not yet held. */
    Optional<Long> term(long index) {
        if (index == baseIndex) {
            return Optional.of(baseTerm);
        }
        return holds(index) ? Optional.of(get(index).getTerm()) : Optional.empty();
    }

    boolean holds(long index) {
        return index > baseIndex && index <= lastIndex();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    void append(LogEntry entry) {
        entries.add(entry);
    }

    void cutFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    }

    /** Entries from an index on, at most so many and so many bytes, at least one. */
    List<LogEntry> from(long index, int most, long mostBytes) {
        List<LogEntry> part = new ArrayList<>();
        long bytes = 0;
        for (long next = index; next <= lastIndex() && part.size() < most && bytes < mostBytes; next++) {
            LogEntry entry = get(next);
            part.add(entry);
            bytes += entry.getSerializedSize();
        }
        return part;
    }

    /** The membership in force: the newest in the log, committed or not. */
    Membership membership() {
        return membershipBefore(lastIndex() + 1);
    }

    Membership membershipBefore(long index) {
        for (int i = (int) (index - baseIndex - 2); i >= 0; i--) {
            LogEntry entry = entries.get(i);
            if (entry.hasMembership()) {
                return entry.getMembership();
            }
        }
        return baseMembership;
    }

    long lastMembershipIndex() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).hasMembership()) {
                return entries.get(i).getIndex();
            }
        }
        return baseIndex;
    }

    /** Takes a snapshot of an index held, keeping some entries before it for replicas that lag a little. */
    void compact(Snapshot taken, int keep) {
        snapshot = taken;
        long newBase = Math.max(baseIndex, taken.getIndex() - keep);
        if (newBase > baseIndex) {
            Membership membership = membershipBefore(newBase + 1);
            long newTerm = term(newBase).orElse(baseTerm);
            entries.subList(0, (int) (newBase - baseIndex)).clear();
            baseMembership = membership;
            baseTerm = newTerm;
            baseIndex = newBase;
        }
    }

    /** Replaces the log by a snapshot; entries after it are kept where they follow from it. */
    void restore(Snapshot received) {
        boolean follows = term(received.getIndex())
                .filter(term -> term == received.getTerm())
                .isPresent();
        if (follows && received.getIndex() >= baseIndex) {
            entries.subList(0, (int) (received.getIndex() - baseIndex)).clear();
        } else {
            entries.clear();
        }
        snapshot = received;
        baseIndex = received.getIndex();
        baseTerm = received.getTerm();
        baseMembership = received.getMembership();
    }
}
