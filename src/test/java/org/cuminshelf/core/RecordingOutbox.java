package org.cuminshelf.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.cuminshelf.message.Envelope;

/** Records the messages that a core sends, for assertions in tests. */
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

    /** Returns and clears all recorded messages with their receivers. */
    public List<Sent> takeSent() {
        List<Sent> taken = List.copyOf(sent);
        sent.clear();
        return taken;
    }

    /** Returns the recorded messages that match a predicate, and clears all, including those that don't match. */
    public List<Envelope> take(Predicate<Envelope> filter) {
        List<Envelope> taken = sent.stream().map(Sent::message).filter(filter).toList();
        sent.clear();
        return taken;
    }
}
