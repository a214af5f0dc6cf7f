package org.cuminshelf.storage;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.cuminshelf.message.LogRecord;

/**
 * The form of a record in a log. Each record is preceded by a header: magic number, payload length, CRC-32C of the
 * remaining header and the payload, and the length of the log that was synced when the record was written.
 */
final class RecordCodec {

    /** The start of each record: "CUM1" in ASCII. */
    static final int MAGIC = 0x43554d31;
    /** Magic number, payload length, checksum, synced length. */
    static final int HEADER_BYTES = 4 + 4 + 4 + 8;

    private static final int LENGTH_OFFSET = 4;
    private static final int CHECKSUM_OFFSET = 8;
    /** Offset in a record of the synced length, where the checksummed part starts. */
    private static final int SYNCED_LENGTH_OFFSET = 12;

    private static final int MAX_PAYLOAD_BYTES = 256 << 20;

    /**
     * A record that was read.
     *
     * @param record       the record
     * @param length       its length in the log, in bytes
     * @param syncedLength the length of the log, in bytes, that was synced when the record was written
     */
    record StoredRecord(LogRecord record, int length, long syncedLength) {}

    private RecordCodec() {}

    /** Encodes a record that is written when {@code syncedLength} bytes of the log are synced. */
    static byte[] encode(LogRecord record, long syncedLength) {
        int payload = record.getSerializedSize();
        byte[] bytes = new byte[HEADER_BYTES + payload];
        ByteBuffer header = ByteBuffer.wrap(bytes);
        header.putInt(MAGIC).putInt(payload).putInt(0).putLong(syncedLength);
        try {
            record.writeTo(CodedOutputStream.newInstance(bytes, HEADER_BYTES, payload));
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        header.putInt(CHECKSUM_OFFSET, checksum(bytes));
        return bytes;
    }

    /**
     * Reads the record at a position, and holds nothing but that record.
     *
     * @param device   the storage of the log
     * @param position the position of the record
     * @param end      where the log ends
     * @return the record; empty if there is no valid one
     * @throws IOException if the log can't be read
     */
    static Optional<StoredRecord> read(LogDevice device, long position, long end) throws IOException {
        if (end - position < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        device.read(position, header);
        int payload = header.getInt(LENGTH_OFFSET);
        boolean plausible = header.getInt(0) == MAGIC
                && payload >= 0
                && payload <= MAX_PAYLOAD_BYTES
                && payload <= end - position - HEADER_BYTES;
        if (!plausible) {
            return Optional.empty();
        }
        ByteBuffer whole = ByteBuffer.allocate(HEADER_BYTES + payload);
        device.read(position, whole);
        return decode(whole.array());
    }

    private static Optional<StoredRecord> decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (buffer.getInt(CHECKSUM_OFFSET) != checksum(bytes)) {
            return Optional.empty();
        }
        try {
            LogRecord record = LogRecord.parser().parseFrom(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
            return Optional.of(new StoredRecord(record, bytes.length, buffer.getLong(SYNCED_LENGTH_OFFSET)));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, SYNCED_LENGTH_OFFSET, bytes.length - SYNCED_LENGTH_OFFSET);
        return (int) crc.getValue();
    }
}
