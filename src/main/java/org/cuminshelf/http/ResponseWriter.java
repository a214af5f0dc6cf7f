package org.cuminshelf.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the parts of a response in order without blocking the thread that calls {@link #write}.
 *
 * <p>Guards against a caller that reads more slowly than its response is produced, so that parts accumulate in memory.
 * Above a maximum the response fails, and the owner is notified as for a disconnect.
 */
final class ResponseWriter {

    private static final long MAX_QUEUED_BYTES = 8L << 20;

    private record QueuedPart(ByteBuffer bytes, boolean last) {}

    private final Response response;
    private final Callback callback;
    private final Runnable onDisconnect;
    private final Deque<QueuedPart> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean writing;
    private boolean ended;

    ResponseWriter(Response response, Callback callback, Runnable onDisconnect) {
        this.response = response;
        this.callback = callback;
        this.onDisconnect = onDisconnect;
    }

    synchronized void write(byte[] bytes, boolean last) {
        if (ended) {
            return;
        }
        queuedBytes += bytes.length;
        if (queuedBytes > MAX_QUEUED_BYTES) {
            fail(new java.io.IOException("the caller reads too slowly"));
            return;
        }
        queue.add(new QueuedPart(ByteBuffer.wrap(bytes), last));
        if (!writing) {
            writeNext();
        }
    }

    /** Aborts the response, so that the caller sees that it is incomplete. */
    synchronized void fail(Throwable cause) {
        if (!ended) {
            ended = true;
            queue.clear();
            callback.failed(cause);
            onDisconnect.run();
        }
    }

    private void writeNext() {
        QueuedPart part = queue.poll();
        if (part == null) {
            writing = false;
            return;
        }
        writing = true;
        int sizeBytes = part.bytes.remaining();
        response.write(part.last, part.bytes, Callback.from(() -> onWritten(part, sizeBytes), this::fail));
    }

    private synchronized void onWritten(QueuedPart part, int sizeBytes) {
        queuedBytes -= sizeBytes;
        if (part.last) {
            if (!ended) {
                ended = true;
                callback.succeeded();
            }
            return;
        }
        writeNext();
    }
}
