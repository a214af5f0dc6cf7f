package org.cuminshelf.network;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.Envelope;

/** Carries messages to other processes. Delivery is not promised; a message is never delivered twice. */
public interface Network {

    /**
     * Sends a message.
     *
     * @param to      the receiver's listening address
     * @param message the message with its sender
     * @param fresh   whether a connection that has not shown life just now must be left behind for a new one
     */
    void send(Address to, Envelope message, boolean fresh);
}
