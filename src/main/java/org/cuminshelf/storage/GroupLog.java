package org.cuminshelf.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.replica.DurableState;
import org.tinylog.Logger;

/**
 * The durable log of one group. Recovery and compaction hold one record at a time, so that a log of any length can be
 * opened with little memory; {@link RecordCodec} has the form of a record.
 *
 * <p>An invalid record at the end was never synced, so no message depended on it, and the log is truncated there. An
 * invalid record is corruption if a later valid record shows that it had been synced: opening the log then fails, as
 * the replica may have granted votes or acknowledged entries that it can no longer read.
 */
public final class GroupLog implements AutoCloseable {

    private static final String LOG = "storage: ";
    /** Small records are written together up to this size. */
    private static final int WRITE_BUFFER_BYTES = 64 << 10;

    private final LogDevice device;
    private final String name;
    private LiveRecords live = new LiveRecords();
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
        if (log.live.hardState().getIdentity() == 0) {
            DurableState fresh = DurableState.fresh(newIdentity);
            log.write(List.of(
                    LogRecord.newBuilder().setHardState(fresh.hardState()).build()));
            log.sync();
        }
        return log;
    }

    /**
     * Reads the state that the log holds. Its entries are read from the disk one by one, and only until the next write.
     *
     * @return the state
     * @throws IOException if the snapshot can't be read
     */
    public DurableState recovered() throws IOException {
        Optional<Snapshot> snapshot = Optional.empty();
        if (live.snapshot().isPresent()) {
            snapshot = Optional.of(readLive(live.snapshot().get()).getSnapshot());
        }
        return new DurableState(live.hardState(), snapshot, new StoredEntries(device, name, live.entries(), length));
    }

    /**
     * Returns the identity that was generated with the log.
     *
     * @return the identity
     */
    public long identity() {
        return live.hardState().getIdentity();
    }

    /**
     * Writes records, which are durable after {@link #sync()}. A snapshot record compacts the log.
     *
     * @param records the records in order
     * @throws IOException if the records can't be written; the log must not be used any more
     */
    public void write(List<LogRecord> records) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        boolean hasSnapshot = false;
        for (LogRecord record : records) {
            byte[] bytes = RecordCodec.encode(record, syncedLength);
            if (buffer.size() + bytes.length > WRITE_BUFFER_BYTES) {
                device.append(buffer.toByteArray());
                buffer.reset();
            }
            if (bytes.length > WRITE_BUFFER_BYTES) {
                device.append(bytes);
            } else {
                buffer.writeBytes(bytes);
            }
            live.add(record, length);
            length += bytes.length;
            hasSnapshot |= record.hasSnapshot();
        }
        device.append(buffer.toByteArray());
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

    private void recover() throws IOException {
        long end = device.length();
        long position = 0;
        Optional<RecordCodec.StoredRecord> stored = RecordCodec.read(device, position, end);
        while (stored.isPresent()) {
            live.add(stored.get().record(), position);
            position += stored.get().length();
            stored = RecordCodec.read(device, position, end);
        }
        if (position < end) {
            failIfSynced(position, end);
            Logger.warn(
                    LOG + "{}: the last {} bytes were cut off, a record that was never synced.", name, end - position);
            device.truncate(position);
        }
        length = position;
        syncedLength = position;
    }

    /** Throws if a valid record after the invalid one was written when the invalid one had been synced. */
    private void failIfSynced(long invalidPosition, long end) throws IOException {
        RecordSearch search = new RecordSearch(device, invalidPosition + 1, end);
        for (Optional<RecordCodec.StoredRecord> found = search.next(); found.isPresent(); found = search.next()) {
            if (found.get().syncedLength() > invalidPosition) {
                throw new CorruptLogException(name + ": damaged at byte " + invalidPosition
                        + ", before records that were synced; move the folder away and start this replica anew,"
                        + " so that it joins as a learner");
            }
        }
    }

    private LogRecord readLive(LiveRecords.Place place) throws IOException {
        return RecordCodec.read(device, place.position(), length)
                .orElseThrow(() -> new CorruptLogException(name + ": a record that was valid can't be read again"))
                .record();
    }

    /**
     * Replaces the log by one that holds only the current state. Where the disk has no room for it, the old log stays
     * in use, and the next snapshot tries again.
     */
    private void compact() throws IOException {
        boolean isComplete = false;
        try (LogDevice.Replacement replacement = device.startReplacement()) {
            LiveRecords moved = new LiveRecords();
            long newLength = copyLiveRecords(replacement, moved);
            replacement.sync();
            isComplete = true;
            replacement.commit();
            live = moved;
            length = newLength;
            syncedLength = newLength;
        } catch (CorruptLogException e) {
            throw e;
        } catch (IOException e) {
            if (isComplete) {
                throw e;
            }
            Logger.warn(LOG + "{} keeps its {} bytes until the next snapshot: {}.", name, length, e.getMessage());
        }
    }

    private long copyLiveRecords(LogDevice.Replacement target, LiveRecords moved) throws IOException {
        long position =
                copy(LogRecord.newBuilder().setHardState(live.hardState()).build(), 0, target, moved);
        if (live.snapshot().isPresent()) {
            position = copy(readLive(live.snapshot().get()), position, target, moved);
        }
        for (LiveRecords.Place entry : live.entries()) {
            position = copy(readLive(entry), position, target, moved);
        }
        return position;
    }

    /** Writes a record at a position of the new log, and returns where the next one starts. */
    private static long copy(LogRecord record, long position, LogDevice.Replacement target, LiveRecords moved)
            throws IOException {
        byte[] bytes = RecordCodec.encode(record, 0);
        target.append(bytes);
        moved.add(record, position);
        return position + bytes.length;
    }
}
