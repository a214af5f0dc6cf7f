package org.cuminshelf.replica;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.Voter;

/** A leader's view of another replica. Times are in nanoseconds of the leader's monotonic clock. */
final class Peer {

    final long identity;
    final Address address;
    boolean learner;
    /** The next log index to send. */
    long nextIndex;
    /** The highest log index known to be durable on the peer. */
    long matchIndex;

    /** The newest heartbeat round that the peer has acknowledged. */
    long acknowledgedRound;
    /** Send time of {@link #acknowledgedRound}. */
    long acknowledgedRoundSentAt = Long.MIN_VALUE;

    /** When entries or a snapshot were last sent. */
    long lastSentAt;
    /** When the peer last answered; the time of its addition before its first answer. */
    long lastAnswerAt;

    Peer(Voter voter, long nextIndex, long now) {
        this.identity = voter.getIdentity();
        this.address = Address.of(voter.getAddress());
        this.learner = voter.getLearner();
        this.nextIndex = nextIndex;
        this.lastAnswerAt = now;
    }
}
