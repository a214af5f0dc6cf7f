package org.cuminshelf.control;

import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.StreamAnswer;
import org.cuminshelf.message.StreamQuery;
import org.cuminshelf.message.StreamRecord;
import org.cuminshelf.streams.StreamRecordTable;

/**
 * The records of the software versions that began streams, as entries send them to this control process, and the
 * answers to entries that ask for one.
 *
 * <p>Guards against resumed streams whose version nobody knows after all entries have lost their memory.
 */
final class StreamRecordStore {

    /**
     * Bounds the memory to 25 MB. Of 4,700 streams a second each of six processes holds 94,000 records, and each of
     * three those of the last 48 s.
     */
    private static final int MAX_RECORDS = 150_000;

    private final StreamRecordTable records = StreamRecordTable.create(MAX_RECORDS);
    private final EntryRecordRefill refill;

    StreamRecordStore(SubscriberTable subscribers) {
        this.refill = new EntryRecordRefill(records, subscribers);
    }

    /** Keeps the records that an entry has sent. */
    void onRecords(long now, List<StreamRecord> received) {
        received.forEach(record -> records.put(now, record));
    }

    /** Answers an entry that asks for a record. */
    StreamAnswer.Builder answer(long now, StreamQuery query) {
        StreamAnswer.Builder answer = StreamAnswer.newBuilder().setNumber(query.getNumber());
        records.toMessage(now, query.getStream()).ifPresent(answer::setRecord);
        return answer;
    }

    /** Handles an entry that has started, and so has no records. */
    void onEntryStarted(long now, Address entry) {
        refill.onStarted(now, entry);
    }

    long nextDue() {
        return refill.nextDue();
    }

    void tick(long now, Outbox out) {
        refill.tick(now, out);
    }

    /** Removes records that are too old. */
    void expire(long now) {
        records.expire(now);
    }
}
