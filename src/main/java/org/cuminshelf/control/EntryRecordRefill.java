package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.StreamRecordBatch;
import org.cuminshelf.streams.StreamRecordHolders;
import org.cuminshelf.streams.StreamRecordTable;

/**
 * Sends an entry that has started the records of streams that it is to keep, as far as this control process has them.
 *
 * <p>Guards against records that only control has after all entries have restarted, and that are lost with control.
 */
final class EntryRecordRefill {

    /** Interval between two parts; entries that start within it are served together. */
    private static final long INTERVAL_NANOS = Durations.nanos(50);
    /** Streams looked at in one part, which bounds the time for which the core does nothing else. */
    private static final int MAX_STREAMS_PER_PART = 5_000;
    /** Records in a message, which bounds its size. */
    private static final int MAX_RECORDS_PER_MESSAGE = 256;

    private final StreamRecordTable records;
    private final SubscriberTable subscribers;
    /** Entries that have started and are not yet part of a pass. */
    private final Set<Address> started = new TreeSet<>();
    /** Entries that are sent records in the pass under way. */
    private Set<Address> receivers = Set.of();

    private StreamRecordHolders holders = StreamRecordHolders.among(Map.of());
    /** The streams that the pass under way has still to look at. */
    private Iterator<String> remaining = List.<String>of().iterator();

    private long dueNanos = Core.NEVER;

    EntryRecordRefill(StreamRecordTable records, SubscriberTable subscribers) {
        this.records = records;
        this.subscribers = subscribers;
    }

    /** Schedules sending records to an entry that has started. */
    void onStarted(long now, Address entry) {
        if (records.size() > 0) {
            started.add(entry);
            dueNanos = Math.min(dueNanos, now + INTERVAL_NANOS);
        }
    }

    long nextDue() {
        return dueNanos;
    }

    void tick(long now, Outbox out) {
        if (now < dueNanos) {
            return;
        }
        if (!remaining.hasNext()) {
            begin(now);
        }
        sendPart(now, out);
        boolean over = !remaining.hasNext() && started.isEmpty();
        dueNanos = over ? Core.NEVER : now + INTERVAL_NANOS;
    }

    private void begin(long now) {
        receivers = Set.copyOf(started);
        started.clear();
        Map<Address, String> zonesByEntry = new TreeMap<>();
        subscribers.all().stream()
                .filter(subscriber -> subscriber.wantsDirectory)
                .forEach(subscriber -> zonesByEntry.put(subscriber.address, subscriber.zone));
        holders = StreamRecordHolders.among(zonesByEntry);
        List<String> streams = new ArrayList<>(records.size());
        records.forEachRecordedSince(now - StreamRecordTable.RETENTION_NANOS, streams::add);
        remaining = streams.iterator();
    }

    private void sendPart(long now, Outbox out) {
        Map<Address, StreamRecordBatch.Builder> batches = new HashMap<>();
        for (int count = 0; count < MAX_STREAMS_PER_PART && remaining.hasNext(); count++) {
            String stream = remaining.next();
            for (Address holder : holders.entries(stream)) {
                if (receivers.contains(holder)) {
                    add(now, holder, stream, batches, out);
                }
            }
        }
        batches.forEach((entry, batch) -> send(entry, batch, out));
    }

    private void add(
            long now, Address entry, String stream, Map<Address, StreamRecordBatch.Builder> batches, Outbox out) {
        StreamRecordBatch.Builder batch = batches.computeIfAbsent(entry, key -> StreamRecordBatch.newBuilder());
        records.toMessage(now, stream).ifPresent(batch::addRecords);
        if (batch.getRecordsCount() >= MAX_RECORDS_PER_MESSAGE) {
            send(entry, batch, out);
            batches.remove(entry);
        }
    }

    private static void send(Address entry, StreamRecordBatch.Builder batch, Outbox out) {
        if (batch.getRecordsCount() > 0) {
            out.send(entry, Envelope.newBuilder().setStreamRecords(batch));
        }
    }
}
