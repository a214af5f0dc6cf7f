package org.cuminshelf.network;

import java.util.concurrent.atomic.LongAdder;

/** Counts the messages of a process, without TCP, IP and TLS around them. */
public final class TrafficCounters {

    private final LongAdder messagesSent = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder messagesReceived = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();

    TrafficCounters() {}

    void sent(long bytes) {
        messagesSent.increment();
        bytesSent.add(bytes);
    }

    void received(long bytes) {
        messagesReceived.increment();
        bytesReceived.add(bytes);
    }

    /**
     * Messages sent.
     *
     * @return their number
     */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /**
     * Bytes sent.
     *
     * @return their number
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Messages received.
     *
     * @return their number
     */
    public long messagesReceived() {
        return messagesReceived.sum();
    }

    /**
     * Bytes received.
     *
     * @return their number
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }
}
