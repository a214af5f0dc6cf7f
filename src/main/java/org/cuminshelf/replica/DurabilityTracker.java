package org.cuminshelf.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Persist;

/**
 * Holds back what depends on the disk. Failure it guards against: a replica promises a vote or an entry, loses power
 * before its disk holds it, and comes back not knowing the promise; a message that carries a promise leaves only after
 * the records before it are synced.
 */
final class DurabilityTracker {

    private record Held(long sequence, Address to, Envelope.Builder message) {}

    private static final class Mark {
        private final long sequence;
        private final long commit;
        private long lastIndex;

        private Mark(long sequence, long lastIndex, long commit) {
            this.sequence = sequence;
            this.commit = commit;
            this.lastIndex = lastIndex;
        }
    }

    private final String group;
    private final List<LogRecord> unsaved = new ArrayList<>();
    private final List<Held> waiting = new ArrayList<>();
    private final Deque<Held> held = new ArrayDeque<>();
    private final Deque<Mark> marks = new ArrayDeque<>();
    private long sequence;
    private long durableIndex;
    private long durableCommit;

    DurabilityTracker(String group, long durableIndex, long durableCommit) {
        this.group = group;
        this.durableIndex = durableIndex;
        this.durableCommit = durableCommit;
    }

    void save(LogRecord.Builder record) {
        unsaved.add(record.build());
    }

    /** Entries from here on are being replaced: what was synced of them no longer counts. */
    void cutFrom(long index) {
        durableIndex = Math.min(durableIndex, index - 1);
        marks.forEach(mark -> mark.lastIndex = Math.min(mark.lastIndex, index - 1));
    }

    /** Sends once everything saved up to now is synced. */
    void sendWhenDurable(Address to, Envelope.Builder message) {
        waiting.add(new Held(0, to, message));
    }

    /** Hands the records of this tick to the disk in one piece; the newest of them names the commit given. */
    void flush(long lastIndex, long commit, Outbox out) {
        if (!unsaved.isEmpty()) {
            sequence++;
            marks.add(new Mark(sequence, lastIndex, commit));
            Persist persist = Persist.newBuilder()
                    .setGroup(group)
                    .setSequence(sequence)
                    .addAllRecords(unsaved)
                    .build();
            unsaved.clear();
            out.send(Address.STORAGE, Envelope.newBuilder().setPersist(persist));
        }
        for (Held message : waiting) {
            if (marks.isEmpty()) {
                out.send(message.to, message.message);
            } else {
                held.add(new Held(sequence, message.to, message.message));
            }
        }
        waiting.clear();
    }

    /** Everything up to a sequence is synced. */
    void onPersisted(long upTo, Outbox out) {
        while (!marks.isEmpty() && marks.peek().sequence <= upTo) {
            Mark mark = marks.poll();
            durableIndex = Math.max(durableIndex, mark.lastIndex);
            durableCommit = Math.max(durableCommit, mark.commit);
        }
        while (!held.isEmpty() && held.peek().sequence <= upTo) {
            Held message = held.poll();
            out.send(message.to, message.message);
        }
    }

    long durableCommit() {
        return durableCommit;
    }

    long durableIndex() {
        return durableIndex;
    }
}
