package org.cuminshelf.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.HardState;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.LogRecord;
import org.cuminshelf.message.Persist;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.message.Snapshot;
import org.cuminshelf.message.Voter;

/** Groups with an open membership: formation by seeds, and automatic replacement and removal of members. */
class OpenMembershipTest {

    private static final List<Address> SEEDS = List.of(address(1), address(2), address(3));

    private record Message(Address from, Address to, Envelope body) {}

    /** A replica with a simulated disk, on which every write succeeds at once. */
    private final class Node {
        private final Address self;
        private final long identity;
        private final List<LogRecord> disk = new ArrayList<>();
        private Replica replica;

        private Node(Address self, long identity) {
            this.self = self;
            this.identity = identity;
        }

        private void start(List<Address> seeds, MembershipPolicy policy) {
            start(seeds, policy, now);
        }

        /** Starts in a process that was launched at the given time. */
        private void start(List<Address> seeds, MembershipPolicy policy, long processStart) {
            replica = Replica.start(
                    new ReplicaSettings("g", self, seeds, true, policy),
                    recovered(),
                    new StatelessMachine(),
                    processStart,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(identity),
                    Invariants.throwing());
        }

        private DurableState recovered() {
            HardState state = HardState.newBuilder().setIdentity(identity).build();
            Optional<Snapshot> snapshot = Optional.empty();
            TreeMap<Long, LogEntry> entries = new TreeMap<>();
            for (LogRecord record : disk) {
                switch (record.getRecordCase()) {
                    case HARD_STATE -> state = record.getHardState();
                    case ENTRY -> entries.put(record.getEntry().getIndex(), record.getEntry());
                    case CUT_FROM -> entries.tailMap(record.getCutFrom(), true).clear();
                    case SNAPSHOT -> {
                        snapshot = Optional.of(record.getSnapshot());
                        entries.headMap(record.getSnapshot().getIndex(), true).clear();
                    }
                    case RECORD_NOT_SET -> throw new IllegalStateException();
                }
            }
            return new DurableState(state, snapshot, List.copyOf(entries.values()));
        }
    }

    /** Keeps no state; the tests examine the log. */
    private static final class StatelessMachine implements ReplicatedStateMachine {
        @Override
        public void apply(LogEntry entry) {
            // No state to change.
        }

        @Override
        public ByteString save() {
            return ByteString.EMPTY;
        }

        @Override
        public void load(ByteString state) {
            // No state to replace.
        }
    }

    private final Map<Address, Node> nodes = new TreeMap<>();
    private final Set<Address> down = new HashSet<>();
    private long now = Durations.nanos(10_000);

    private static Address address(int number) {
        return Address.of("10.0.0." + number + ":7000");
    }

    private Node addReplica(int number, long identity, MembershipPolicy policy) {
        Node node = new Node(address(number), identity);
        node.start(SEEDS, policy);
        nodes.put(node.self, node);
        down.remove(node.self);
        return node;
    }

    private void formThree() {
        for (int number = 1; number <= 3; number++) {
            addReplica(number, number, MembershipPolicy.OPEN);
        }
        advance(5_000);
        assertThat(leader()).isPresent();
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 3L);
    }

    /*
     * Guards against the loss of a quorum when a VM is lost for good, an empty one replaces it at another address, and
     * seconds later a second VM is lost. The group must go on with the two remaining members.
     */
    @Example
    void aLostVoterIsReplacedByAnEmptyReplicaBeforeASecondLoss() {
        formThree();
        down.add(address(3));
        advance(1_000);
        addReplica(4, 4, MembershipPolicy.JOIN_ONLY);
        advance(4_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 4L);
        down.add(leader().orElseThrow().self);
        advance(4_000);
        assertThat(commitsAnEntry()).isTrue();
    }

    /*
     * Planned replacement of a VM: the new one is added before the old one is stopped. The group must not stay at four
     * voters of which one is dead, as it wouldn't tolerate another loss.
     */
    @Example
    void aPlannedReplacementRemovesTheStoppedVoter() {
        formThree();
        addReplica(4, 4, MembershipPolicy.JOIN_ONLY);
        advance(3_000);
        assertThat(voters()).hasSize(4);
        down.add(address(2));
        advance(6_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 3L, 4L);
    }

    @Example
    void aVoterThatIsDownTemporarilyStaysInAGroupOfThree() {
        formThree();
        down.add(address(2));
        advance(8_000);
        down.remove(address(2));
        advance(2_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 3L);
    }

    /*
     * Guards against the loss of accepted entries: two VMs restart with empty disks and form an empty group.
     */
    @Example
    void replicasThatRestartWithEmptyDisksFormNoNewGroup() {
        formThree();
        down.addAll(SEEDS);
        addReplica(1, 11, MembershipPolicy.JOIN_ONLY);
        addReplica(2, 12, MembershipPolicy.JOIN_ONLY);
        advance(10_000);
        assertThat(leader()).isEmpty();
        down.remove(address(3));
        advance(5_000);
        assertThat(leader()).isEmpty();
    }

    /*
     * A VM loses its disk right after it acknowledged an entry, and restarts at the same address. It must join under a
     * new identity and not vote under the old one.
     */
    @Example
    void aVoterThatLostItsDiskRejoinsUnderANewIdentity() {
        formThree();
        down.add(address(3));
        advance(500);
        addReplica(3, 13, MembershipPolicy.JOIN_ONLY);
        advance(5_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 13L);
    }

    @Example
    void aGroupWhoseReplicasAreAllKilledAtOnceKeepsItsMembership() {
        formThree();
        Set<Long> before = voters();
        nodes.values().forEach(node -> node.start(SEEDS, MembershipPolicy.JOIN_ONLY));
        advance(5_000);
        assertThat(leader()).isPresent();
        assertThat(voters()).isEqualTo(before);
        assertThat(commitsAnEntry()).isTrue();
    }

    /*
     * Guards against an unnecessary outage of 0.7 s after all processes were killed at once: each waited, from the end
     * of its startup, for a lease that it might have acknowledged before. That lease had ended during the startup.
     */
    @Example
    void processesThatStartMoreSlowlyThanTheLeaseElectALeaderSoon() {
        formThree();
        long processStart = now;
        now += Durations.nanos(700);
        nodes.values().forEach(node -> node.start(SEEDS, MembershipPolicy.JOIN_ONLY, processStart));
        advance(300);
        assertThat(leader()).isPresent();
    }

    /*
     * Guards against two leaders at once: a leader is partitioned, its followers are killed and restart at once, and
     * they elect another leader because they have no record of the lease that they acknowledged.
     */
    @Example
    void restartedFollowersElectNoLeaderBeforeTheOldLeaseEnds() {
        formThree();
        Node leader = leader().orElseThrow();
        down.add(leader.self);
        long processStart = now;
        for (Node node : nodes.values()) {
            if (node != leader) {
                node.start(SEEDS, MembershipPolicy.JOIN_ONLY, processStart);
            }
        }
        advance(
                1_500,
                () -> assertThat(leader.replica.hasLease(now) && leader().isPresent())
                        .as("two leases")
                        .isFalse());
        assertThat(leader()).isPresent();
    }

    private boolean commitsAnEntry() {
        Node leader = leader().orElseThrow();
        long index =
                leader.replica.propose(now, LogEntry.newBuilder().setNone(true)).orElseThrow();
        advance(1_000);
        return leader.replica.appliedIndex() >= index;
    }

    private Optional<Node> leader() {
        return nodes.values().stream()
                .filter(node -> !down.contains(node.self) && node.replica.hasLease(now))
                .findFirst();
    }

    private Set<Long> voters() {
        Set<Long> found = new HashSet<>();
        leader().orElseThrow().replica.status().getVotersList().stream()
                .filter(voter -> !voter.getLearner())
                .map(Voter::getIdentity)
                .forEach(found::add);
        return found;
    }

    private void advance(long millis) {
        advance(millis, () -> {});
    }

    private void advance(long millis, Runnable afterEachStep) {
        List<Message> inFlight = new ArrayList<>();
        for (long elapsed = 0; elapsed < millis; elapsed += 5) {
            now += Durations.nanos(5);
            List<Message> delivered = List.copyOf(inFlight);
            inFlight.clear();
            for (Message message : delivered) {
                Node to = nodes.get(message.to);
                if (to != null && !down.contains(message.to)) {
                    to.replica.accept(now, message.from, message.body, outbox(to, inFlight));
                }
            }
            for (Node node : nodes.values()) {
                if (!down.contains(node.self)) {
                    node.replica.tick(now, outbox(node, inFlight));
                }
            }
            afterEachStep.run();
        }
    }

    private Outbox outbox(Node from, List<Message> inFlight) {
        return new Outbox() {
            @Override
            public void send(Address to, Envelope.Builder message) {
                if (message.hasPersist()) {
                    Persist persist = message.getPersist();
                    from.disk.addAll(persist.getRecordsList());
                    Persisted done = Persisted.newBuilder()
                            .setGroup("g")
                            .setSequence(persist.getSequence())
                            .build();
                    inFlight.add(new Message(
                            Address.STORAGE,
                            from.self,
                            Envelope.newBuilder().setPersisted(done).build()));
                } else {
                    inFlight.add(new Message(from.self, to, message.build()));
                }
            }

            @Override
            public void sendOnNewConnection(Address to, Envelope.Builder message) {
                send(to, message);
            }
        };
    }
}
