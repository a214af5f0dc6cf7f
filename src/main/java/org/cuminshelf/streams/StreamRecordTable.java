package org.cuminshelf.streams;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.StreamRecord;

/**
 * Table of the software versions that began streams, bounded in number and time. Times named {@code now} are monotonic
 * nanoseconds.
 *
 * <p>A continued stream stays at its version, so all records of a stream state the same one. Where two state different
 * ones, for instance as a caller has used one id twice, neither is told any more: the stream is refused rather than
 * continued at a guessed version.
 */
public final class StreamRecordTable {

    /** Time for which a record is kept in nanoseconds: longer than any caller waits for the rest of a stream. */
    public static final long RETENTION_NANOS = Durations.nanos(60_000);

    private final int maxRecords;
    /** By stream, the least recently recorded first. */
    private final LinkedHashMap<String, RecordedStream> streams = new LinkedHashMap<>();

    private StreamRecordTable(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Creates an empty table.
     *
     * @param maxRecords number of records above which the oldest are dropped
     * @return the table
     * @throws IllegalArgumentException if the number is not positive
     */
    public static StreamRecordTable create(int maxRecords) {
        if (maxRecords <= 0) {
            throw new IllegalArgumentException("maxRecords must be positive: " + maxRecords);
        }
        return new StreamRecordTable(maxRecords);
    }

    /**
     * Records a stream.
     *
     * @param now        the time
     * @param stream     id of the caller's request that brought the first event
     * @param service    service that began the stream
     * @param version    software version that began it
     * @param sinceNanos time of its first event
     */
    public void put(long now, String stream, String service, String version, long sinceNanos) {
        // Services and versions are few, and each message holds a copy of both.
        RecordedStream received = new RecordedStream(service.intern(), version.intern(), sinceNanos, now, false);
        // Removed first, so that the oldest stay in front.
        RecordedStream held = streams.remove(stream);
        streams.put(stream, held == null ? received : held.merge(received));
        if (streams.size() > maxRecords) {
            streams.pollFirstEntry();
        }
    }

    /**
     * Records a stream that another process has recorded.
     *
     * @param now    the time
     * @param record the record received
     */
    public void put(long now, StreamRecord record) {
        long sinceNanos = now - Durations.nanos(record.getAgeMs());
        put(now, record.getStream(), record.getService(), record.getVersion(), sinceNanos);
    }

    /**
     * Finds the record of a stream.
     *
     * @param stream id of the caller's request that brought the first event
     * @return the record, or empty if there is none or if records state different versions
     */
    public Optional<RecordedStream> find(String stream) {
        return Optional.ofNullable(streams.get(stream)).filter(recorded -> !recorded.ambiguous());
    }

    /**
     * Returns the record of a stream as a message.
     *
     * @param now    the time
     * @param stream id of the caller's request that brought the first event
     * @return the message, or empty if no record is found
     */
    public Optional<StreamRecord> toMessage(long now, String stream) {
        return find(stream)
                .map(recorded -> StreamRecord.newBuilder()
                        .setStream(stream)
                        .setService(recorded.service())
                        .setVersion(recorded.version())
                        .setAgeMs((int) Durations.millis(now - recorded.sinceNanos()))
                        .build());
    }

    /**
     * Passes each stream recorded since a time to an action, the last recorded first.
     *
     * @param sinceNanos the time in nanoseconds
     * @param action     receives the id of the stream
     */
    public void forEachRecordedSince(long sinceNanos, Consumer<String> action) {
        for (Map.Entry<String, RecordedStream> entry :
                streams.sequencedEntrySet().reversed()) {
            if (entry.getValue().keptNanos() < sinceNanos) {
                return;
            }
            action.accept(entry.getKey());
        }
    }

    /**
     * Removes records that are too old.
     *
     * @param now the time
     */
    public void expire(long now) {
        Iterator<RecordedStream> oldest = streams.values().iterator();
        while (oldest.hasNext() && now - oldest.next().keptNanos() > RETENTION_NANOS) {
            oldest.remove();
        }
    }

    /**
     * Returns the number of records.
     *
     * @return the number, streams included of which different versions are recorded
     */
    public int size() {
        return streams.size();
    }
}
