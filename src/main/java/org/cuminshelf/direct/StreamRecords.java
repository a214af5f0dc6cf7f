package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.message.Update;
import org.cuminshelf.streams.StreamRecordHolders;
import org.cuminshelf.streams.StreamRecordTable;

/**
 * Records of the software versions that began streams. An entry keeps those of its own streams and those that others
 * send it as one of the {@link StreamRecordHolders}.
 *
 * <p>Guards against streams that hold events of two versions, as their caller takes them up at another entry after the
 * one that began them has ended.
 */
final class StreamRecords {

    /** Time for which a record is kept: longer than any caller waits for the rest of a stream. */
    static final long RETENTION_NANOS = StreamRecordTable.RETENTION_NANOS;

    private static final int MAX_RECORDS = 50_000;
    /** Time for which records for other entries are collected into one message. */
    private static final long MAX_DELAY_NANOS = Durations.nanos(5);

    /**
     * The record of one stream.
     *
     * @param service    service that began it
     * @param version    software version that began it
     * @param sinceNanos time of its first event
     */
    record BegunStream(String service, String version, long sinceNanos) {}

    private final Address self;
    private final ControlSubscription control;
    private final StreamRecordTable records = StreamRecordTable.create(MAX_RECORDS);
    private final RecordBatches toEntries = new RecordBatches(records);
    private final ControlRecordSender toControl;

    StreamRecords(Address self, ControlSubscription control) {
        this.self = self;
        this.control = control;
        this.toControl = new ControlRecordSender(self, control, records);
    }

    /** Records a stream whose first event was delivered, here and at the processes that keep its record. */
    void onBegun(long now, String stream, String service, StreamOrigin origin) {
        records.put(now, stream, service, origin.version(), origin.sinceNanos());
        control.recordHolders().entries(stream).stream()
                .filter(holder -> !holder.equals(self))
                .forEach(holder -> toEntries.add(now, holder, stream, MAX_DELAY_NANOS));
        toControl.add(now, stream);
    }

    /** Keeps a record that another entry has sent. */
    void onRecord(long now, StreamRecord received) {
        records.put(now, received);
    }

    /** Sends a control process that has lost its memory what it is to keep. */
    void onUpdate(long now, Address from, Update update) {
        toControl.onUpdate(now, from, update);
    }

    Optional<BegunStream> find(String stream) {
        return records.find(stream)
                .map(recorded -> new BegunStream(recorded.service(), recorded.version(), recorded.sinceNanos()));
    }

    /** Returns the record of a stream as a message, if there is one. */
    Optional<StreamRecord> toMessage(long now, String stream) {
        return records.toMessage(now, stream);
    }

    long nextDue() {
        return Math.min(toEntries.nextDue(), toControl.nextDue());
    }

    void tick(long now, Outbox out) {
        toEntries.tick(now, out);
        toControl.tick(now, out);
    }

    /** Sends what has not been sent, and shortens the interval to control, as this process is about to end. */
    void onStop(long now, Outbox out) {
        toControl.startDraining();
        sendAll(now, out);
    }

    /** Sends all that waits to be sent, due or not. */
    void sendAll(long now, Outbox out) {
        toEntries.sendAll(now, out);
        toControl.sendAll(now, out);
    }

    /** Removes records that are too old. */
    void expire(long now) {
        records.expire(now);
    }
}
