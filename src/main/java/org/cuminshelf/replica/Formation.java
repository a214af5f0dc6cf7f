package org.cuminshelf.replica;

import java.util.HashMap;
import java.util.Map;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.FormationAnswer;
import org.cuminshelf.message.FormationQuery;
import org.cuminshelf.message.JoinRequest;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.ReplicaHeader;

/**
 * How a group comes to be, and how a replica without one finds it.
 *
 * <p>Failure it guards against: a replica whose disk was lost makes a second, empty cluster under the same settings.
 * Only the first of the peers forms a cluster, and only when every other said that it belongs to none; otherwise it
 * asks to join the one that is there.
 */
final class Formation {

    private final ReplicaSettings settings;
    private final Map<Address, FormationAnswer> answers = new HashMap<>();

    Formation(ReplicaSettings settings) {
        this.settings = settings;
    }

    void answer(Address to, long identity, long cluster, Outbox out) {
        FormationAnswer answer = FormationAnswer.newBuilder()
                .setGroup(settings.group())
                .setIdentity(identity)
                .setCluster(cluster)
                .build();
        out.send(to, Envelope.newBuilder().setFormationAnswer(answer));
    }

    /** Notes a peer's answer. Returns whether this replica may now form the cluster. */
    boolean onAnswer(Address from, FormationAnswer answer) {
        if (!settings.peers().contains(from)) {
            return false;
        }
        answers.put(from, answer);
        boolean first = settings.peers().stream()
                .min(Address::compareTo)
                .filter(settings.self()::equals)
                .isPresent();
        return first
                && answers.size() == settings.peers().size() - 1
                && answers.values().stream().allMatch(peer -> peer.getCluster() == 0);
    }

    Membership firstMembership(long identity) {
        Membership.Builder membership = Membership.newBuilder().addVoters(Members.voter(settings.self(), identity));
        answers.forEach((address, answer) -> membership.addVoters(Members.voter(address, answer.getIdentity())));
        return membership.build();
    }

    /** Asks every peer for its cluster, and to be taken in where one is known to be there. */
    void ask(ReplicaHeader header, boolean outsider, Outbox out) {
        boolean known = answers.values().stream().anyMatch(answer -> answer.getCluster() != 0);
        answers.clear();
        for (Address peer : settings.peers()) {
            if (peer.equals(settings.self())) {
                continue;
            }
            if (known || outsider) {
                JoinRequest join = JoinRequest.newBuilder().setHeader(header).build();
                out.send(peer, Envelope.newBuilder().setJoinRequest(join));
            }
            FormationQuery query =
                    FormationQuery.newBuilder().setGroup(settings.group()).build();
            out.send(peer, Envelope.newBuilder().setFormationQuery(query));
        }
    }
}
