package org.cuminshelf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Finds the valid records in a part of a log whose start isn't the start of a record. */
final class RecordSearch {

    private static final int WINDOW_BYTES = 64 << 10;
    private static final int MAGIC_BYTES = Integer.BYTES;

    private final LogDevice device;
    private final long end;
    private final ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES);
    /** Position in the log of the first byte of {@link #window}. */
    private long windowStart;
    /** The next position to look at. */
    private long next;

    RecordSearch(LogDevice device, long start, long end) throws IOException {
        this.device = device;
        this.end = end;
        this.next = start;
        load(start);
    }

    /** Returns the next valid record, empty at the end of the log. */
    Optional<RecordCodec.StoredRecord> next() throws IOException {
        while (next <= end - RecordCodec.HEADER_BYTES) {
            long position = next++;
            if (position + MAGIC_BYTES > windowStart + window.limit()) {
                load(position);
            }
            if (window.getInt((int) (position - windowStart)) == RecordCodec.MAGIC) {
                Optional<RecordCodec.StoredRecord> record = RecordCodec.read(device, position, end);
                if (record.isPresent()) {
                    return record;
                }
            }
        }
        return Optional.empty();
    }

    private void load(long start) throws IOException {
        window.clear();
        device.read(start, window);
        window.flip();
        windowStart = start;
    }
}
