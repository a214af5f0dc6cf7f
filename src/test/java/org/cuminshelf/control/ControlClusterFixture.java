package org.cuminshelf.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.core.Invariants;
import org.cuminshelf.core.RecordingOutbox;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrderSent;
import org.cuminshelf.message.Persist;
import org.cuminshelf.message.Persisted;
import org.cuminshelf.message.QuarantinedRequest;
import org.cuminshelf.message.UsageReport;
import org.cuminshelf.replica.DurableState;
import org.cuminshelf.replica.MembershipPolicy;
import org.cuminshelf.replica.ReplicaSettings;

/** Three control processes that exchange messages without delay, driven in virtual time by the test. */
final class ControlClusterFixture {

    /** Name of the group of the region. */
    static final String REGION_GROUP = "region";

    static final long LEASE_MILLIS = 3_000;
    private static final int PROCESSES = 3;
    private static final long STEP_MILLIS = 10;

    /** An order that was sent to an engine, with its time in nanoseconds. */
    record SentOrder(DirectOrder order, long sentAt) {}

    /** A usage report that a process sent, with its time in nanoseconds. */
    record SentReport(Address holder, UsageReport report, long sentAt) {}

    private record Message(Address from, Address to, Envelope envelope) {}

    private final DutySettings duties;
    private final Map<Address, ControlCore> running = new TreeMap<>();
    private final List<Message> inTransit = new ArrayList<>();
    /** Messages sent to addresses other than those of the running processes. */
    private final List<Message> sentOutside = new ArrayList<>();

    final List<SentReport> reports = new ArrayList<>();
    final List<SentOrder> orders = new ArrayList<>();
    /** Orders sent to sidecars. */
    final List<OrderSent> sidecarOrders = new ArrayList<>();

    long now = Durations.nanos(10_000);

    /** Creates processes for upstreams that announce themselves directly to control. */
    ControlClusterFixture() {
        this(MembershipPolicy.OPEN, DutySettings.NONE);
    }

    /** Creates processes that report usage, with a deadline of 10 s after each window and a duty lease of 3 s. */
    static ControlClusterFixture withUsageReports() {
        return withUsageReports(OptionalDouble.empty());
    }

    /** Creates processes that report usage to a platform with a limit of calls per second. */
    static ControlClusterFixture withUsageReports(OptionalDouble callsPerSecond) {
        return new ControlClusterFixture(
                MembershipPolicy.OPEN, new DutySettings(LEASE_MILLIS, OptionalLong.of(10_000), callsPerSecond));
    }

    private ControlClusterFixture(MembershipPolicy policy, DutySettings duties) {
        this.duties = duties;
        List<Address> seeds = new ArrayList<>();
        for (int number = 1; number <= PROCESSES; number++) {
            seeds.add(Address.of("10.0.0." + number + ":7000"));
        }
        for (int number = 1; number <= PROCESSES; number++) {
            running.put(seeds.get(number - 1), start(number, seeds, policy));
        }
    }

    /** Creates processes with a group for the region {@code r}, whose upstreams have sidecars. */
    static ControlClusterFixture withRegionGroup() {
        return new ControlClusterFixture(MembershipPolicy.FIXED, DutySettings.NONE);
    }

    private ControlCore start(int number, List<Address> seeds, MembershipPolicy policy) {
        Address self = seeds.get(number - 1);
        List<ReplicaSettings> groups = new ArrayList<>();
        groups.add(new ReplicaSettings(ControlSettings.GLOBAL_GROUP, self, seeds, true, policy));
        Map<String, DurableState> durable = new TreeMap<>();
        durable.put(ControlSettings.GLOBAL_GROUP, DurableState.fresh(number));
        if (policy == MembershipPolicy.FIXED) {
            groups.add(new ReplicaSettings(REGION_GROUP, self, seeds, false, policy));
            durable.put(REGION_GROUP, DurableState.fresh(PROCESSES + number));
        }
        ControlSettings settings = policy == MembershipPolicy.FIXED
                ? new ControlSettings("r", groups)
                : new ControlSettings("r", groups, bytes -> Optional.empty(), duties);
        return ControlCore.start(
                settings,
                self,
                number,
                durable,
                now,
                RandomSource.XO_RO_SHI_RO_128_PP.create(number),
                Invariants.throwing());
    }

    /** Returns the process that leads the global group under a lease. */
    Optional<Address> leader() {
        return leader(ControlSettings.GLOBAL_GROUP);
    }

    /** Returns the process that leads a group under a lease. */
    Optional<Address> leader(String group) {
        return running.entrySet().stream()
                .filter(process ->
                        process.getValue().replica(group).orElseThrow().hasLease(now))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    List<Address> processes() {
        return List.copyOf(running.keySet());
    }

    /** Returns the messages sent to an outside address, and discards all messages sent outside. */
    List<Envelope> takeSent(Address to) {
        List<Envelope> taken = sentOutside.stream()
                .filter(message -> message.to.equals(to))
                .map(Message::envelope)
                .toList();
        sentOutside.clear();
        return taken;
    }

    /** Returns the quarantine in the log of each running process. */
    List<Collection<QuarantinedRequest>> persistedQuarantines() {
        return running.values().stream()
                .map(core -> core.durableQuarantine().all())
                .toList();
    }

    /** Stops a process permanently. */
    void kill(Address process) {
        running.remove(process);
    }

    /** Sends a message to all running processes. */
    void sendToAll(Address from, Envelope.Builder message) {
        Envelope envelope = message.setFrom(from.value()).build();
        running.keySet().forEach(process -> inTransit.add(new Message(from, process, envelope)));
    }

    /** Sends a message to one process. */
    void sendTo(Address process, Address from, Envelope.Builder message) {
        inTransit.add(new Message(from, process, message.setFrom(from.value()).build()));
    }

    /** Sends a message to the first running process. */
    void sendToAny(Address from, Envelope.Builder message) {
        Address process = running.keySet().iterator().next();
        inTransit.add(new Message(from, process, message.setFrom(from.value()).build()));
    }

    void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            now += Durations.nanos(STEP_MILLIS);
            deliver();
            running.forEach(this::tick);
        }
    }

    private void deliver() {
        List<Message> delivered = List.copyOf(inTransit);
        inTransit.clear();
        for (Message message : delivered) {
            ControlCore core = running.get(message.to);
            if (core != null) {
                RecordingOutbox out = new RecordingOutbox();
                core.accept(now, message.envelope, out);
                collect(message.to, out);
            }
        }
    }

    private void tick(Address process, ControlCore core) {
        RecordingOutbox out = new RecordingOutbox();
        core.tick(now, out);
        collect(process, out);
    }

    private void collect(Address process, RecordingOutbox out) {
        for (RecordingOutbox.Sent sent : out.takeSent()) {
            Envelope message = sent.message();
            if (message.hasSendDirectOrder()) {
                orders.add(new SentOrder(message.getSendDirectOrder(), now));
            } else if (message.hasSendUsageReport()) {
                reports.add(new SentReport(process, message.getSendUsageReport(), now));
            } else if (message.hasOrderSent()) {
                sidecarOrders.add(message.getOrderSent());
            } else if (message.hasPersist()) {
                confirmPersisted(process, message.getPersist());
            } else {
                Envelope envelope = message.toBuilder().setFrom(process.value()).build();
                inTransit.add(new Message(process, sent.to(), envelope));
                if (!running.containsKey(sent.to())) {
                    sentOutside.add(new Message(process, sent.to(), envelope));
                }
            }
        }
    }

    private void confirmPersisted(Address process, Persist persist) {
        Persisted confirmation = Persisted.newBuilder()
                .setGroup(persist.getGroup())
                .setSequence(persist.getSequence())
                .build();
        Envelope envelope = Envelope.newBuilder()
                .setFrom(Address.STORAGE.value())
                .setPersisted(confirmation)
                .build();
        inTransit.add(new Message(Address.STORAGE, process, envelope));
    }
}
