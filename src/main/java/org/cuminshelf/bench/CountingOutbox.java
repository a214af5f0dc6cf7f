package org.cuminshelf.bench;

import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;

/**
 * Outbox that keeps the messages until they are taken, and counts the messages and bytes that would be sent over the
 * network.
 */
final class CountingOutbox implements Outbox {

    private static final Address SELF = Address.of("10.0.0.9:7000");
    private static final int FRAME_HEADER_BYTES = 4;

    private final List<Envelope> pendingMessages = new ArrayList<>();
    private long remoteMessages;
    private long remoteBytes;

    @Override
    public void send(Address to, Envelope.Builder message) {
        Envelope envelope =
                message.setFrom(SELF.value()).setIncarnation(1L << 60).build();
        pendingMessages.add(envelope);
        if (!to.isLocal()) {
            remoteMessages++;
            remoteBytes += envelope.getSerializedSize() + FRAME_HEADER_BYTES;
        }
    }

    @Override
    public void sendOnNewConnection(Address to, Envelope.Builder message) {
        send(to, message);
    }

    /** Returns the messages that were sent since the previous call, and removes them. */
    List<Envelope> takeMessages() {
        List<Envelope> taken = List.copyOf(pendingMessages);
        pendingMessages.clear();
        return taken;
    }

    long remoteMessages() {
        return remoteMessages;
    }

    long remoteBytes() {
        return remoteBytes;
    }
}
