package org.cuminshelf.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;

/**
 * One read buffer for each thread: what was read is parsed or copied before the thread reads again.
 *
 * <p>Failure it guards against: an upstream dies in the middle of an answer without a length, and its connection is
 * reset. Jetty's own end point tells a reset and an orderly end alike, so half an answer would pass for a whole one.
 * The channel is read here, where a reset is an exception.
 */
final class ReadBuffers {

    private static final int BYTES = 32 << 10;
    private static final ThreadLocal<ByteBuffer> BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(BYTES));

    private ReadBuffers() {}

    /** The thread's buffer. */
    static ByteBuffer take() {
        return BUFFER.get().clear();
    }

    /**
     * Reads what is there without waiting.
     *
     * @return the bytes read, 0 if there are none now, -1 at the orderly end
     * @throws IOException if the connection was reset
     */
    static int read(EndPoint endPoint, ByteBuffer buffer) throws IOException {
        int count = ((SocketChannel) endPoint.getTransport()).read(buffer);
        buffer.flip();
        return count;
    }
}
