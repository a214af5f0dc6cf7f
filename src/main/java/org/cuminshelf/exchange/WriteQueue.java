package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Queue of buffers to write on a connection, which allows one write at a time. Guards against a peer that doesn't read:
 * above {@link #MAX_QUEUED_BYTES} queued bytes the connection fails, so that a slow caller can't exhaust the memory.
 */
final class WriteQueue {

    /** Maximum for a slow peer; many times the usual length of a stream of some KB. */
    private static final int MAX_QUEUED_BYTES = 8 << 20;

    private static final int MAX_BUFFERS_PER_WRITE = 64;

    private final EndPoint endPoint;
    private final ReentrantLock lock;
    private final Consumer<Throwable> onFailure;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private final Callback writeCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onWritten, this::onWriteFailed);
    private final List<Runnable> whenEmpty = new ArrayList<>();
    private long queuedBytes;
    private boolean writing;

    WriteQueue(EndPoint endPoint, ReentrantLock lock, Consumer<Throwable> onFailure) {
        this.endPoint = endPoint;
        this.lock = lock;
        this.onFailure = onFailure;
    }

    /** Writes buffers in order, after those already queued. */
    void write(ByteBuffer... buffers) {
        for (ByteBuffer buffer : buffers) {
            if (buffer.hasRemaining()) {
                queue.add(buffer);
                queuedBytes += buffer.remaining();
            }
        }
        if (queuedBytes > MAX_QUEUED_BYTES) {
            onFailure.accept(new java.io.IOException("the peer does not read"));
            return;
        }
        writeNext();
    }

    /** Whether all bytes were written to the socket. */
    boolean isEmpty() {
        return !writing && queue.isEmpty();
    }

    /** Runs an action when all queued bytes were written to the socket, after those that wait for it already. */
    void whenEmpty(Runnable action) {
        if (isEmpty()) {
            action.run();
        } else {
            whenEmpty.add(action);
        }
    }

    private void writeNext() {
        if (writing) {
            return;
        }
        if (queue.isEmpty()) {
            List<Runnable> actions = List.copyOf(whenEmpty);
            whenEmpty.clear();
            actions.forEach(Runnable::run);
            return;
        }
        writing = true;
        ByteBuffer[] batch = new ByteBuffer[Math.min(queue.size(), MAX_BUFFERS_PER_WRITE)];
        for (int index = 0; index < batch.length; index++) {
            batch[index] = queue.poll();
            queuedBytes -= batch[index].remaining();
        }
        endPoint.write(writeCallback, batch);
    }

    private void onWritten() {
        lock.lock();
        try {
            writing = false;
            writeNext();
        } finally {
            lock.unlock();
        }
    }

    private void onWriteFailed(Throwable failure) {
        lock.lock();
        try {
            onFailure.accept(failure);
        } finally {
            lock.unlock();
        }
    }
}
