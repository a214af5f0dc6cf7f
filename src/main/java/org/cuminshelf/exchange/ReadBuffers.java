package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/** One read buffer for each thread: what was read is parsed or copied before the thread reads again. */
final class ReadBuffers {

    private static final int BYTES = 32 << 10;
    private static final ThreadLocal<ByteBuffer> BUFFER =
            ThreadLocal.withInitial(() -> BufferUtil.allocateDirect(BYTES));

    private ReadBuffers() {}

    /** The thread's buffer, empty, in the mode that an end point fills. */
    static ByteBuffer take() {
        ByteBuffer buffer = BUFFER.get();
        BufferUtil.clear(buffer);
        return buffer;
    }
}
