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
 * Collects the records to persist, and delays messages until the records that they depend on are synced. Guards against
 * a replica that grants a vote or acknowledges an entry, loses power before that is on its disk, and restarts without
 * it.
 */
final class DurabilityTracker {

    /** A message that is sent once the write with the given sequence number is synced. */
    private record DelayedMessage(long sequence, Address to, Envelope.Builder message) {}

    /** A write in progress, and the last log index and the commit index that are durable once it is synced. */
    private static final class PendingWrite {
        private final long sequence;
        private final long commitIndex;
        private long lastIndex;

        private PendingWrite(long sequence, long lastIndex, long commitIndex) {
            this.sequence = sequence;
            this.commitIndex = commitIndex;
            this.lastIndex = lastIndex;
        }
    }

    private final String group;
    /** Records not yet handed to the storage. */
    private final List<LogRecord> unsavedRecords = new ArrayList<>();
    /** Messages of the current tick, which depend on {@link #unsavedRecords} and on the writes in progress. */
    private final List<DelayedMessage> newMessages = new ArrayList<>();
    /** Messages that wait for a write in progress. */
    private final Deque<DelayedMessage> delayedMessages = new ArrayDeque<>();
    /** Writes handed to the storage and not yet synced. */
    private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();

    private long sequence;
    private long durableIndex;
    private long durableCommitIndex;

    DurabilityTracker(String group, long durableIndex, long durableCommitIndex) {
        this.group = group;
        this.durableIndex = durableIndex;
        this.durableCommitIndex = durableCommitIndex;
    }

    /** Adds a record to the next write. */
    void addRecord(LogRecord.Builder record) {
        unsavedRecords.add(record.build());
    }

    /** Entries from the given index on are being replaced and no longer count as durable. */
    void discardFrom(long index) {
        durableIndex = Math.min(durableIndex, index - 1);
        pendingWrites.forEach(write -> write.lastIndex = Math.min(write.lastIndex, index - 1));
    }

    /** Sends a message once all records saved so far are synced. */
    void sendWhenDurable(Address to, Envelope.Builder message) {
        newMessages.add(new DelayedMessage(0, to, message));
    }

    /** Hands the records of this tick to the storage in one write, after which the given indexes are durable. */
    void flush(long lastIndex, long commitIndex, Outbox out) {
        if (!unsavedRecords.isEmpty()) {
            sequence++;
            pendingWrites.add(new PendingWrite(sequence, lastIndex, commitIndex));
            Persist persist = Persist.newBuilder()
                    .setGroup(group)
                    .setSequence(sequence)
                    .addAllRecords(unsavedRecords)
                    .build();
            unsavedRecords.clear();
            out.send(Address.STORAGE, Envelope.newBuilder().setPersist(persist));
        }
        for (DelayedMessage message : newMessages) {
            if (pendingWrites.isEmpty()) {
                out.send(message.to, message.message);
            } else {
                delayedMessages.add(new DelayedMessage(sequence, message.to, message.message));
            }
        }
        newMessages.clear();
    }

    /** All writes up to the given sequence number are synced: sends the messages that waited for them. */
    void onPersisted(long syncedSequence, Outbox out) {
        while (!pendingWrites.isEmpty() && pendingWrites.peek().sequence <= syncedSequence) {
            PendingWrite write = pendingWrites.poll();
            durableIndex = Math.max(durableIndex, write.lastIndex);
            durableCommitIndex = Math.max(durableCommitIndex, write.commitIndex);
        }
        while (!delayedMessages.isEmpty() && delayedMessages.peek().sequence <= syncedSequence) {
            DelayedMessage message = delayedMessages.poll();
            out.send(message.to, message.message);
        }
    }

    long durableCommitIndex() {
        return durableCommitIndex;
    }

    long durableIndex() {
        return durableIndex;
    }
}
