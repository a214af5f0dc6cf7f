package org.cuminshelf.replica;

import java.util.List;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Voter;

/** Questions about a membership, and the steps that change it one at a time. */
final class Memberships {

    private Memberships() {}

    static Voter voter(Address address, long identity) {
        return Voter.newBuilder()
                .setAddress(address.value())
                .setIdentity(identity)
                .build();
    }

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
     * The next step for a learner that caught up: first the identity whose disk was lost goes, so that no two
     * identities of one address count, then the learner votes.
     */
    static Membership promoted(Membership membership, Voter learner) {
        Optional<Voter> old = membership.getVotersList().stream()
                .filter(voter -> voter.getAddress().equals(learner.getAddress()))
                .filter(voter -> voter.getIdentity() != learner.getIdentity())
                .findFirst();
        Membership.Builder next = Membership.newBuilder();
        for (Voter voter : membership.getVotersList()) {
            if (old.isPresent() && voter.equals(old.get())) {
                continue;
            }
            boolean promoted = old.isEmpty() && voter.equals(learner);
            next.addVoters(promoted ? voter.toBuilder().setLearner(false).build() : voter);
        }
        return next.build();
    }
}
