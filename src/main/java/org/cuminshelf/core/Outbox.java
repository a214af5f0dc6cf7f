package org.cuminshelf.core;

import org.cuminshelf.message.Envelope;

/** Takes the messages that a core sends, and sets the sender and its incarnation on each. */
public interface Outbox {

    /**
     * Sends a message over the current connection to the receiver. Delivery is not guaranteed.
     *
     * @param to      address of the receiver
     * @param message the message, without its sender
     */
    void send(Address to, Envelope.Builder message);

    /**
     * Sends a message over a new connection, which replaces the current one. Used when a connection has gone silent:
     * its network path may lose everything written to it while a new connection works.
     *
     * @param to      address of the receiver
     * @param message the message, without its sender
     */
    void sendOnNewConnection(Address to, Envelope.Builder message);
}
