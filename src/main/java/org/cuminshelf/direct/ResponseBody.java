package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The body of a response as it arrives, in parts, so that a growing one is never copied. */
final class ResponseBody {

    private final List<byte[]> parts = new ArrayList<>();
    private int size;

    void add(ByteBuffer bytes) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        parts.add(part);
        size += part.length;
    }

    /** Returns the number of bytes so far. */
    int size() {
        return size;
    }

    byte[] toByteArray() {
        ByteBuffer whole = ByteBuffer.allocate(size);
        parts.forEach(whole::put);
        return whole.array();
    }
}
