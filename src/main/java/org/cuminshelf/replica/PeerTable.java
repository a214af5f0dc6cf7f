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

/** What a leader knows of the other replicas, and what a quorum of them has reached. */
final class PeerTable {

    private static final int ROUNDS_REMEMBERED = 64;
    private static final long NEVER_HEARD = Long.MIN_VALUE / 2;

    private final long self;
    private final Map<Long, Peer> peers = new TreeMap<>();
    private final TreeMap<Long, Long> rounds = new TreeMap<>();
    private Membership membership = Membership.getDefaultInstance();
    private long round;
    /** Answers to what was sent before this time don't count for the lease. */
    private long leaseNotBefore = NEVER_HEARD;

    PeerTable(long self) {
        this.self = self;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    Optional<Peer> peer(long identity) {
        return Optional.ofNullable(peers.get(identity));
    }

    /** Starts over, as a new leader does. The rounds go on counting: an old answer must not pass for a new one. */
    void clear() {
        peers.clear();
        rounds.clear();
    }

    /** Follows a change of membership. */
    void sync(Membership changed, long lastIndex, long now) {
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
        rounds.put(round, now);
        if (rounds.size() > ROUNDS_REMEMBERED) {
            rounds.pollFirstEntry();
        }
    }

    void answered(Peer peer, long answeredRound, long now) {
        peer.heardAt = now;
        Long sentAt = rounds.get(answeredRound);
        if (sentAt != null && answeredRound > peer.ackedRound) {
            peer.ackedRound = answeredRound;
            peer.ackedRoundSentAt = sentAt;
        }
    }

    /** Whether another identity at the same address is on its way to take the peer's place. */
    boolean isReplaced(Peer peer) {
        return !peer.learner
                && peers.values().stream().anyMatch(other -> other.learner && other.address.equals(peer.address));
    }

    /** The newest time at which a quorum still heard the leader. */
    long leaseStart(long now) {
        return reached(now, peer -> peer.ackedRoundSentAt, NEVER_HEARD);
    }

    /** Has the lease begin with answers to what is sent from now on. */
    void voidLease(long now) {
        leaseNotBefore = now;
    }

    /** Whether no quorum has answered since the lease was made void. */
    boolean isLeaseVoid(long now) {
        return leaseStart(now) < leaseNotBefore;
    }

    /** The newest round that a quorum answered. */
    long quorumRound() {
        return reached(round, peer -> peer.ackedRound, 0);
    }

    /** The highest index that is durable on a quorum. */
    long quorumMatch(long durableIndex) {
        return reached(durableIndex, peer -> peer.match, 0);
    }

    private long reached(long own, ToLongFunction<Peer> value, long none) {
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
