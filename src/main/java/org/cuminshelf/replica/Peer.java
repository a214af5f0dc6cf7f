package org.cuminshelf.replica;

import org.cuminshelf.core.Address;
import org.cuminshelf.message.Voter;

/** What a leader knows of another replica. */
final class Peer {

    final long identity;
    final Address address;
    boolean learner;
    /** Next index to send. */
    long next;
    /** Last index known to be durable there. */
    long match;

    long ackedRound;
    /** When the newest round that was acknowledged was sent. */
    long ackedRoundSentAt = Long.MIN_VALUE;

    long sentAt;
    long heardAt;

    Peer(Voter voter, long next, long now) {
        this.identity = voter.getIdentity();
        this.address = Address.of(voter.getAddress());
        this.learner = voter.getLearner();
        this.next = next;
        this.heardAt = now;
    }
}
