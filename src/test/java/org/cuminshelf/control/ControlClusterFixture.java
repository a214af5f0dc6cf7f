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

/** Three control processes that pass messages to each other at once, driven by hand in virtual time. */
final class ControlClusterFixture {

    /** Name of the region's group. */
    static final String REGION = "region";

    static final long LEASE_MILLIS = 3_000;
    private static final int PROCESSES = 3;
    private static final long STEP_MILLIS = 10;

    /** An order that was sent to an engine, and when. */
    record SentOrder(DirectOrder order, long at) {}

    /** A report of usage that a process was to send, and when. */
    record SentReport(Address holder, UsageReport report, long at) {}

    private record Message(Address from, Address to, Envelope body) {}

    private final DutySettings duties;
    private final Map<Address, ControlCore> running = new TreeMap<>();
    private final List<Message> underWay = new ArrayList<>();
    /** What was sent to others than these processes. */
    private final List<Message> sentOut = new ArrayList<>();

    final List<SentReport> reports = new ArrayList<>();
    final List<SentOrder> orders = new ArrayList<>();
    /** Orders that were sent to sidecars. */
    final List<OrderSent> sidecarOrders = new ArrayList<>();

    long now = Durations.nanos(10_000);

    /** Processes for upstreams that announce themselves straight to control. */
    ControlClusterFixture() {
        this(MembershipPolicy.OPEN, DutySettings.NONE);
    }

    /** Processes one of which reports usage, due 10 s after each window; holders may take turns after 3 s. */
    static ControlClusterFixture withUsage() {
        return withUsage(OptionalDouble.empty());
    }

    /** The same, with a platform that takes so many calls a second. */
    static ControlClusterFixture withUsage(OptionalDouble callsPerSecond) {
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

    /** Processes with a group for the region {@code r}, whose upstreams have sidecars. */
    static ControlClusterFixture withRegion() {
        return new ControlClusterFixture(MembershipPolicy.FIXED, DutySettings.NONE);
    }

    private ControlCore start(int number, List<Address> seeds, MembershipPolicy policy) {
        Address self = seeds.get(number - 1);
        List<ReplicaSettings> groups = new ArrayList<>();
        groups.add(new ReplicaSettings(ControlSettings.GLOBAL_GROUP, self, seeds, true, policy));
        Map<String, DurableState> durable = new TreeMap<>();
        durable.put(ControlSettings.GLOBAL_GROUP, DurableState.fresh(number));
        if (policy == MembershipPolicy.FIXED) {
            groups.add(new ReplicaSettings(REGION, self, seeds, false, policy));
            durable.put(REGION, DurableState.fresh(PROCESSES + number));
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

    /** The process that leads the global group under a lease. */
    Optional<Address> leader() {
        return leader(ControlSettings.GLOBAL_GROUP);
    }

    /** The process that leads a group under a lease. */
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

    /** Takes what was sent to somebody outside since the last question. */
    List<Envelope> takeSent(Address to) {
        List<Envelope> taken = sentOut.stream()
                .filter(message -> message.to.equals(to))
                .map(Message::body)
                .toList();
        sentOut.clear();
        return taken;
    }

    /** The quarantine as each process has it from the log. */
    List<Collection<QuarantinedRequest>> quarantineWrittenDown() {
        return running.values().stream()
                .map(core -> core.durableQuarantine().all())
                .toList();
    }

    /** Ends a process for good. */
    void kill(Address process) {
        running.remove(process);
    }

    /** Gives a message to all processes that run. */
    void giveAll(Address from, Envelope.Builder message) {
        Envelope body = message.setFrom(from.value()).build();
        running.keySet().forEach(process -> underWay.add(new Message(from, process, body)));
    }

    /** Gives a message to one process. */
    void give(Address process, Address from, Envelope.Builder message) {
        underWay.add(new Message(from, process, message.setFrom(from.value()).build()));
    }

    /** Gives a message to one of the processes that run. */
    void giveOne(Address from, Envelope.Builder message) {
        Address process = running.keySet().iterator().next();
        underWay.add(new Message(from, process, message.setFrom(from.value()).build()));
    }

    void pass(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            now += Durations.nanos(STEP_MILLIS);
            deliver();
            running.forEach(this::tick);
        }
    }

    private void deliver() {
        List<Message> due = List.copyOf(underWay);
        underWay.clear();
        for (Message message : due) {
            ControlCore core = running.get(message.to);
            if (core != null) {
                RecordingOutbox out = new RecordingOutbox();
                core.accept(now, message.body, out);
                take(message.to, out);
            }
        }
    }

    private void tick(Address process, ControlCore core) {
        RecordingOutbox out = new RecordingOutbox();
        core.tick(now, out);
        take(process, out);
    }

    private void take(Address process, RecordingOutbox out) {
        for (RecordingOutbox.Sent sent : out.takeSent()) {
            Envelope message = sent.message();
            if (message.hasSendDirectOrder()) {
                orders.add(new SentOrder(message.getSendDirectOrder(), now));
            } else if (message.hasSendUsageReport()) {
                reports.add(new SentReport(process, message.getSendUsageReport(), now));
            } else if (message.hasOrderSent()) {
                sidecarOrders.add(message.getOrderSent());
            } else if (message.hasPersist()) {
                persisted(process, message.getPersist());
            } else {
                Envelope body = message.toBuilder().setFrom(process.value()).build();
                underWay.add(new Message(process, sent.to(), body));
                if (!running.containsKey(sent.to())) {
                    sentOut.add(new Message(process, sent.to(), body));
                }
            }
        }
    }

    private void persisted(Address process, Persist persist) {
        Persisted done = Persisted.newBuilder()
                .setGroup(persist.getGroup())
                .setSequence(persist.getSequence())
                .build();
        Envelope body = Envelope.newBuilder()
                .setFrom(Address.STORAGE.value())
                .setPersisted(done)
                .build();
        underWay.add(new Message(Address.STORAGE, process, body));
    }
}
