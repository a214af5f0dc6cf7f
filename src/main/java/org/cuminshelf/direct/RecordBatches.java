package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.StreamRecordBatch;
import org.cuminshelf.streams.StreamRecordTable;

/** Streams whose records wait to be sent to processes that keep them, in one batch for each process. */
final class RecordBatches {

    /** Records in a message, which bounds its size. */
    private static final int MAX_RECORDS_PER_MESSAGE = 256;

    private final StreamRecordTable records;
    private final Map<Address, List<String>> unsent = new HashMap<>();
    private long dueNanos = Core.NEVER;

    RecordBatches(StreamRecordTable records) {
        this.records = records;
    }

    /** Adds the record of a stream for a process, to be sent after a delay at the latest. */
    void add(long now, Address holder, String stream, long maxDelayNanos) {
        unsent.computeIfAbsent(holder, key -> new ArrayList<>()).add(stream);
        dueNanos = Math.min(dueNanos, now + maxDelayNanos);
    }

    long nextDue() {
        return dueNanos;
    }

    void tick(long now, Outbox out) {
        if (now >= dueNanos) {
            sendAll(now, out);
        }
    }

    /** Sends all that wait, due or not. */
    void sendAll(long now, Outbox out) {
        dueNanos = Core.NEVER;
        unsent.forEach((holder, streams) -> send(now, holder, streams, out));
        unsent.clear();
    }

    private void send(long now, Address holder, List<String> streams, Outbox out) {
        for (int from = 0; from < streams.size(); from += MAX_RECORDS_PER_MESSAGE) {
            List<String> part = streams.subList(from, Math.min(streams.size(), from + MAX_RECORDS_PER_MESSAGE));
            StreamRecordBatch.Builder message = StreamRecordBatch.newBuilder();
            part.forEach(stream -> records.toMessage(now, stream).ifPresent(message::addRecords));
            out.send(holder, Envelope.newBuilder().setStreamRecords(message));
        }
    }
}
