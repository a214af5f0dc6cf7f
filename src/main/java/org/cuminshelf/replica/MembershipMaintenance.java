package org.cuminshelf.replica;

import java.util.Optional;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Voter;

/**
 * How a settled leader mends the membership of its group, one step at a time: a learner that caught up first takes the
 * old identity's place away, then votes.
 *
 * <p>Failure it guards against: a VM is gone for good, another takes its place, and then one more is lost. The group
 * must by then count three living replicas and not four with a dead one, of which a single loss more leaves no quorum.
 * So where membership is open, a voter that is silent leaves before a learner votes, and leaves a group of even size by
 * itself: that costs no tolerance, as a group of four bears one loss like a group of three.
 */
final class MembershipMaintenance {

    /** Silence after which a voter gives way to a learner that caught up; longer than an election takes. */
    private static final long SILENT_REPLACED = Durations.nanos(1_300);
    /** Silence after which a voter leaves a group of even size; longer than a process takes to restart. */
    private static final long SILENT_REMOVED = Durations.nanos(3_000);
    /** Silence after which a learner is forgotten; it asks again when it is back. */
    private static final long SILENT_LEARNER = Durations.nanos(6_000);
    /** A learner that was heard within this time is there to vote; as long as a follower waits for its leader. */
    private static final long HEARD_WITHIN = Durations.nanos(600);

    private MembershipMaintenance() {}

    /** The next step, if one is due. */
    static Optional<Membership> next(
            long now, Membership membership, PeerTable peers, long commit, MembershipPolicy policy) {
        Optional<Membership> without =
                policy.isOpen() ? withoutSilent(now, membership, peers, commit) : Optional.empty();
        return without.isPresent() ? without : withLearnerPromoted(now, membership, peers, commit);
    }

    private static Optional<Membership> withoutSilent(long now, Membership membership, PeerTable peers, long commit) {
        boolean learnerReady = peers.all().stream().anyMatch(peer -> peer.learner && isCaughtUp(now, peer, commit));
        long voters = membership.getVotersList().stream()
                .filter(voter -> !voter.getLearner())
                .count();
        boolean even = voters % 2 == 0;
        for (Peer peer : peers.all()) {
            long silent = now - peer.heardAt;
            boolean replaceable = learnerReady && silent > SILENT_REPLACED || even && silent > SILENT_REMOVED;
            boolean leaves = peer.learner ? silent > SILENT_LEARNER : replaceable;
            if (leaves) {
                return Optional.of(Memberships.without(membership, peer.identity));
            }
        }
        return Optional.empty();
    }

    private static Optional<Membership> withLearnerPromoted(
            long now, Membership membership, PeerTable peers, long commit) {
        for (Voter learner : membership.getVotersList()) {
            boolean ready = peers.peer(learner.getIdentity())
                    .filter(known -> isCaughtUp(now, known, commit))
                    .isPresent();
            if (learner.getLearner() && ready) {
                return Optional.of(Memberships.promoted(membership, learner));
            }
        }
        return Optional.empty();
    }

    private static boolean isCaughtUp(long now, Peer peer, long commit) {
        return peer.match >= commit && peer.match > 0 && now - peer.heardAt < HEARD_WITHIN;
    }
}
