package org.cuminshelf.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;

/**
 * Read buffers for each thread: their content is parsed or copied before the thread reads again.
 *
 * <p>Guards against truncated responses: if an upstream crashes during a response without a length, its connection is
 * reset. Jetty's end point reports a reset like an orderly close, so the partial response would pass as complete.
 * This class reads the channel itself, where a reset is an exception.
 */
final class ReadBuffers {

    private static final int BUFFER_BYTES = 32 << 10;
    private static final ThreadLocal<ByteBuffer> BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(BUFFER_BYTES));
    private static final ThreadLocal<ByteBuffer> AHEAD_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(BUFFER_BYTES));

    private ReadBuffers() {}

    /** Returns the current thread's buffer, cleared. */
    static ByteBuffer clearedBuffer() {
        return BUFFER.get().clear();
    }

    /** Returns the current thread's buffer for reading ahead while the other one is being parsed, cleared. */
    static ByteBuffer clearedAheadBuffer() {
        return AHEAD_BUFFER.get().clear();
    }

    /**
     * Reads the available bytes without blocking and flips the buffer.
     *
     * @return the number of bytes read, 0 if none are available, -1 after an orderly close
     * @throws IOException if the connection was reset
     */
    static int read(EndPoint endPoint, ByteBuffer buffer) throws IOException {
        int count = ((SocketChannel) endPoint.getTransport()).read(buffer);
        buffer.flip();
        return count;
    }
}
