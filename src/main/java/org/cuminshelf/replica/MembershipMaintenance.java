package org.cuminshelf.replica;

import java.util.Optional;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Voter;

/**
 * Chooses the membership changes that a leader makes by itself, one at a time: removes unreachable members, and
 * promotes a learner that has caught up after the removal of the identity that it replaces.
 *
 * <p>Guards against the loss of a quorum when a VM is lost for good, a new one replaces it, and a second VM is lost.
 * With three live voters the group tolerates that second loss; with four voters of which one is dead it doesn't. Where
 * membership is open, an unreachable voter is therefore removed before a learner is promoted, and is removed from a
 * group of even size even without a replacement: that costs no fault tolerance, as both four and three voters tolerate
 * one loss.
 */
final class MembershipMaintenance {

    /** Time without an answer after which a learner that has caught up replaces a voter; longer than an election. */
    private static final long VOTER_REPLACED_AFTER_NANOS = Durations.nanos(1_300);
    /**
     * Time without an answer after which a voter is removed from a group of even size; longer than a process restart.
     */
    private static final long VOTER_REMOVED_AFTER_NANOS = Durations.nanos(3_000);
    /** Time without an answer after which a learner is removed; it asks to join again when it is back. */
    private static final long LEARNER_REMOVED_AFTER_NANOS = Durations.nanos(6_000);
    /** A learner is promoted only if it answered within this time, the shortest election timeout of a follower. */
    private static final long MAX_LEARNER_ANSWER_AGE_NANOS = Durations.nanos(600);

    private MembershipMaintenance() {}

    /** The next membership to propose, if a change is due. */
    static Optional<Membership> next(
            long now, Membership membership, PeerTable peers, long commitIndex, MembershipPolicy policy) {
        Optional<Membership> without =
                policy.isOpen() ? withoutUnreachable(now, membership, peers, commitIndex) : Optional.empty();
        return without.isPresent() ? without : withLearnerPromoted(now, membership, peers, commitIndex);
    }

    private static Optional<Membership> withoutUnreachable(
            long now, Membership membership, PeerTable peers, long commitIndex) {
        boolean hasReadyLearner =
                peers.all().stream().anyMatch(peer -> peer.learner && isCaughtUp(now, peer, commitIndex));
        long voterCount = membership.getVotersList().stream()
                .filter(voter -> !voter.getLearner())
                .count();
        boolean isEven = voterCount % 2 == 0;
        for (Peer peer : peers.all()) {
            long sinceLastAnswer = now - peer.lastAnswerAt;
            boolean replaceable = hasReadyLearner && sinceLastAnswer > VOTER_REPLACED_AFTER_NANOS
                    || isEven && sinceLastAnswer > VOTER_REMOVED_AFTER_NANOS;
            boolean isRemoved = peer.learner ? sinceLastAnswer > LEARNER_REMOVED_AFTER_NANOS : replaceable;
            if (isRemoved) {
                return Optional.of(Memberships.without(membership, peer.identity));
            }
        }
        return Optional.empty();
    }

    private static Optional<Membership> withLearnerPromoted(
            long now, Membership membership, PeerTable peers, long commitIndex) {
        for (Voter learner : membership.getVotersList()) {
            boolean isReady = peers.peer(learner.getIdentity())
                    .filter(known -> isCaughtUp(now, known, commitIndex))
                    .isPresent();
            if (learner.getLearner() && isReady) {
                return Optional.of(Memberships.withLearnerPromoted(membership, learner));
            }
        }
        return Optional.empty();
    }

    private static boolean isCaughtUp(long now, Peer peer, long commitIndex) {
        return peer.matchIndex >= commitIndex
                && peer.matchIndex > 0
                && now - peer.lastAnswerAt < MAX_LEARNER_ANSWER_AGE_NANOS;
    }
}
