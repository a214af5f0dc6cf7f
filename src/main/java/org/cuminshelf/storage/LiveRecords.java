package org.cuminshelf.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Snapshot;

/** Where the records of a log stand that make up its state. Their contents stay on the disk. */
final class LiveRecords {

    /**
     * The place of an entry or a snapshot.
     *
     * @param index    its index
     * @param term     its term
     * @param position the position of its record in the log
     */
    record Place(long index, long term, long position) {}

    private HardState hardState = HardState.getDefaultInstance();
    private Optional<Place> snapshot = Optional.empty();
    private final List<Place> entries = new ArrayList<>();

    /** Adds the record at a position, which comes after all records added before. */
    void add(LogRecord record, long position) {
        switch (record.getRecordCase()) {
            case HARD_STATE -> hardState = record.getHardState();
            case ENTRY -> {
                LogEntry entry = record.getEntry();
                truncateFrom(entry.getIndex());
                entries.add(new Place(entry.getIndex(), entry.getTerm(), position));
            }
            case CUT_FROM -> truncateFrom(record.getCutFrom());
            case SNAPSHOT -> installSnapshot(record.getSnapshot(), position);
            case RECORD_NOT_SET -> {
                // Written by a later version, which allows this one to ignore it.
            }
        }
    }

    HardState hardState() {
        return hardState;
    }

    Optional<Place> snapshot() {
        return snapshot;
    }

    /** The entries after the snapshot, in their order. */
    List<Place> entries() {
        return List.copyOf(entries);
    }

    private void truncateFrom(long index) {
        while (!entries.isEmpty() && entries.getLast().index() >= index) {
            entries.removeLast();
        }
    }

    private void installSnapshot(Snapshot installed, long position) {
        snapshot = Optional.of(new Place(installed.getIndex(), installed.getTerm(), position));
        boolean containsSnapshot = entries.stream()
                .anyMatch(entry -> entry.index() == installed.getIndex() && entry.term() == installed.getTerm());
        if (containsSnapshot) {
            entries.removeIf(entry -> entry.index() <= installed.getIndex());
        } else {
            entries.clear();
        }
    }
}
