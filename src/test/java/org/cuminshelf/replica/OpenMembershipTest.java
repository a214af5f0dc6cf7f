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

/** Groups that find each other by seeds and mend their membership by themselves. */
class OpenMembershipTest {

    private static final List<Address> SEEDS = List.of(address(1), address(2), address(3));

    private record Message(Address from, Address to, Envelope body) {}

    /** A replica with its disk. */
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

        /** Starts in a program that began at a time. */
        private void start(List<Address> seeds, MembershipPolicy policy, long began) {
            replica = Replica.start(
                    new ReplicaSettings("g", self, seeds, true, policy),
                    recovered(),
                    new CountingMachine(),
                    began,
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

    /** Keeps nothing but how much it applied. */
    private static final class CountingMachine implements ReplicatedStateMachine {
        @Override
        public void apply(LogEntry entry) {
            // The log itself is what is looked at.
        }

        @Override
        public ByteString save() {
            return ByteString.EMPTY;
        }

        @Override
        public void load(ByteString state) {
            // Nothing was saved.
        }
    }

    private final Map<Address, Node> nodes = new TreeMap<>();
    private final Set<Address> down = new HashSet<>();
    private long now = Durations.nanos(10_000);

    private static Address address(int number) {
        return Address.of("10.0.0." + number + ":7000");
    }

    private Node add(int number, long identity, MembershipPolicy policy) {
        Node node = new Node(address(number), identity);
        node.start(SEEDS, policy);
        nodes.put(node.self, node);
        down.remove(node.self);
        return node;
    }

    private void formThree() {
        for (int number = 1; number <= 3; number++) {
            add(number, number, MembershipPolicy.OPEN);
        }
        pass(5_000);
        assertThat(leader()).isPresent();
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 3L);
    }

    /*
     * A VM is gone for good and an empty one takes its place at another address; seconds later one more is lost. The
     * group must go on with the two that are left.
     */
    @Example
    void anEmptyNewcomerTakesThePlaceOfTheOneThatIsGoneBeforeAnotherIsLost() {
        formThree();
        down.add(address(3));
        pass(1_000);
        add(4, 4, MembershipPolicy.JOIN_ONLY);
        pass(4_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 4L);
        down.add(leader().orElseThrow().self);
        pass(4_000);
        assertThat(commits()).isTrue();
    }

    /*
     * A VM is replaced as planned: the new one comes first, then the old one goes. Four voters with one dead one would
     * not bear another loss.
     */
    @Example
    void aPlannedReplacementLeavesNoDeadVoterBehind() {
        formThree();
        add(4, 4, MembershipPolicy.JOIN_ONLY);
        pass(3_000);
        assertThat(voters()).hasSize(4);
        down.add(address(2));
        pass(6_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 3L, 4L);
    }

    @Example
    void aVoterThatIsDownForAWhileKeepsItsPlaceInAGroupOfThree() {
        formThree();
        down.add(address(2));
        pass(8_000);
        down.remove(address(2));
        pass(2_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 3L);
    }

    /*
     * What was accepted is gone: two VMs come back with empty disks, find each other and make an empty group.
     */
    @Example
    void emptyDisksThatComeBackMakeNoGroupOfTheirOwn() {
        formThree();
        down.addAll(SEEDS);
        add(1, 11, MembershipPolicy.JOIN_ONLY);
        add(2, 12, MembershipPolicy.JOIN_ONLY);
        pass(10_000);
        assertThat(leader()).isEmpty();
        down.remove(address(3));
        pass(5_000);
        assertThat(leader()).isEmpty();
    }

    /*
     * A disk is lost right after its VM acknowledged something, and comes back empty under the same address. It joins
     * anew under another identity and does not vote as the one it was.
     */
    @Example
    void aWipedVoterComesBackAsANewcomer() {
        formThree();
        down.add(address(3));
        pass(500);
        add(3, 13, MembershipPolicy.JOIN_ONLY);
        pass(5_000);
        assertThat(voters()).containsExactlyInAnyOrder(1L, 2L, 13L);
    }

    @Example
    void allKilledAtOnceComeBackWithTheirMembership() {
        formThree();
        Set<Long> before = voters();
        nodes.values().forEach(node -> node.start(SEEDS, MembershipPolicy.JOIN_ONLY));
        pass(5_000);
        assertThat(leader()).isPresent();
        assertThat(voters()).isEqualTo(before);
        assertThat(commits()).isTrue();
    }

    /*
     * All processes are killed at once, and nothing is served for 0.7 s after they listen again: each waits for a lease
     * to end that it might have forgotten. It ended while their programs started.
     */
    @Example
    void programsThatTookLongerToStartThanALeaseLastsHaveALeaderSoon() {
        formThree();
        long began = now;
        now += Durations.nanos(700);
        nodes.values().forEach(node -> node.start(SEEDS, MembershipPolicy.JOIN_ONLY, began));
        pass(300);
        assertThat(leader()).isPresent();
    }

    /*
     * Two leaders give orders at once: the followers of one that is cut off are killed, start again within a moment and
     * elect another, as they have forgotten what they answered the first.
     */
    @Example
    void followersThatStartAgainElectNobodyBeforeTheLeaseTheyForgotIsOver() {
        formThree();
        Node leads = leader().orElseThrow();
        down.add(leads.self);
        long began = now;
        for (Node node : nodes.values()) {
            if (node != leads) {
                node.start(SEEDS, MembershipPolicy.JOIN_ONLY, began);
            }
        }
        pass(
                1_500,
                () -> assertThat(leads.replica.hasLease(now) && leader().isPresent())
                        .as("two leases")
                        .isFalse());
        assertThat(leader()).isPresent();
    }

    private boolean commits() {
        Node leads = leader().orElseThrow();
        long index =
                leads.replica.propose(now, LogEntry.newBuilder().setNone(true)).orElseThrow();
        pass(1_000);
        return leads.replica.appliedIndex() >= index;
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

    private void pass(long millis) {
        pass(millis, () -> {});
    }

    private void pass(long millis, Runnable afterEachStep) {
        List<Message> onTheWay = new ArrayList<>();
        for (long passed = 0; passed < millis; passed += 5) {
            now += Durations.nanos(5);
            List<Message> arriving = List.copyOf(onTheWay);
            onTheWay.clear();
            for (Message message : arriving) {
                Node to = nodes.get(message.to);
                if (to != null && !down.contains(message.to)) {
                    to.replica.accept(now, message.from, message.body, outbox(to, onTheWay));
                }
            }
            for (Node node : nodes.values()) {
                if (!down.contains(node.self)) {
                    node.replica.tick(now, outbox(node, onTheWay));
                }
            }
            afterEachStep.run();
        }
    }

    private Outbox outbox(Node from, List<Message> onTheWay) {
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
                    onTheWay.add(new Message(
                            Address.STORAGE,
                            from.self,
                            Envelope.newBuilder().setPersisted(done).build()));
                } else {
                    onTheWay.add(new Message(from.self, to, message.build()));
                }
            }

            @Override
            public void sendOnNewConnection(Address to, Envelope.Builder message) {
                send(to, message);
            }
        };
    }
}
