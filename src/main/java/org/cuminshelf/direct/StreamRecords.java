package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.message.StreamRecordBatch;

/**
 * Records of the software versions that began streams. An entry keeps those of its own streams and those that others
 * send it as one of the {@link StreamRecordHolders}.
 *
 * <p>Guards against streams that hold events of two versions, as their caller takes them up at another entry after the
 * one that began them has ended.
 */
final class StreamRecords {

    /** Time for which a record is kept: longer than any caller waits for the rest of a stream. */
    static final long RETENTION_NANOS = Durations.nanos(60_000);

    private static final int MAX_RECORDS = 50_000;
    /** Time for which records are collected into one message. */
    private static final long MAX_DELAY_NANOS = Durations.nanos(5);
    /** Records in a message, which bounds its size. */
    private static final int MAX_RECORDS_PER_MESSAGE = 256;

    /**
     * The record of one stream.
     *
     * @param service    service that began it
     * @param version    software version that began it
     * @param sinceNanos time of its first event
     * @param keptNanos  time at which it was last recorded here
     */
    record BegunStream(String service, String version, long sinceNanos, long keptNanos) {}

    private final Address self;
    private final ControlSubscription control;
    /** By stream, the least recently recorded first. */
    private final LinkedHashMap<String, BegunStream> streams = new LinkedHashMap<>();

    private final Map<Address, List<String>> unsent = new HashMap<>();
    private long nextSendNanos = Core.NEVER;

    StreamRecords(Address self, ControlSubscription control) {
        this.self = self;
        this.control = control;
    }

    /** Records a stream whose first event was delivered, here and at the entries that keep its record. */
    void onBegun(long now, String stream, String service, StreamOrigin origin) {
        put(stream, new BegunStream(service, origin.version(), origin.sinceNanos(), now));
        for (Address holder : control.recordHolders().of(stream)) {
            if (!holder.equals(self)) {
                unsent.computeIfAbsent(holder, key -> new ArrayList<>()).add(stream);
                nextSendNanos = Math.min(nextSendNanos, now + MAX_DELAY_NANOS);
            }
        }
    }

    /** Keeps a record that another entry has sent. */
    void onRecord(long now, StreamRecord received) {
        long since = now - Durations.nanos(received.getAgeMs());
        put(received.getStream(), new BegunStream(received.getService(), received.getVersion(), since, now));
    }

    private void put(String stream, BegunStream begun) {
        // Removed first, so that the oldest stay in front.
        streams.remove(stream);
        streams.put(stream, begun);
        if (streams.size() > MAX_RECORDS) {
            streams.remove(streams.firstEntry().getKey());
        }
    }

    Optional<BegunStream> find(String stream) {
        return Optional.ofNullable(streams.get(stream));
    }

    /** Returns the record of a stream as a message, if there is one. */
    Optional<StreamRecord> toMessage(long now, String stream) {
        return find(stream)
                .map(begun -> StreamRecord.newBuilder()
                        .setStream(stream)
                        .setService(begun.service)
                        .setVersion(begun.version)
                        .setAgeMs((int) Durations.millis(now - begun.sinceNanos))
                        .build());
    }

    long nextDue() {
        return nextSendNanos;
    }

    void tick(long now, Outbox out) {
        if (now < nextSendNanos) {
            return;
        }
        nextSendNanos = Core.NEVER;
        unsent.forEach((holder, ids) -> send(now, holder, ids, out));
        unsent.clear();
    }

    private void send(long now, Address holder, List<String> ids, Outbox out) {
        for (int from = 0; from < ids.size(); from += MAX_RECORDS_PER_MESSAGE) {
            List<String> part = ids.subList(from, Math.min(ids.size(), from + MAX_RECORDS_PER_MESSAGE));
            StreamRecordBatch.Builder message = StreamRecordBatch.newBuilder();
            part.forEach(stream -> toMessage(now, stream).ifPresent(message::addRecords));
            out.send(holder, Envelope.newBuilder().setStreamRecords(message));
        }
    }

    /** Removes records that are too old. */
    void expire(long now) {
        Iterator<BegunStream> oldest = streams.values().iterator();
        while (oldest.hasNext() && now - oldest.next().keptNanos > RETENTION_NANOS) {
            oldest.remove();
        }
    }
}
