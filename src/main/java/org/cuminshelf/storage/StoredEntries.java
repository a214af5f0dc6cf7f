package org.cuminshelf.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.AbstractList;
import java.util.List;
import java.util.RandomAccess;
import org.cuminshelf.message.LogEntry;

/**
 * The entries of a log as a list that reads each one from the disk when it is asked for and keeps none. Usable until
 * the log is next written.
 */
final class StoredEntries extends AbstractList<LogEntry> implements RandomAccess {

    private final LogDevice device;
    private final String name;
    private final List<LiveRecords.Place> places;
    private final long end;

    StoredEntries(LogDevice device, String name, List<LiveRecords.Place> places, long end) {
        this.device = device;
        this.name = name;
        this.places = places;
        this.end = end;
    }

    /**
     * Reads an entry.
     *
     * @param position its place in the list
     * @return the entry
     * @throws UncheckedIOException if it can't be read
     */
    @Override
    public LogEntry get(int position) {
        try {
            return RecordCodec.read(device, places.get(position).position(), end)
                    .orElseThrow(() -> new CorruptLogException(name + ": an entry that was valid can't be read again"))
                    .record()
                    .getEntry();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public int size() {
        return places.size();
    }
}
