package org.cuminshelf.core;

import org.cuminshelf.message.Envelope;

/**
 * Where a core puts the messages it answers with. The outbox stamps the sender and its incarnation on each.
 */
public interface Outbox {

    /**
     * Sends a message over the usual connection. Delivery is not promised.
     *
     * @param to      the receiver
     * @param message the message, without its sender
     */
    void send(Address to, Envelope.Builder message);

    /**
     * Sends a message over a connection opened for it, leaving the old one behind. Guards against a connection that
     * went silent: the old path may swallow all that is written to it while a new one works.
     *
     * @param to      the receiver
     * @param message the message, without its sender
     */
    void sendOnNewConnection(Address to, Envelope.Builder message);
}
