package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts a stream of bytes into whole events, each ended by an empty line. Guards against an upstream that breaks off in
 * the middle of an event: half an event passed on would be joined with the first event of the run that goes on.
 */
final class EventSplitter {

    private static final int INITIAL_CAPACITY_BYTES = 512;
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    /**
     * A whole event.
     *
     * @param bytes its bytes, with the empty line at its end
     * @param id    its number, where it has one
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

    /** Takes the next whole event, if there is one. */
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

    /** What follows the last whole event. */
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
                    // An id that is no number can't be resumed from: the event counts as one without.
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }
}
