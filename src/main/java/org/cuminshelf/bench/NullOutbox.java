package org.cuminshelf.bench;

import java.util.ArrayList;
import java.util.List;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;

/** Counts what a core sends and keeps the messages of the last step. */
final class NullOutbox implements Outbox {

    private static final Address SELF = Address.of("10.0.0.9:7000");
    private static final int HEADER_BYTES = 4;

    private final List<Envelope> last = new ArrayList<>();
    private long messages;
    private long bytes;

    @Override
    public void send(Address to, Envelope.Builder message) {
        Envelope stamped =
                message.setFrom(SELF.value()).setIncarnation(1L << 60).build();
        last.add(stamped);
        if (!to.isLocal()) {
            messages++;
            bytes += stamped.getSerializedSize() + HEADER_BYTES;
        }
    }

    @Override
    public void sendOnNewConnection(Address to, Envelope.Builder message) {
        send(to, message);
    }

    /** Takes what was sent since the last call. */
    List<Envelope> take() {
        List<Envelope> taken = List.copyOf(last);
        last.clear();
        return taken;
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }
}
