package org.cuminshelf.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
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
final class ClusterFormation {

    private final ReplicaSettings settings;
    private final Map<Address, FormationAnswer> answers = new HashMap<>();

    ClusterFormation(ReplicaSettings settings) {
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
        boolean asked = settings.peers().contains(from);
        if (!asked && !settings.membership().isOpen()) {
            return false;
        }
        answers.put(from, answer);
        if (!asked || !settings.membership().mayForm()) {
            return false;
        }
        boolean first = settings.peers().stream()
                .min(Address::compareTo)
                .filter(settings.self()::equals)
                .isPresent();
        return first
                && answers.keySet().containsAll(others())
                && answers.values().stream().allMatch(peer -> peer.getCluster() == 0);
    }

    Membership firstMembership(long identity) {
        Membership.Builder membership = Membership.newBuilder().addVoters(Memberships.voter(settings.self(), identity));
        others().forEach(peer ->
                membership.addVoters(Memberships.voter(peer, answers.get(peer).getIdentity())));
        return membership.build();
    }

    private List<Address> others() {
        return settings.peers().stream()
                .filter(peer -> !peer.equals(settings.self()))
                .toList();
    }

    /**
     * Asks every peer for its cluster, and to be taken in where one is known to be there.
     *
     * @param members addresses of members that this replica's own log names
     */
    void ask(ReplicaHeader header, boolean outsider, Collection<Address> members, Outbox out) {
        boolean known = answers.values().stream().anyMatch(answer -> answer.getCluster() != 0);
        answers.clear();
        Set<Address> asked = new TreeSet<>(others());
        asked.addAll(members);
        asked.remove(settings.self());
        for (Address peer : asked) {
            if (known || outsider) {
                JoinRequest join = JoinRequest.newBuilder()
                        .setHeader(header)
                        .setAddress(settings.self().value())
                        .build();
                out.send(peer, Envelope.newBuilder().setJoinRequest(join));
            }
            FormationQuery query =
                    FormationQuery.newBuilder().setGroup(settings.group()).build();
            out.send(peer, Envelope.newBuilder().setFormationQuery(query));
        }
    }
}
