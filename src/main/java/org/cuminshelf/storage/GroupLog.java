package org.cuminshelf.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.replica.DurableState;

/**
 * The durable log of one group. Each record is preceded by a header: magic number, payload length, CRC-32C of the
 * remaining header and the payload, and the length of the log that was synced when the record was written.
 *
 * <p>An invalid record at the end was never synced, so no message depended on it, and the log is truncated there. An
 * invalid record is corruption if a later valid record shows that it had been synced: opening the log then fails, as
 * the replica may have granted votes or acknowledged entries that it can no longer read.
 */
public final class GroupLog implements AutoCloseable {

    /** The start of each record: "CUM1" in ASCII. */
    private static final int MAGIC = 0x43554d31;
    /** Magic number, payload length, checksum, synced length. */
    private static final int HEADER_BYTES = 4 + 4 + 4 + 8;
    /** Offset in a record of the synced length, where the checksummed part starts. */
    private static final int SYNCED_LENGTH_OFFSET = 12;

    private static final int MAX_PAYLOAD_BYTES = 256 << 20;

    private final LogDevice device;
    private final String name;
    private DurableState recovered;
    /** Length of the log in bytes. */
    private long length;
    /** Length of the synced part in bytes. */
    private long syncedLength;

    private GroupLog(LogDevice device, String name) {
        this.device = device;
        this.name = name;
    }

    /**
     * Opens a log and recovers its state. A new log is given an identity, which is synced before this method returns.
     *
     * @param device      the storage of the log
     * @param name        the name of the log in error messages
     * @param newIdentity the identity for a new log, never used before
     * @return the log
     * @throws CorruptLogException if a synced record is invalid
     * @throws IOException if the log can't be read or written
     */
    public static GroupLog open(LogDevice device, String name, long newIdentity) throws IOException {
        GroupLog log = new GroupLog(device, name);
        log.recover();
        if (log.recovered.hardState().getIdentity() == 0) {
            DurableState fresh = DurableState.fresh(newIdentity);
            log.write(List.of(
                    LogRecord.newBuilder().setHardState(fresh.hardState()).build()));
            log.sync();
            log.recovered = fresh;
        }
        return log;
    }

    /**
     * Returns the state that was recovered when the log was opened.
     *
     * @return the state
     */
    public DurableState recovered() {
        return recovered;
    }

    /**
     * Writes records, which are durable after {@link #sync()}. A snapshot record compacts the log.
     *
     * @param records the records in order
     * @throws IOException if the records can't be written; the log must not be used any more
     */
    public void write(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean hasSnapshot = false;
        for (LogRecord record : records) {
            encode(record, bytes);
            hasSnapshot |= record.hasSnapshot();
        }
        device.append(bytes.toByteArray());
        length += bytes.size();
        if (hasSnapshot) {
            compact();
        }
    }

    /**
     * Makes all written records durable.
     *
     * @throws IOException if the records may not be durable; the log must not be used any more
     */
    public void sync() throws IOException {
        device.sync();
        syncedLength = length;
    }

    /**
     * Returns the length of the log.
     *
     * @return the length in bytes
     */
    public long length() {
        return length;
    }

    @Override
    public void close() throws IOException {
        device.close();
    }

    private void encode(LogRecord record, ByteArrayOutputStream target) {
        byte[] payload = record.toByteArray();
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(MAGIC)
                .putInt(payload.length)
                .putInt(0)
                .putLong(syncedLength)
                .put(payload);
        buffer.putInt(8, checksum(buffer.array(), 0, payload.length));
        target.writeBytes(buffer.array());
    }

    private static int checksum(byte[] content, int start, int payloadLength) {
        CRC32C crc = new CRC32C();
        crc.update(content, start + SYNCED_LENGTH_OFFSET, 8 + payloadLength);
        return (int) crc.getValue();
    }

    private void recover() throws IOException {
        byte[] content = device.read();
        Replay replay = new Replay();
        int position = 0;
        while (position < content.length) {
            Optional<LogRecord> record = decode(content, position);
            if (record.isEmpty()) {
                break;
            }
            replay.add(record.get());
            position += HEADER_BYTES + payloadLength(content, position);
        }
        if (position < content.length) {
            failIfSynced(content, position);
            device.truncate(position);
        }
        length = position;
        syncedLength = position;
        recovered = replay.state();
    }

    private static int payloadLength(byte[] content, int position) {
        return ByteBuffer.wrap(content).getInt(position + 4);
    }

    private static Optional<LogRecord> decode(byte[] content, int position) {
        if (content.length - position < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(content);
        int payload = buffer.getInt(position + 4);
        boolean plausible = buffer.getInt(position) == MAGIC
                && payload >= 0
                && payload <= MAX_PAYLOAD_BYTES
                && payload <= content.length - position - HEADER_BYTES;
        if (!plausible || buffer.getInt(position + 8) != checksum(content, position, payload)) {
            return Optional.empty();
        }
        try {
            return Optional.of(LogRecord.parser().parseFrom(content, position + HEADER_BYTES, payload));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    /** Throws if a valid record after the invalid one was written when the invalid one had been synced. */
    private void failIfSynced(byte[] content, int invalidPosition) throws CorruptLogException {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        for (int position = invalidPosition + 1; position <= content.length - HEADER_BYTES; position++) {
            boolean readable = buffer.getInt(position) == MAGIC
                    && decode(content, position).isPresent();
            if (readable && buffer.getLong(position + SYNCED_LENGTH_OFFSET) > invalidPosition) {
                throw new CorruptLogException(name + ": damaged at byte " + invalidPosition
                        + ", before records that were synced; move the folder away and start this replica anew,"
                        + " so that it joins as a learner");
            }
        }
    }

    /** Replaces the log by one that holds only the current state. */
    private void compact() throws IOException {
        Replay replay = new Replay();
        byte[] content = device.read();
        int position = 0;
        while (position < length) {
            replay.add(decode(content, position)
                    .orElseThrow(() -> new CorruptLogException(name + ": invalid record found during compaction")));
            position += HEADER_BYTES + payloadLength(content, position);
        }
        DurableState state = replay.state();
        syncedLength = 0;
        ByteArrayOutputStream compacted = new ByteArrayOutputStream();
        encode(LogRecord.newBuilder().setHardState(state.hardState()).build(), compacted);
        state.snapshot()
                .ifPresent(snapshot ->
                        encode(LogRecord.newBuilder().setSnapshot(snapshot).build(), compacted));
        for (LogEntry entry : state.entries()) {
            encode(LogRecord.newBuilder().setEntry(entry).build(), compacted);
        }
        device.replace(compacted.toByteArray());
        length = compacted.size();
        syncedLength = length;
    }

    /** Rebuilds the state from the records in their order. */
    private static final class Replay {

        private HardState hardState = HardState.getDefaultInstance();
        private Optional<Snapshot> snapshot = Optional.empty();
        private final List<LogEntry> entries = new ArrayList<>();

        private void add(LogRecord record) {
            switch (record.getRecordCase()) {
                case HARD_STATE -> hardState = record.getHardState();
                case ENTRY -> {
                    truncateFrom(record.getEntry().getIndex());
                    entries.add(record.getEntry());
                }
                case CUT_FROM -> truncateFrom(record.getCutFrom());
                case SNAPSHOT -> installSnapshot(record.getSnapshot());
                case RECORD_NOT_SET -> {
                    // Written by a later version, which allows this one to ignore it.
                }
            }
        }

        private void truncateFrom(long index) {
            while (!entries.isEmpty() && entries.getLast().getIndex() >= index) {
                entries.removeLast();
            }
        }

        private void installSnapshot(Snapshot installed) {
            snapshot = Optional.of(installed);
            boolean containsSnapshot = entries.stream()
                    .anyMatch(entry ->
                            entry.getIndex() == installed.getIndex() && entry.getTerm() == installed.getTerm());
            if (containsSnapshot) {
                entries.removeIf(entry -> entry.getIndex() <= installed.getIndex());
            } else {
                entries.clear();
            }
        }

        private DurableState state() {
            return new DurableState(hardState, snapshot, List.copyOf(entries));
        }
    }
}
