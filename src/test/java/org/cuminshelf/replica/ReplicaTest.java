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

/** Single steps of a replica; whole groups are tested by the randomised check. */
class ReplicaTest {

    private static final Address SELF = Address.of("10.0.0.1:7000");
    private static final Address OTHER = Address.of("10.0.0.2:7000");
    private static final Address THIRD = Address.of("10.0.0.3:7000");
    private static final long OWN = 1;
    private static final long OTHERS = 2;
    private final RecordingOutbox out = new RecordingOutbox();
    private long now = Durations.nanos(1_000);

    /*
     * A configuration that was accepted is gone. A replica grants its vote, loses power before the vote is on its disk,
     * and votes again in the same term for another. Cause: a promise that leaves before it is durable.
     */
    @Example
    void aVoteLeavesOnlyAfterItIsDurable() {
        Replica replica = member(OWN);
        now += Durations.nanos(2_000);
        replica.accept(now, OTHER, vote(5), out);
        replica.tick(now, out);
        assertThat(out.take(Envelope::hasVoteAnswer)).isEmpty();
        replica.accept(now, Address.STORAGE, persisted(1), out);
        assertThat(out.take(Envelope::hasVoteAnswer).getFirst().getVoteAnswer().getGranted())
                .isTrue();
    }

    @Example
    void aReplicaThatJustStartedDoesNotVoteYet() {
        Replica replica = member(OWN);
        replica.accept(now, OTHER, vote(5), out);
        replica.tick(now, out);
        assertThat(out.take(Envelope::hasVoteAnswer).getFirst().getVoteAnswer().getGranted())
                .isFalse();
    }

    /*
     * A group of three runs on two disks for good. A disk is replaced, and the leader writes on to the address for the
     * identity that died with it; the new replica follows, never asks to join, and its log is never counted. Cause:
     * messages that named an address but no identity.
     */
    @Example
    void anAppendMeantForALostDiskIsNotFollowed() {
        Replica fresh = start(DurableState.fresh(99));
        AppendRequest append = AppendRequest.newBuilder()
                .setHeader(header(3, OWN))
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
     * A repaired replica never catches up and the group runs on two disks. It stood for election and has a newer term
     * than the leader, which sends it a snapshot again and again. Cause: a snapshot of an older term was dropped in
     * silence, so the leader never heard of the term and never stepped down for a new election.
     */
    @Example
    void aLeaderThatSendsASnapshotInAnOlderTermIsToldOfTheNewerOne() {
        Replica replica = member(OWN);
        now += Durations.nanos(2_000);
        replica.accept(now, OTHER, vote(5), out);
        replica.tick(now, out);
        replica.accept(now, Address.STORAGE, persisted(1), out);
        out.take(message -> true);
        SnapshotPart old = SnapshotPart.newBuilder()
                .setHeader(header(3, OWN))
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
    void anIdentityThatIsNoMemberDoesNotStandForElection() {
        Replica stranger = member(99);
        stranger.tick(now, out);
        now += Durations.nanos(5_000);
        stranger.tick(now, out);
        assertThat(out.take(message -> message.hasVoteRequest() || message.hasJoinRequest()))
                .isNotEmpty()
                .allMatch(Envelope::hasJoinRequest);
    }

    /*
     * After a restart without a quorum an entry goes back to an older configuration. Its control process had told it a
     * version, restarted, and no longer knew that the version was committed. Cause: the commit index lived in memory.
     */
    @Example
    void whatWasToldAsAcceptedIsStillKnownAfterARestartWithoutAQuorum() {
        HardState hard = HardState.newBuilder()
                .setCluster(1)
                .setIdentity(OWN)
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
                new NoMachine(),
                now,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                Invariants.throwing());
    }

    private static Snapshot snapshot() {
        Membership membership = Membership.newBuilder()
                .addVoters(voter(SELF, OWN))
                .addVoters(voter(OTHER, OTHERS))
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
                .setIdentity(OTHERS)
                .setTarget(target)
                .build();
    }

    private static Envelope vote(long term) {
        VoteRequest request = VoteRequest.newBuilder()
                .setHeader(header(term, OWN))
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

    /** A machine without state. */
    private static final class NoMachine implements ReplicatedStateMachine {
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
