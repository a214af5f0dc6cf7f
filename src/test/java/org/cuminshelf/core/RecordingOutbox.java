package org.cuminshelf.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.cuminshelf.message.Envelope;

/** Keeps what a core sends, for tests to look at. */
public final class RecordingOutbox implements Outbox {

    /** A message with its receiver. */
    public record Sent(Address to, Envelope message) {}

    private final List<Sent> sent = new ArrayList<>();

    @Override
    public void send(Address to, Envelope.Builder message) {
        sent.add(new Sent(to, message.build()));
    }

    @Override
    public void sendOnNewConnection(Address to, Envelope.Builder message) {
        send(to, message);
    }

    /** Takes all that was sent, with its receivers. */
    public List<Sent> takeSent() {
        List<Sent> taken = List.copyOf(sent);
        sent.clear();
        return taken;
    }

    /** Takes what was sent and matches, leaving the rest out for good. */
    public List<Envelope> take(Predicate<Envelope> wanted) {
        List<Envelope> taken = sent.stream().map(Sent::message).filter(wanted).toList();
        sent.clear();
        return taken;
    }
}
