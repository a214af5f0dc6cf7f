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
 * The durable log of one group. Each record stands behind a header: a mark, its length, a CRC-32C over the rest, and
 * the length of the log that was already synced when it was written.
 *
 * <p>A bad record at the end was never synced, so nothing was promised on it, and it is cut. A bad record before one
 * that was written when the bad one was synced already is damage: the log is refused, for the replica may have
 * promised what it can no longer read.
 */
public final class GroupLog implements AutoCloseable {

    private static final int MARK = 0x43554d31;
    private static final int HEADER = 4 + 4 + 4 + 8;
    private static final int CHECKED_FROM = 12;
    private static final int LARGEST_RECORD = 256 << 20;

    private final LogDevice device;
    private final String name;
    private DurableState recovered;
    private long length;
    private long synced;

    private GroupLog(LogDevice device, String name) {
        this.device = device;
        this.name = name;
    }

    /**
     * Opens a log and recovers what it holds. A new log is given its identity at once, durably.
     *
     * @param device      where it lies
     * @param name        how to name it in errors
     * @param newIdentity identity to take if the log is new, never used before
     * @return the log
     * @throws IOException if it can't be read or is damaged
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
     * What was found when the log was opened.
     *
     * @return the state
     */
    public DurableState recovered() {
        return recovered;
    }

    /**
     * Writes records; they are durable after {@link #sync()}. A snapshot also drops what it replaces.
     *
     * @param records the records in order
     * @throws IOException if they can't be written; the log must not be used any more
     */
    public void write(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean compact = false;
        for (LogRecord record : records) {
            encode(record, bytes);
            compact |= record.hasSnapshot();
        }
        device.append(bytes.toByteArray());
        length += bytes.size();
        if (compact) {
            compact();
        }
    }

    /**
     * Makes all records written durable.
     *
     * @throws IOException if that can't be known; the log must not be used any more
     */
    public void sync() throws IOException {
        device.sync();
        synced = length;
    }

    /**
     * The length of the log.
     *
     * @return bytes
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
        ByteBuffer buffer = ByteBuffer.allocate(HEADER + payload.length);
        buffer.putInt(MARK).putInt(payload.length).putInt(0).putLong(synced).put(payload);
        buffer.putInt(8, checksum(buffer.array(), 0, payload.length));
        target.writeBytes(buffer.array());
    }

    private static int checksum(byte[] content, int start, int payloadLength) {
        CRC32C crc = new CRC32C();
        crc.update(content, start + CHECKED_FROM, 8 + payloadLength);
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
            position += HEADER + payloadLength(content, position);
        }
        if (position < content.length) {
            refuseIfDamaged(content, position);
            device.truncate(position);
        }
        length = position;
        synced = position;
        recovered = replay.state();
    }

    private static int payloadLength(byte[] content, int position) {
        return ByteBuffer.wrap(content).getInt(position + 4);
    }

    private static Optional<LogRecord> decode(byte[] content, int position) {
        if (content.length - position < HEADER) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(content);
        int payload = buffer.getInt(position + 4);
        boolean plausible = buffer.getInt(position) == MARK
                && payload >= 0
                && payload <= LARGEST_RECORD
                && payload <= content.length - position - HEADER;
        if (!plausible || buffer.getInt(position + 8) != checksum(content, position, payload)) {
            return Optional.empty();
        }
        try {
            return Optional.of(LogRecord.parser().parseFrom(content, position + HEADER, payload));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private void refuseIfDamaged(byte[] content, int bad) throws CorruptLogException {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        for (int position = bad + 1; position <= content.length - HEADER; position++) {
            boolean readable =
                    buffer.getInt(position) == MARK && decode(content, position).isPresent();
            if (readable && buffer.getLong(position + CHECKED_FROM) > bad) {
                throw new CorruptLogException(name + ": damaged at byte " + bad
                        + ", before records that were synced; move the folder away and start this replica anew,"
                        + " so that it joins as a learner");
            }
        }
    }

    private void compact() throws IOException {
        Replay replay = new Replay();
        byte[] content = device.read();
        int position = 0;
        while (position < length) {
            replay.add(decode(content, position)
                    .orElseThrow(() -> new CorruptLogException(name + ": can't be read back")));
            position += HEADER + payloadLength(content, position);
        }
        DurableState state = replay.state();
        synced = 0;
        ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        encode(LogRecord.newBuilder().setHardState(state.hardState()).build(), fresh);
        state.snapshot()
                .ifPresent(snapshot ->
                        encode(LogRecord.newBuilder().setSnapshot(snapshot).build(), fresh));
        for (LogEntry entry : state.entries()) {
            encode(LogRecord.newBuilder().setEntry(entry).build(), fresh);
        }
        device.replace(fresh.toByteArray());
        length = fresh.size();
        synced = length;
    }

    /** Gathers the state from records in order. */
    private static final class Replay {

        private HardState hardState = HardState.getDefaultInstance();
        private Optional<Snapshot> snapshot = Optional.empty();
        private final List<LogEntry> entries = new ArrayList<>();

        private void add(LogRecord record) {
            switch (record.getRecordCase()) {
                case HARD_STATE -> hardState = record.getHardState();
                case ENTRY -> {
                    cutFrom(record.getEntry().getIndex());
                    entries.add(record.getEntry());
                }
                case CUT_FROM -> cutFrom(record.getCutFrom());
                case SNAPSHOT -> take(record.getSnapshot());
                case RECORD_NOT_SET -> {
                    // A record of a later version; nothing in it concerns this one.
                }
            }
        }

        private void cutFrom(long index) {
            while (!entries.isEmpty() && entries.getLast().getIndex() >= index) {
                entries.removeLast();
            }
        }

        private void take(Snapshot taken) {
            snapshot = Optional.of(taken);
            boolean follows = entries.stream()
                    .anyMatch(entry -> entry.getIndex() == taken.getIndex() && entry.getTerm() == taken.getTerm());
            if (follows) {
                entries.removeIf(entry -> entry.getIndex() <= taken.getIndex());
            } else {
                entries.clear();
            }
        }

        private DurableState state() {
            return new DurableState(hardState, snapshot, List.copyOf(entries));
        }
    }
}
