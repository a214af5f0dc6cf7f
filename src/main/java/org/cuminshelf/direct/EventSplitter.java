package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a byte stream into complete server-sent events, each terminated by an empty line. Lines end with LF, CR LF or
 * CR. Only complete events may be forwarded: if an upstream fails in the middle of an event, a forwarded fragment would
 * be joined with the first event of the upstream that resumes the stream.
 */
final class EventSplitter {

    private static final int INITIAL_CAPACITY_BYTES = 512;
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final int UNDECIDED = -1;

    /**
     * A complete event.
     *
     * @param bytes its bytes, including the terminating empty line
     * @param id    the value of its numeric {@code id} field, if there is one
     */
    record Event(byte[] bytes, OptionalLong id) {}

    private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
    /** Bounds of the bytes after the last complete event. */
    private int start;

    private int end;
    /** Where the search for the end of the event goes on, and where the line began that it is in. */
    private int searchedTo;

    private int lineStart;

    void add(ByteBuffer bytes) {
        makeRoom(bytes.remaining());
        int count = bytes.remaining();
        bytes.get(buffer, end, count);
        end += count;
    }

    private void makeRoom(int count) {
        if (end + count <= buffer.length) {
            return;
        }
        int size = pendingBytes();
        byte[] target = size + count <= buffer.length ? buffer : new byte[Math.max(size + count, 2 * buffer.length)];
        System.arraycopy(buffer, start, target, 0, size);
        buffer = target;
        searchedTo -= start;
        lineStart -= start;
        start = 0;
        end = size;
    }

    /** Removes and returns the next complete event, or empty if there is none. */
    Optional<Event> next() {
        while (searchedTo < end) {
            int lineEnd = lineEndLength(searchedTo);
            if (lineEnd == UNDECIDED) {
                return Optional.empty();
            }
            if (lineEnd > 0 && searchedTo == lineStart) {
                return Optional.of(removeEvent(searchedTo + lineEnd - start));
            }
            searchedTo += Math.max(1, lineEnd);
            lineStart = lineEnd > 0 ? searchedTo : lineStart;
        }
        return Optional.empty();
    }

    /** Removes and returns the last event of a stream that has ended, if only its end tells that it is complete. */
    Optional<Event> last() {
        boolean endsWithEmptyLine =
                pendingBytes() >= 2 && buffer[end - 1] == CARRIAGE_RETURN && buffer[end - 2] == CARRIAGE_RETURN;
        return endsWithEmptyLine ? Optional.of(removeEvent(pendingBytes())) : Optional.empty();
    }

    /** Returns the length of the line end at a position: 0 if there is none; a line feed may follow the last byte. */
    private int lineEndLength(int at) {
        if (buffer[at] == LINE_FEED) {
            return 1;
        }
        if (buffer[at] != CARRIAGE_RETURN) {
            return 0;
        }
        if (at + 1 == end) {
            return UNDECIDED;
        }
        return buffer[at + 1] == LINE_FEED ? 2 : 1;
    }

    /** Returns the number of bytes after the last complete event. */
    int pendingBytes() {
        return end - start;
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return Arrays.copyOfRange(buffer, start, end);
    }

    private Event removeEvent(int length) {
        byte[] event = Arrays.copyOfRange(buffer, start, start + length);
        start += length;
        searchedTo = start;
        lineStart = start;
        return new Event(event, parseId(event));
    }

    private static OptionalLong parseId(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        for (String line : text.split("[\r\n]")) {
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
