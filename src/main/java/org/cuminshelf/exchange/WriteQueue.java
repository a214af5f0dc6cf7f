package org.cuminshelf.exchange;

import java.io.IOException;
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
 * if {@link #MAX_QUEUED_BYTES} are queued already, the next write fails, so that a slow caller exhausts no memory.
 * Large buffers are written in parts, which shows whether the peer reads.
 */
final class WriteQueue {

    /** Maximum for a slow peer; many times the usual length of a stream of some KB. */
    private static final int MAX_QUEUED_BYTES = 8 << 20;

    private static final int MAX_BUFFERS_PER_WRITE = 64;
    private static final int MAX_BUFFER_BYTES = 64 << 10;

    private final EndPoint endPoint;
    private final ReentrantLock lock;
    private final Consumer<Throwable> onFailure;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private final Callback writeCallback =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onWritten, this::onWriteFailed);
    private final List<Runnable> whenEmpty = new ArrayList<>();
    private long queuedBytes;
    private boolean writing;
    private boolean failed;
    /** Whether {@link #writeAll()} is on the stack; a write that completes at once returns to its loop. */
    private boolean insideWriteAll;

    private long lastProgressNanos = System.nanoTime();

    WriteQueue(EndPoint endPoint, ReentrantLock lock, Consumer<Throwable> onFailure) {
        this.endPoint = endPoint;
        this.lock = lock;
        this.onFailure = onFailure;
    }

    /** Writes buffers in order, after those already queued. */
    void write(ByteBuffer... buffers) {
        if (failed) {
            return;
        }
        if (queuedBytes > MAX_QUEUED_BYTES) {
            fail(new IOException("the peer does not read"));
            return;
        }
        if (isEmpty()) {
            lastProgressNanos = System.nanoTime();
        }
        for (ByteBuffer buffer : buffers) {
            enqueue(buffer);
        }
        writeAll();
    }

    private void enqueue(ByteBuffer buffer) {
        queuedBytes += buffer.remaining();
        while (buffer.remaining() > MAX_BUFFER_BYTES) {
            queue.add(buffer.slice(buffer.position(), MAX_BUFFER_BYTES));
            buffer.position(buffer.position() + MAX_BUFFER_BYTES);
        }
        if (buffer.hasRemaining()) {
            queue.add(buffer);
        }
    }

    /** Whether all bytes were written to the socket. */
    boolean isEmpty() {
        return !writing && !failed && queue.isEmpty();
    }

    /** The time at which the last bytes were taken by the socket, or the first of the present ones were queued. */
    long lastProgressNanos() {
        return lastProgressNanos;
    }

    /** Runs an action when all queued bytes were written to the socket, after those that wait for it already. */
    void whenEmpty(Runnable action) {
        if (isEmpty()) {
            action.run();
        } else {
            whenEmpty.add(action);
        }
    }

    private void writeAll() {
        if (insideWriteAll) {
            return;
        }
        insideWriteAll = true;
        try {
            while (!writing && !failed && !queue.isEmpty()) {
                writing = true;
                endPoint.write(writeCallback, nextBatch());
            }
        } finally {
            insideWriteAll = false;
        }
        if (isEmpty()) {
            List<Runnable> actions = List.copyOf(whenEmpty);
            whenEmpty.clear();
            actions.forEach(Runnable::run);
        }
    }

    private ByteBuffer[] nextBatch() {
        List<ByteBuffer> batch = new ArrayList<>();
        int batchBytes = 0;
        while (!queue.isEmpty() && batch.size() < MAX_BUFFERS_PER_WRITE && batchBytes < MAX_BUFFER_BYTES) {
            ByteBuffer buffer = queue.poll();
            batchBytes += buffer.remaining();
            batch.add(buffer);
        }
        queuedBytes -= batchBytes;
        return batch.toArray(ByteBuffer[]::new);
    }

    private void onWritten() {
        lock.lock();
        try {
            writing = false;
            lastProgressNanos = System.nanoTime();
            writeAll();
        } finally {
            lock.unlock();
        }
    }

    private void onWriteFailed(Throwable failure) {
        lock.lock();
        try {
            fail(failure);
        } finally {
            lock.unlock();
        }
    }

    private void fail(Throwable failure) {
        if (failed) {
            return;
        }
        failed = true;
        queue.clear();
        whenEmpty.clear();
        queuedBytes = 0;
        onFailure.accept(failure);
    }
}
