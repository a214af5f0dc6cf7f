package org.cuminshelf.upstream;

import org.cuminshelf.message.Envelope;

/**
 * The upstream beside a sidecar. It takes the messages of the sidecar's upstream port and answers over the consumer it
 * was made with; it decides nothing.
 */
public interface Upstream extends AutoCloseable {

    /**
     * Takes a message of the sidecar's core: start, cancel, read or order. Must not block.
     *
     * @param message the message
     */
    void handle(Envelope message);

    @Override
    void close();
}
