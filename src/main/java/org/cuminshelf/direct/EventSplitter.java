package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a byte stream into complete server-sent events, each terminated by an empty line. Only complete events may be
 * forwarded: if an upstream fails in the middle of an event, a forwarded fragment would be joined with the first event
 * of the upstream that resumes the stream.
 */
final class EventSplitter {

    private static final int INITIAL_CAPACITY_BYTES = 512;
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    /**
     * A complete event.
     *
     * @param bytes its bytes, including the terminating empty line
     * @param id    the value of its numeric {@code id} field, if there is one
     */
    record Event(byte[] bytes, OptionalLong id) {}

    private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
    private int size;

    void add(ByteBuffer bytes) {
        int needed = size + bytes.remaining();
        if (needed > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(needed, 2 * buffer.length));
        }
        int count = bytes.remaining();
        bytes.get(buffer, size, count);
        size += count;
    }

    /** Removes and returns the next complete event, or empty if there is none. */
    Optional<Event> next() {
        int lineStart = 0;
        for (int at = 0; at < size; at++) {
            if (buffer[at] != LINE_FEED) {
                continue;
            }
            boolean emptyLine = at == lineStart || at == lineStart + 1 && buffer[lineStart] == CARRIAGE_RETURN;
            if (emptyLine) {
                return Optional.of(removeEvent(at + 1));
            }
            lineStart = at + 1;
        }
        return Optional.empty();
    }

    /** Returns the number of bytes after the last complete event. */
    int pendingBytes() {
        return size;
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return Arrays.copyOf(buffer, size);
    }

    private Event removeEvent(int length) {
        byte[] event = Arrays.copyOf(buffer, length);
        size -= length;
        System.arraycopy(buffer, length, buffer, 0, size);
        return new Event(event, parseId(event));
    }

    private static OptionalLong parseId(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            if (line.startsWith("id:")) {
                try {
                    return OptionalLong.of(
                            Long.parseLong(line.substring("id:".length()).trim()));
                } catch (NumberFormatException e) {
                    // A stream cannot be resumed after a non-numeric id, so the event counts as one without id.
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }
}
