package org.cuminshelf.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Voter;

/**
 * A leader's view of the other replicas: replication progress of each, and the round, time and index that a quorum has
 * acknowledged. Times are in nanoseconds of the local monotonic clock.
 */
final class PeerTable {

    private static final int MAX_REMEMBERED_ROUNDS = 64;
    private static final long NEVER_ACKNOWLEDGED_NANOS = Long.MIN_VALUE / 2;

    /** The identity of this replica. */
    private final long self;

    private final Map<Long, Peer> peers = new TreeMap<>();
    /** Send time of each recent heartbeat round, by its number. */
    private final TreeMap<Long, Long> roundSentAt = new TreeMap<>();

    private Membership membership = Membership.getDefaultInstance();
    /** The number of the newest heartbeat round. */
    private long round;
    /** The lease is invalid until a quorum acknowledges a round that was sent at or after this time. */
    private long leaseValidFrom = NEVER_ACKNOWLEDGED_NANOS;

    PeerTable(long self) {
        this.self = self;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    Optional<Peer> peer(long identity) {
        return Optional.ofNullable(peers.get(identity));
    }

    /**
     * Resets the table for a new leadership. The round number isn't reset, so that a late answer to an earlier
     * leadership isn't taken for an answer to this one.
     */
    void clear() {
        peers.clear();
        roundSentAt.clear();
    }

    /** Adds and removes peers according to a changed membership; a new peer is first sent the entry after the last. */
    void updateMembership(Membership changed, long lastIndex, long now) {
        membership = changed;
        Set<Long> members = new HashSet<>();
        for (Voter voter : changed.getVotersList()) {
            members.add(voter.getIdentity());
            if (voter.getIdentity() != self) {
                Peer peer = peers.computeIfAbsent(voter.getIdentity(), key -> new Peer(voter, lastIndex + 1, now));
                peer.learner = voter.getLearner();
            }
        }
        peers.keySet().retainAll(members);
    }

    long round() {
        return round;
    }

    void startRound(long now) {
        round++;
        roundSentAt.put(round, now);
        if (roundSentAt.size() > MAX_REMEMBERED_ROUNDS) {
            roundSentAt.pollFirstEntry();
        }
    }

    /** Records an answer of a peer, and the round that it acknowledges. */
    void recordAnswer(Peer peer, long acknowledgedRound, long now) {
        peer.lastAnswerAt = now;
        Long sentAt = roundSentAt.get(acknowledgedRound);
        if (sentAt != null && acknowledgedRound > peer.acknowledgedRound) {
            peer.acknowledgedRound = acknowledgedRound;
            peer.acknowledgedRoundSentAt = sentAt;
        }
    }

    /** Whether a learner with another identity at the same address is joining to replace the voter. */
    boolean isBeingReplaced(Peer peer) {
        return !peer.learner
                && peers.values().stream().anyMatch(other -> other.learner && other.address.equals(peer.address));
    }

    /** The send time of the newest heartbeat round that a quorum has acknowledged; the lease starts at it. */
    long leaseStart(long now) {
        return quorumValue(now, peer -> peer.acknowledgedRoundSentAt, NEVER_ACKNOWLEDGED_NANOS);
    }

    /** Invalidates the lease until a quorum acknowledges a round that is sent from now on. */
    void invalidateLease(long now) {
        leaseValidFrom = now;
    }

    /** Whether no quorum has acknowledged a round sent since the lease was invalidated. */
    boolean isLeaseInvalidated(long now) {
        return leaseStart(now) < leaseValidFrom;
    }

    /** The newest heartbeat round that a quorum has acknowledged. */
    long quorumAcknowledgedRound() {
        return quorumValue(round, peer -> peer.acknowledgedRound, 0);
    }

    /** The highest index that is durable on a quorum. */
    long quorumMatchIndex(long durableIndex) {
        return quorumValue(durableIndex, peer -> peer.matchIndex, 0);
    }

    /** The highest value that a quorum of the voters has reached, or {@code none} where too few voters are known. */
    private long quorumValue(long own, ToLongFunction<Peer> value, long none) {
        int quorum = Memberships.quorum(membership);
        List<Long> values = new ArrayList<>();
        if (Memberships.isVoter(membership, self)) {
            values.add(own);
        }
        peers.values().stream().filter(peer -> !peer.learner).forEach(peer -> values.add(value.applyAsLong(peer)));
        values.sort(Comparator.reverseOrder());
        return values.size() < quorum ? none : Math.max(values.get(quorum - 1), none);
    }
}
