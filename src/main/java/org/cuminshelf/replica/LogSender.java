package org.cuminshelf.replica;

import java.util.List;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.AppendRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.ReplicaHeader;
import org.cuminshelf.message.SnapshotPart;

/** Sends the entries or the snapshot that a peer of a leader lacks. Times are in nanoseconds of the monotonic clock. */
final class LogSender {

    private static final long RESEND_AFTER_NANOS = Durations.nanos(300);
    private static final int MAX_APPEND_ENTRIES = 512;
    private static final long MAX_APPEND_BYTES = 1L << 20;

    private final ReplicatedLog log;
    private final PeerTable peers;

    LogSender(ReplicatedLog log, PeerTable peers) {
        this.log = log;
        this.peers = peers;
    }

    /**
     * Sends a heartbeat with the next entries, or a snapshot if the entries that the peer needs are compacted away.
     *
     * @param now    the time
     * @param peer   the peer
     * @param header the header of messages to the peer
     * @param commit the highest index that the peer may apply
     * @param out    receives the messages
     */
    void send(long now, Peer peer, ReplicaHeader header, long commit, Outbox out) {
        if (peer.nextIndex <= log.lastIndex()
                && peer.nextIndex > peer.matchIndex + 1
                && now - peer.lastSentAt > RESEND_AFTER_NANOS) {
            peer.nextIndex = peer.matchIndex + 1;
        }
        if (peer.nextIndex < log.firstIndex() || log.term(peer.nextIndex - 1).isEmpty()) {
            sendSnapshot(now, peer, header, out);
            return;
        }
        List<LogEntry> entries = log.entriesFrom(peer.nextIndex, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
        AppendRequest request = AppendRequest.newBuilder()
                .setHeader(header)
                .setPreviousIndex(peer.nextIndex - 1)
                .setPreviousTerm(log.term(peer.nextIndex - 1).orElseThrow())
                .addAllEntries(entries)
                .setCommit(commit)
                .setRound(peers.round())
                .build();
        if (!entries.isEmpty()) {
            peer.lastSentAt = now;
        }
        peer.nextIndex += entries.size();
        out.send(peer.address, Envelope.newBuilder().setAppendRequest(request));
    }

    private void sendSnapshot(long now, Peer peer, ReplicaHeader header, Outbox out) {
        if (now - peer.lastSentAt < RESEND_AFTER_NANOS && peer.lastSentAt != 0) {
            return;
        }
        peer.lastSentAt = now;
        SnapshotPart part = SnapshotPart.newBuilder()
                .setHeader(header)
                .setSnapshot(log.snapshot())
                .setRound(peers.round())
                .build();
        out.send(peer.address, Envelope.newBuilder().setSnapshotPart(part));
    }
}
