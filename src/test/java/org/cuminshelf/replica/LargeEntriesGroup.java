package org.cuminshelf.replica;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.Outbox;
import org.cuminshelf.message.ConfigApply;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.LogEntry;
import org.cuminshelf.message.Persist;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.storage.GroupLog;
import org.cuminshelf.storage.MemoryLogDevice;

/**
 * Three replicas whose state is the newest of many documents, with logs on simulated disks, in virtual time. A member
 * can stand still, and then finds what was sent to it meanwhile; it can be killed, and then starts from its disk.
 */
final class LargeEntriesGroup {

    private static final int MEMBERS = 3;
    private static final long STEP_MILLIS = 10;

    private record Message(Address from, Address to, Envelope body, long dueAt) {}

    /** Keeps the newest document and its number. */
    private static final class NewestDocument implements ReplicatedStateMachine {
        private ConfigApply newest = ConfigApply.getDefaultInstance();

        @Override
        public void apply(LogEntry entry) {
            if (entry.hasConfig()) {
                newest = entry.getConfig();
            }
        }

        @Override
        public ByteString save() {
            return newest.toByteString();
        }

        @Override
        public void load(ByteString state) {
            try {
                newest = ConfigApply.parseFrom(state);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** A member with its disk. */
    private final class Node {
        private final Address self;
        private final long identity;
        private final MembershipPolicy policy;
        private final List<Address> seeds;
        private final MemoryLogDevice disk = new MemoryLogDevice();
        private final List<Message> arrived = new ArrayList<>();
        private NewestDocument state;
        private GroupLog log;
        private Replica replica;
        private int incarnation;
        private boolean isDown;
        private long standsStillUntil;
        private long delayNanos;
        private int snapshots;

        private Node(int number, MembershipPolicy policy, List<Address> seeds) {
            this.self = address(number);
            this.identity = number;
            this.policy = policy;
            this.seeds = seeds;
            start();
        }

        private void start() {
            incarnation++;
            isDown = false;
            state = new NewestDocument();
            arrived.clear();
            try {
                log = GroupLog.open(disk, self.value(), identity);
                replica = Replica.start(
                        new ReplicaSettings("g", self, seeds, true, policy),
                        log.recovered(),
                        state,
                        now,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(identity + 100L * incarnation),
                        Invariants.throwing());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private boolean runs() {
            return !isDown && now >= standsStillUntil;
        }

        private void step() {
            List<Message> delivered = List.copyOf(arrived);
            arrived.clear();
            Outbox out = outbox(this);
            delivered.forEach(message -> replica.accept(now, message.from, message.body, out));
            replica.tick(now, out);
        }
    }

    private final Map<Address, Node> nodes = new TreeMap<>();
    private final Map<Address, Long> bytesTo = new TreeMap<>();
    private List<Message> inFlight = new ArrayList<>();
    private long now = Durations.nanos(10_000);
    private long peakHeldBytes;

    LargeEntriesGroup() {
        for (int number = 1; number <= MEMBERS; number++) {
            add(number, MembershipPolicy.OPEN, List.of(address(1), address(2), address(3)));
        }
        advance(5_000);
    }

    private static Address address(int number) {
        return Address.of("10.0.0." + number + ":7000");
    }

    private void add(int number, MembershipPolicy policy, List<Address> seeds) {
        Node node = new Node(number, policy, seeds);
        nodes.put(node.self, node);
    }

    /** Adds a member with an empty disk at a new address, which knows those that run now. */
    Address addEmpty(int number) {
        add(number, MembershipPolicy.JOIN_ONLY, members());
        return address(number);
    }

    List<Address> members() {
        return nodes.values().stream()
                .filter(node -> !node.isDown)
                .map(node -> node.self)
                .toList();
    }

    Optional<Address> leader() {
        return nodes.values().stream()
                .filter(node -> node.runs() && node.replica.hasLease(now))
                .map(node -> node.self)
                .findFirst();
    }

    void kill(Address member) {
        nodes.get(member).isDown = true;
    }

    void start(Address member) {
        nodes.get(member).start();
    }

    void standStill(Address member, long millis) {
        nodes.get(member).standsStillUntil = now + Durations.nanos(millis);
    }

    /** Sends a document to the leader, and returns whether it was committed within the given time. */
    boolean change(long number, int bytes, long withinMillis) {
        long end = now + Durations.nanos(withinMillis);
        ByteString document = ByteString.copyFrom(new byte[bytes]);
        while (now < end) {
            Optional<Node> leader = leader().map(nodes::get);
            ConfigApply change = ConfigApply.newBuilder()
                    .setDeclaredVersion(number)
                    .setConfig(document)
                    .build();
            Optional<Long> index = leader.flatMap(
                    node -> node.replica.propose(now, LogEntry.newBuilder().setConfig(change)));
            if (index.isEmpty()) {
                advance(STEP_MILLIS);
                continue;
            }
            Replica replica = leader.get().replica;
            long term = replica.term();
            while (now < end && replica.term() == term && replica.appliedIndex() < index.get()) {
                advance(STEP_MILLIS);
            }
            if (replica.term() == term && replica.appliedIndex() >= index.get()) {
                return true;
            }
        }
        return false;
    }

    /** The number of the newest document of a member. */
    long newest(Address member) {
        return nodes.get(member).state.newest.getDeclaredVersion();
    }

    /** The longest log and its replacement together that a member had on its disk since this was last called. */
    long takePeakDiskBytes() {
        return nodes.values().stream()
                .mapToLong(node -> node.disk.takePeakBytes())
                .max()
                .orElse(0);
    }

    /** The most bytes of entries and snapshot that a member held in memory since this was last called. */
    long takePeakHeldBytes() {
        long peak = peakHeldBytes;
        peakHeldBytes = 0;
        return peak;
    }

    /** Returns how many bytes were sent to a member since this was last called. */
    long takeBytesTo(Address member) {
        return Optional.ofNullable(bytesTo.remove(member)).orElse(0L);
    }

    /** Delays messages to a member from now on. */
    void delayMessagesTo(Address member, long millis) {
        nodes.get(member).delayNanos = Durations.nanos(millis);
    }

    /** Returns how many snapshots were sent to a member since this was last called. */
    int takeSnapshotsTo(Address member) {
        int sent = nodes.get(member).snapshots;
        nodes.get(member).snapshots = 0;
        return sent;
    }

    void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            now += Durations.nanos(STEP_MILLIS);
            List<Message> delivered = inFlight;
            inFlight = new ArrayList<>();
            for (Message message : delivered) {
                Node to = nodes.get(message.to);
                if (message.dueAt > now) {
                    inFlight.add(message);
                } else if (to != null && !to.isDown) {
                    to.arrived.add(message);
                }
            }
            nodes.values().stream().filter(Node::runs).forEach(Node::step);
            nodes.values().forEach(node -> peakHeldBytes = Math.max(peakHeldBytes, node.replica.heldLogBytes()));
        }
    }

    private Outbox outbox(Node from) {
        return new Outbox() {
            @Override
            public void send(Address to, Envelope.Builder message) {
                if (message.hasPersist()) {
                    persist(from, message.getPersist());
                    return;
                }
                Envelope body = message.build();
                bytesTo.merge(to, (long) body.getSerializedSize(), Long::sum);
                Optional<Node> receiver = Optional.ofNullable(nodes.get(to));
                receiver.filter(node -> body.hasSnapshotPart()).ifPresent(node -> node.snapshots++);
                long delay = receiver.map(node -> node.delayNanos).orElse(0L);
                inFlight.add(new Message(from.self, to, body, now + delay));
            }

            @Override
            public void sendOnNewConnection(Address to, Envelope.Builder message) {
                send(to, message);
            }
        };
    }

    private void persist(Node node, Persist persist) {
        try {
            node.log.write(persist.getRecordsList());
            node.log.sync();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Persisted done = Persisted.newBuilder()
                .setGroup("g")
                .setSequence(persist.getSequence())
                .build();
        inFlight.add(new Message(
                Address.STORAGE,
                node.self,
                Envelope.newBuilder().setPersisted(done).build(),
                now));
    }
}
