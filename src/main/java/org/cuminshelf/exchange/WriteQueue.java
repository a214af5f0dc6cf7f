package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * What waits to be written on a connection, which takes one write at a time. Guards against a peer that doesn't read:
 * past {@link #MOST_WAITING} bytes the connection is given up, so that one slow caller can't fill the memory.
 */
final class WriteQueue {

    /** Bytes that may wait for a slow peer; many times a stream's usual length of some KB. */
    private static final int MOST_WAITING = 8 << 20;

    private static final int MOST_AT_ONCE = 64;

    private final EndPoint endPoint;
    private final ReentrantLock lock;
    private final Consumer<Throwable> onFailure;
    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();
    private final Callback done = Callback.from(Invocable.InvocationType.NON_BLOCKING, this::written, this::failed);
    private long waitingBytes;
    private boolean writing;
    private Runnable whenEmpty;

    WriteQueue(EndPoint endPoint, ReentrantLock lock, Consumer<Throwable> onFailure) {
        this.endPoint = endPoint;
        this.lock = lock;
        this.onFailure = onFailure;
    }

    /** Writes buffers in order, after what waits already. */
    void write(ByteBuffer... buffers) {
        for (ByteBuffer buffer : buffers) {
            if (buffer.hasRemaining()) {
                waiting.add(buffer);
                waitingBytes += buffer.remaining();
            }
        }
        if (waitingBytes > MOST_WAITING) {
            onFailure.accept(new java.io.IOException("the peer does not read"));
            return;
        }
        writeNext();
    }

    /** Whether everything was handed to the system. */
    boolean isEmpty() {
        return !writing && waiting.isEmpty();
    }

    /** Runs an action once everything that waits now was handed to the system. */
    void whenEmpty(Runnable action) {
        if (isEmpty()) {
            action.run();
        } else {
            whenEmpty = action;
        }
    }

    private void writeNext() {
        if (writing) {
            return;
        }
        if (waiting.isEmpty()) {
            Runnable action = whenEmpty;
            whenEmpty = null;
            if (action != null) {
                action.run();
            }
            return;
        }
        writing = true;
        ByteBuffer[] next = new ByteBuffer[Math.min(waiting.size(), MOST_AT_ONCE)];
        for (int index = 0; index < next.length; index++) {
            next[index] = waiting.poll();
            waitingBytes -= next[index].remaining();
        }
        endPoint.write(done, next);
    }

    private void written() {
        lock.lock();
        try {
            writing = false;
            writeNext();
        } finally {
            lock.unlock();
        }
    }

    private void failed(Throwable failure) {
        lock.lock();
        try {
            onFailure.accept(failure);
        } finally {
            lock.unlock();
        }
    }
}
