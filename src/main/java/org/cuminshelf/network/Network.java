package org.cuminshelf.network;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.Envelope;

/** Sends messages to other processes. Delivery is at most once: a message may be lost but is never duplicated. */
public interface Network {

    /**
     * Sends a message.
     *
     * @param to                the receiver's listening address
     * @param message           the message, including its sender
     * @param requireRecentEcho whether to open a new connection if the existing one has had no heartbeat echo
     *                          recently
     */
    void send(Address to, Envelope message, boolean requireRecentEcho);
}
