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

    /** The index after which entries are in flight; those up to it are durable, or were lost or never sent. */
    long inFlightAfter;
    /** Whether a snapshot was sent that the peer hasn't answered. */
    boolean awaitsSnapshotAnswer;
    /** The heartbeat round in which the last snapshot was sent. */
    long snapshotRound;
    /** When a snapshot was last sent. */
    long snapshotSentAt;
    /** When the peer last answered; the time of its addition before its first answer. */
    long lastAnswerAt;

    Peer(Voter voter, long nextIndex, long now) {
        this.identity = voter.getIdentity();
        this.address = Address.of(voter.getAddress());
        this.learner = voter.getLearner();
        this.lastAnswerAt = now;
        continueAt(nextIndex);
    }

    /** Sets the next index to send; nothing before it is in flight. */
    void continueAt(long index) {
        nextIndex = index;
        inFlightAfter = index - 1;
    }

    /** Records that the peer's log is durable up to an index. */
    void matchUpTo(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        inFlightAfter = Math.max(inFlightAfter, matchIndex);
    }
}
