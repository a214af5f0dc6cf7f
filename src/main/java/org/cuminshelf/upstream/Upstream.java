package org.cuminshelf.upstream;

import org.cuminshelf.message.Envelope;

/**
 * The upstream that a sidecar serves. It executes the messages that the sidecar's core sends to its upstream port, and
 * reports results to the consumer that it was created with; it makes no decisions of its own.
 */
public interface Upstream extends AutoCloseable {

    /**
     * Executes a message of the sidecar's core: to start or cancel an attempt, read the state or apply an order.
     * Messages that do not apply to this kind of upstream are ignored. Must not block.
     *
     * @param message the message
     */
    void handle(Envelope message);

    @Override
    void close();
}
