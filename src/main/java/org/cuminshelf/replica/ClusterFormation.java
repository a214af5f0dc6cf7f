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
 * Forms the cluster of a new group, or finds the existing cluster for a replica that belongs to none.
 *
 * <p>Guards against a replica that lost its disk and forms a second, empty cluster under the same settings. Only the
 * configured peer with the lowest address forms a cluster, and only after every other peer has answered that it belongs
 * to none; otherwise the replica asks to join the existing cluster.
 */
final class ClusterFormation {

    private final ReplicaSettings settings;
    /** Answers received since the last query, by sender. */
    private final Map<Address, FormationAnswer> answers = new HashMap<>();

    ClusterFormation(ReplicaSettings settings) {
        this.settings = settings;
    }

    /** Answers a formation query with this replica's identity and cluster. */
    void sendAnswer(Address to, long identity, long cluster, Outbox out) {
        FormationAnswer answer = FormationAnswer.newBuilder()
                .setGroup(settings.group())
                .setIdentity(identity)
                .setCluster(cluster)
                .build();
        out.send(to, Envelope.newBuilder().setFormationAnswer(answer));
    }

    /** Records a peer's answer. Returns whether this replica may now form the cluster. */
    boolean onAnswer(Address from, FormationAnswer answer) {
        boolean isConfiguredPeer = settings.peers().contains(from);
        if (!isConfiguredPeer && !settings.membershipPolicy().isOpen()) {
            return false;
        }
        answers.put(from, answer);
        if (!isConfiguredPeer || !settings.membershipPolicy().mayForm()) {
            return false;
        }
        boolean isLowestAddress = settings.peers().stream()
                .min(Address::compareTo)
                .filter(settings.self()::equals)
                .isPresent();
        return isLowestAddress
                && answers.keySet().containsAll(otherPeers())
                && answers.values().stream().allMatch(peer -> peer.getCluster() == 0);
    }

    /** The membership of a new cluster: this replica and all peers, with the identities from their answers. */
    Membership initialMembership(long identity) {
        Membership.Builder membership = Membership.newBuilder().addVoters(Memberships.voter(settings.self(), identity));
        otherPeers()
                .forEach(peer -> membership.addVoters(
                        Memberships.voter(peer, answers.get(peer).getIdentity())));
        return membership.build();
    }

    private List<Address> otherPeers() {
        return settings.peers().stream()
                .filter(peer -> !peer.equals(settings.self()))
                .toList();
    }

    /**
     * Sends a formation query to every peer, and a join request too where a cluster is known to exist.
     *
     * @param header    the header of the join request
     * @param hasNoVote whether this replica belongs to a cluster in which it has no vote
     * @param members   the addresses of the members in this replica's own log
     * @param out       receives the messages
     */
    void queryPeers(ReplicaHeader header, boolean hasNoVote, Collection<Address> members, Outbox out) {
        boolean clusterExists = answers.values().stream().anyMatch(answer -> answer.getCluster() != 0);
        answers.clear();
        Set<Address> recipients = new TreeSet<>(otherPeers());
        recipients.addAll(members);
        recipients.remove(settings.self());
        for (Address peer : recipients) {
            if (clusterExists || hasNoVote) {
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
