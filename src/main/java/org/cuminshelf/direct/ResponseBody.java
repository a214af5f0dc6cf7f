package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response as it arrives. It is kept in blocks, so that a growing one is never copied, and one that comes
 * in pieces of a byte takes no more memory than any other.
 */
final class ResponseBody {

    private static final int MIN_BLOCK_BYTES = 512;
    private static final int MAX_BLOCK_BYTES = 64 << 10;

    /** All blocks but the last are full. */
    private final List<ByteBuffer> blocks = new ArrayList<>();

    private int size;

    void add(ByteBuffer bytes) {
        size += bytes.remaining();
        while (bytes.hasRemaining()) {
            ByteBuffer block = blockWithRoom();
            int count = Math.min(block.remaining(), bytes.remaining());
            block.put(bytes.slice(bytes.position(), count));
            bytes.position(bytes.position() + count);
        }
    }

    private ByteBuffer blockWithRoom() {
        if (blocks.isEmpty() || !blocks.getLast().hasRemaining()) {
            int capacity =
                    blocks.isEmpty() ? MIN_BLOCK_BYTES : 2 * blocks.getLast().capacity();
            blocks.add(ByteBuffer.allocate(Math.min(capacity, MAX_BLOCK_BYTES)));
        }
        return blocks.getLast();
    }

    /** Returns the number of bytes so far. */
    int size() {
        return size;
    }

    byte[] toByteArray() {
        ByteBuffer whole = ByteBuffer.allocate(size);
        blocks.forEach(block -> whole.put(block.duplicate().flip()));
        return whole.array();
    }

    /** Returns the memory that the blocks take, in bytes. */
    int capacity() {
        return blocks.stream().mapToInt(ByteBuffer::capacity).sum();
    }
}
