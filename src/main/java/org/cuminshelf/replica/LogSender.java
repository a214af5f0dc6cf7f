package org.cuminshelf.replica;

import java.util.List;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.AppendRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.ReplicaHeader;
import org.cuminshelf.message.SnapshotPart;

/**
 * Sends the entries or the snapshot that a peer of a leader lacks. Times are in nanoseconds of the monotonic clock.
 *
 * <p>Guards against a leader that runs out of memory beside a peer that stands still: what is sent and not answered is
 * bounded, and a peer that hasn't answered lately gets heartbeats only. The peer's answer to a heartbeat shows what has
 * arrived, so nothing is sent again before it.
 */
final class LogSender {

    private static final long RESEND_SNAPSHOT_AFTER_NANOS = Durations.nanos(300);
    /** A peer that hasn't answered for this long gets no more entries. */
    private static final long SILENCE_NANOS = Durations.nanos(600);

    private static final int MAX_APPEND_ENTRIES = 512;
    private static final long MAX_APPEND_BYTES = 1L << 20;
    private static final long MAX_IN_FLIGHT_BYTES = 2L << 20;

    private final ReplicatedLog log;
    private final PeerTable peers;

    LogSender(ReplicatedLog log, PeerTable peers) {
        this.log = log;
        this.peers = peers;
    }

    /** Whether there are entries or a snapshot that the peer lacks and that may be sent to it now. */
    boolean hasNews(long now, Peer peer) {
        return needsSnapshot(peer)
                ? maySendSnapshot(now, peer)
                : peer.nextIndex <= log.lastIndex() && maySendEntries(now, peer);
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
        if (!needsSnapshot(peer)) {
            sendEntries(now, peer, header, commit, out);
        } else if (maySendSnapshot(now, peer)) {
            sendSnapshot(now, peer, header, out);
        } else {
            sendAppend(peer, log.firstIndex() - 1, List.of(), header, commit, out);
        }
    }

    private boolean needsSnapshot(Peer peer) {
        return peer.nextIndex < log.firstIndex() || log.term(peer.nextIndex - 1).isEmpty();
    }

    private static boolean answersLately(long now, Peer peer) {
        return now - peer.lastAnswerAt < SILENCE_NANOS;
    }

    private boolean maySendEntries(long now, Peer peer) {
        long inFlightBytes = log.bytesBetween(peer.inFlightAfter, peer.nextIndex - 1);
        return answersLately(now, peer) && inFlightBytes < MAX_IN_FLIGHT_BYTES;
    }

    /** A snapshot is sent again only once a later heartbeat is answered, which shows that it was lost. */
    private boolean maySendSnapshot(long now, Peer peer) {
        boolean isUnderway = peer.awaitsSnapshotAnswer
                && (peer.acknowledgedRound <= peer.snapshotRound
                        || now - peer.snapshotSentAt < RESEND_SNAPSHOT_AFTER_NANOS);
        return answersLately(now, peer) && !isUnderway;
    }

    private void sendEntries(long now, Peer peer, ReplicaHeader header, long commit, Outbox out) {
        List<LogEntry> entries = maySendEntries(now, peer)
                ? log.entriesFrom(peer.nextIndex, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
                : List.of();
        sendAppend(peer, peer.nextIndex - 1, entries, header, commit, out);
        peer.nextIndex += entries.size();
    }

    private void sendAppend(
            Peer peer, long previousIndex, List<LogEntry> entries, ReplicaHeader header, long commit, Outbox out) {
        AppendRequest request = AppendRequest.newBuilder()
                .setHeader(header)
                .setPreviousIndex(previousIndex)
                .setPreviousTerm(log.term(previousIndex).orElseThrow())
                .addAllEntries(entries)
                .setCommit(commit)
                .setRound(peers.round())
                .build();
        out.send(peer.address, Envelope.newBuilder().setAppendRequest(request));
    }

    private void sendSnapshot(long now, Peer peer, ReplicaHeader header, Outbox out) {
        peer.awaitsSnapshotAnswer = true;
        peer.snapshotRound = peers.round();
        peer.snapshotSentAt = now;
        SnapshotPart part = SnapshotPart.newBuilder()
                .setHeader(header)
                .setSnapshot(log.snapshot())
                .setRound(peers.round())
                .build();
        out.send(peer.address, Envelope.newBuilder().setSnapshotPart(part));
    }
}
