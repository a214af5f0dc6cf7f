package org.cuminshelf.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.AppendRequest;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Membership;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.message.ReplicaHeader;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.message.SnapshotPart;
import org.cuminshelf.message.VoteRequest;
import org.cuminshelf.message.Voter;

/** Single steps of a replica; the randomised check tests whole groups. */
class ReplicaTest {

    private static final Address SELF = Address.of("10.0.0.1:7000");
    private static final Address OTHER = Address.of("10.0.0.2:7000");
    private static final Address THIRD = Address.of("10.0.0.3:7000");
    private static final long OWN_IDENTITY = 1;
    private static final long OTHER_IDENTITY = 2;
    private final RecordingOutbox out = new RecordingOutbox();
    private long now = Durations.nanos(1_000);

    /*
     * Guards against the loss of an accepted configuration: a replica grants a vote, loses power before the vote is on
     * its disk, and grants a second vote in the same term.
     */
    @Example
    void aVoteIsSentOnlyAfterItIsDurable() {
        Replica replica = member(OWN_IDENTITY);
        now += Durations.nanos(2_000);
        replica.accept(now, OTHER, voteRequest(5), out);
        replica.tick(now, out);
        assertThat(out.take(Envelope::hasVoteAnswer)).isEmpty();
        replica.accept(now, Address.STORAGE, persisted(1), out);
        assertThat(out.take(Envelope::hasVoteAnswer).getFirst().getVoteAnswer().getGranted())
                .isTrue();
    }

    @Example
    void aReplicaGrantsNoVoteRightAfterItsStart() {
        Replica replica = member(OWN_IDENTITY);
        replica.accept(now, OTHER, voteRequest(5), out);
        replica.tick(now, out);
        assertThat(out.take(Envelope::hasVoteAnswer).getFirst().getVoteAnswer().getGranted())
                .isFalse();
    }

    /*
     * Guards against a group of three that stays at two disks: a disk is replaced, and the leader goes on sending to
     * the address for the identity of the old disk. With messages that named only an address, the new replica followed,
     * never asked to join, and its log never counted.
     */
    @Example
    void anAppendForTheIdentityOfALostDiskIsIgnored() {
        Replica fresh = start(DurableState.fresh(99));
        AppendRequest append = AppendRequest.newBuilder()
                .setHeader(header(3, OWN_IDENTITY))
                .setPreviousIndex(1)
                .setPreviousTerm(1)
                .build();
        fresh.accept(now, OTHER, Envelope.newBuilder().setAppendRequest(append).build(), out);
        fresh.tick(now, out);
        now += Durations.nanos(5_000);
        fresh.tick(now, out);
        assertThat(out.take(message -> message.hasAppendAnswer() || message.hasFormationQuery()))
                .isNotEmpty()
                .allMatch(Envelope::hasFormationQuery);
    }

    /*
     * Guards against a replica that never catches up: it was a candidate and has a newer term than the leader, which
     * sends it the same snapshot repeatedly. When the replica dropped snapshots of an older term without an answer, the
     * leader never learned of the newer term and never stepped down.
     */
    @Example
    void aSnapshotOfAnOlderTermIsAnsweredWithTheNewerTerm() {
        Replica replica = member(OWN_IDENTITY);
        now += Durations.nanos(2_000);
        replica.accept(now, OTHER, voteRequest(5), out);
        replica.tick(now, out);
        replica.accept(now, Address.STORAGE, persisted(1), out);
        out.take(message -> true);
        SnapshotPart old = SnapshotPart.newBuilder()
                .setHeader(header(3, OWN_IDENTITY))
                .setSnapshot(snapshot())
                .build();
        replica.accept(now, OTHER, Envelope.newBuilder().setSnapshotPart(old).build(), out);
        replica.tick(now, out);
        assertThat(out.take(Envelope::hasSnapshotAnswer)
                        .getFirst()
                        .getSnapshotAnswer()
                        .getHeader()
                        .getTerm())
                .isEqualTo(5);
    }

    @Example
    void aReplicaThatIsNoMemberAsksToJoinAndStartsNoElection() {
        Replica nonMember = member(99);
        nonMember.tick(now, out);
        now += Durations.nanos(5_000);
        nonMember.tick(now, out);
        assertThat(out.take(message -> message.hasVoteRequest() || message.hasJoinRequest()))
                .isNotEmpty()
                .allMatch(Envelope::hasJoinRequest);
    }

    /*
     * Guards against an entry that returns to an older configuration after a restart without a quorum: its control
     * process had published a version, restarted, and no longer knew that the version was committed, as the commit
     * index was only in memory.
     */
    @Example
    void aPublishedCommitIsKnownAfterARestartWithoutAQuorum() {
        HardState hard = HardState.newBuilder()
                .setCluster(1)
                .setIdentity(OWN_IDENTITY)
                .setTerm(1)
                .setCommit(2)
                .build();
        LogEntry entry =
                LogEntry.newBuilder().setIndex(2).setTerm(1).setNone(true).build();
        Replica replica = start(new DurableState(hard, Optional.of(snapshot()), List.of(entry)));
        replica.tick(now, out);
        assertThat(replica.appliedIndex()).isEqualTo(2);
    }

    private Replica member(long identity) {
        HardState hard = HardState.newBuilder()
                .setCluster(1)
                .setIdentity(identity)
                .setTerm(1)
                .build();
        return start(new DurableState(hard, Optional.of(snapshot()), List.of()));
    }

    private Replica start(DurableState state) {
        ReplicaSettings settings = new ReplicaSettings("g", SELF, List.of(SELF, OTHER, THIRD), true);
        return Replica.start(
                settings,
                state,
                new EmptyStateMachine(),
                now,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                Invariants.throwing());
    }

    private static Snapshot snapshot() {
        Membership membership = Membership.newBuilder()
                .addVoters(voter(SELF, OWN_IDENTITY))
                .addVoters(voter(OTHER, OTHER_IDENTITY))
                .addVoters(voter(THIRD, 3))
                .build();
        return Snapshot.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setMembership(membership)
                .build();
    }

    private static Voter voter(Address address, long identity) {
        return Voter.newBuilder()
                .setAddress(address.value())
                .setIdentity(identity)
                .build();
    }

    private static ReplicaHeader header(long term, long target) {
        return ReplicaHeader.newBuilder()
                .setGroup("g")
                .setCluster(1)
                .setTerm(term)
                .setIdentity(OTHER_IDENTITY)
                .setTarget(target)
                .build();
    }

    private static Envelope voteRequest(long term) {
        VoteRequest request = VoteRequest.newBuilder()
                .setHeader(header(term, OWN_IDENTITY))
                .setLastIndex(1)
                .setLastTerm(1)
                .build();
        return Envelope.newBuilder().setVoteRequest(request).build();
    }

    private static Envelope persisted(long sequence) {
        return Envelope.newBuilder()
                .setPersisted(Persisted.newBuilder().setGroup("g").setSequence(sequence))
                .build();
    }

    /** A state machine without state. */
    private static final class EmptyStateMachine implements ReplicatedStateMachine {
        @Override
        public void apply(LogEntry entry) {
            // Nothing to change.
        }

        @Override
        public ByteString save() {
            return ByteString.EMPTY;
        }

        @Override
        public void load(ByteString state) {
            // Nothing to replace.
        }
    }
}
