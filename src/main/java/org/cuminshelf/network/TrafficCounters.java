package org.cuminshelf.network;

import java.util.concurrent.atomic.LongAdder;

/** Counts the messages of a process and their bytes, excluding the overhead of TCP, IP and TLS. */
public final class TrafficCounters {

    private final LongAdder messagesSent = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder messagesReceived = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();

    TrafficCounters() {}

    void recordSent(long bytes) {
        messagesSent.increment();
        bytesSent.add(bytes);
    }

    void recordReceived(long bytes) {
        messagesReceived.increment();
        bytesReceived.add(bytes);
    }

    /**
     * Returns the number of messages sent.
     *
     * @return the number of messages
     */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /**
     * Returns the number of bytes sent, including the length prefix of each message.
     *
     * @return the number of bytes
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Returns the number of messages received.
     *
     * @return the number of messages
     */
    public long messagesReceived() {
        return messagesReceived.sum();
    }

    /**
     * Returns the number of bytes received, including the length prefix of each message.
     *
     * @return the number of bytes
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }
}
