package org.cuminshelf.http;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the parts of a response one after another without blocking the caller of {@link #write}.
 *
 * <p>Failure it guards against: a caller reads slower than its answer is made, and parts pile up. Beyond a bound the
 * response is failed, which the owner sees as the caller having gone.
 */
final class ResponseWriter {

    private static final long MOST_WAITING_BYTES = 8L << 20;

    private record Part(ByteBuffer bytes, boolean last) {}

    private final Response response;
    private final Callback callback;
    private final Runnable onDisconnect;
    private final Deque<Part> parts = new ArrayDeque<>();
    private long waitingBytes;
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
        waitingBytes += bytes.length;
        if (waitingBytes > MOST_WAITING_BYTES) {
            fail(new java.io.IOException("the caller reads too slowly"));
            return;
        }
        parts.add(new Part(ByteBuffer.wrap(bytes), last));
        if (!writing) {
            next();
        }
    }

    /** Ends the response in a way that shows the caller it is not whole. */
    synchronized void fail(Throwable cause) {
        if (!ended) {
            ended = true;
            parts.clear();
            callback.failed(cause);
            onDisconnect.run();
        }
    }

    private void next() {
        Part part = parts.poll();
        if (part == null) {
            writing = false;
            return;
        }
        writing = true;
        int size = part.bytes.remaining();
        response.write(part.last, part.bytes, Callback.from(() -> written(part, size), this::fail));
    }

    private synchronized void written(Part part, int size) {
        waitingBytes -= size;
        if (part.last) {
            if (!ended) {
                ended = true;
                callback.succeeded();
            }
            return;
        }
        next();
    }
}
