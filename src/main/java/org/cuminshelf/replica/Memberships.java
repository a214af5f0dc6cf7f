package org.cuminshelf.replica;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Voter;

/** Queries on a {@link Membership}, and the changes of it, each of which adds, removes or promotes one member. */
final class Memberships {

    private Memberships() {}

    static Voter voter(Address address, long identity) {
        return Voter.newBuilder()
                .setAddress(address.value())
                .setIdentity(identity)
                .build();
    }

    /** Whether the identity is a voter or a learner. */
    static boolean isMember(Membership membership, long identity) {
        return membership.getVotersList().stream().anyMatch(voter -> voter.getIdentity() == identity);
    }

    static boolean isVoter(Membership membership, long identity) {
        return membership.getVotersList().stream()
                .anyMatch(voter -> voter.getIdentity() == identity && !voter.getLearner());
    }

    static List<Address> addresses(Membership membership) {
        return membership.getVotersList().stream()
                .map(voter -> Address.of(voter.getAddress()))
                .toList();
    }

    /** The number of voters that make a majority. */
    static int quorum(Membership membership) {
        long voters = membership.getVotersList().stream()
                .filter(voter -> !voter.getLearner())
                .count();
        return (int) voters / 2 + 1;
    }

    static Membership withLearner(Membership membership, Address address, long identity) {
        return membership.toBuilder()
                .addVoters(voter(address, identity).toBuilder().setLearner(true))
                .build();
    }

    static Membership without(Membership membership, long identity) {
        Membership.Builder next = Membership.newBuilder();
        membership.getVotersList().stream()
                .filter(voter -> voter.getIdentity() != identity)
                .forEach(next::addVoters);
        return next.build();
    }

    /**
     * The next change for a learner that has caught up. If a member with another identity has the same address (its
     * disk was lost), that member is removed first, so that no two identities of one address count in a quorum; the
     * next call makes the learner a voter.
     */
    static Membership withLearnerPromoted(Membership membership, Voter learner) {
        Optional<Voter> replaced = membership.getVotersList().stream()
                .filter(voter -> voter.getAddress().equals(learner.getAddress()))
                .filter(voter -> voter.getIdentity() != learner.getIdentity())
                .findFirst();
        Membership.Builder next = Membership.newBuilder();
        for (Voter voter : membership.getVotersList()) {
            if (replaced.isPresent() && voter.equals(replaced.get())) {
                continue;
            }
            boolean isPromoted = replaced.isEmpty() && voter.equals(learner);
            next.addVoters(isPromoted ? voter.toBuilder().setLearner(false).build() : voter);
        }
        return next.build();
    }
}
