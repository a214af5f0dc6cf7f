package org.cuminshelf.trial;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.control.ControlCore;
import org.cuminshelf.control.ControlSettings;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.GroupStatus;
import org.cuminshelf.message.Voter;

/** Injects faults from a seed, at any moment, together or twice. */
final class FaultPlan {

    private static final long MEAN_GAP = Durations.nanos(1_200);
    private static final long LONGEST_OUTAGE = Durations.nanos(8_000);
    private static final long SHORT_OUTAGE = Durations.nanos(50);
    private static final long LONGEST_PAUSE = Durations.nanos(6_000);
    private static final long LONGEST_PARTITION = Durations.nanos(12_000);
    private static final long LONGEST_WEATHER = Durations.nanos(5_000);

    private static final long SHORTEST_SILENCE = Durations.nanos(300);
    private static final long SILENCE_SPREAD = Durations.nanos(1_700);
    private static final int PARTIAL_SILENCE_ONE_IN = 3;

    private final VirtualTime time;
    private final VirtualNetwork network;
    private final VirtualFleet fleet;
    private final UniformRandomProvider random;
    private final List<Fault> kinds;
    private final Map<Fault, Long> injected = new EnumMap<>(Fault.class);
    private boolean stopped;
    private long networkChange;

    FaultPlan(
            VirtualTime time,
            VirtualNetwork network,
            VirtualFleet fleet,
            UniformRandomProvider random,
            List<Fault> kinds) {
        this.time = time;
        this.network = network;
        this.fleet = fleet;
        this.random = random;
        this.kinds = kinds;
        time.after(Durations.nanos(5_000), this::next);
    }

    Map<Fault, Long> injected() {
        return injected;
    }

    /** Injects no more, and brings everything back. */
    void stopAndHeal() {
        stopped = true;
        networkChange++;
        network.heal();
        fleet.all().forEach(VirtualNode::startIfDead);
    }

    private void next() {
        if (stopped) {
            return;
        }
        Fault fault = kinds.get(random.nextInt(kinds.size()));
        if (inject(fault)) {
            injected.merge(fault, 1L, Long::sum);
        }
        time.after((long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP), this::next);
    }

    private boolean inject(Fault fault) {
        VirtualNode node = anyOf(fleet.all());
        return switch (fault) {
            case KILL -> kill(node, random.nextLong(random.nextBoolean() ? LONGEST_OUTAGE : SHORT_OUTAGE));
            case PAUSE -> pause(node, false);
            case SUSPEND -> pause(node, true);
            case PARTITION -> partition();
            case ONE_WAY -> oneWay(node);
            case SILENCE -> silence();
            case WEATHER -> weather();
            case LOSE_DISK -> loseDisk();
            case FAIL_SYNC -> failSync();
            case CRASH_ENGINE -> crashEngine();
            case SILENT_UPSTREAM -> silenceUpstreams();
        };
    }

    private VirtualNode anyOf(List<VirtualNode> nodes) {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private boolean kill(VirtualNode node, long outage) {
        if (!node.isAlive()) {
            return false;
        }
        node.kill();
        time.after(outage, node::startIfDead);
        return true;
    }

    private boolean pause(VirtualNode node, boolean withClock) {
        if (!node.isAlive() || node.isPaused()) {
            return false;
        }
        node.pause(random.nextLong(LONGEST_PAUSE), withClock);
        return true;
    }

    private boolean partition() {
        List<VirtualNode> all = fleet.all();
        List<VirtualNode> left =
                all.stream().filter(node -> random.nextBoolean()).toList();
        for (VirtualNode one : left) {
            for (VirtualNode other : all) {
                if (!left.contains(other)) {
                    network.cut(one.address(), other.address());
                    network.cut(other.address(), one.address());
                }
            }
        }
        healLater(random.nextLong(LONGEST_PARTITION));
        return true;
    }

    private boolean oneWay(VirtualNode node) {
        boolean outward = random.nextBoolean();
        for (VirtualNode other : fleet.all()) {
            if (outward) {
                network.cut(node.address(), other.address());
            } else {
                network.cut(other.address(), node.address());
            }
        }
        healLater(random.nextLong(LONGEST_PARTITION));
        return true;
    }

    private void healLater(long delay) {
        long change = ++networkChange;
        time.after(delay, () -> {
            if (change == networkChange) {
                network.heal();
            }
        });
    }

    private boolean silence() {
        for (int i = 0; i < 4; i++) {
            network.silence(anyOf(fleet.all()).address(), anyOf(fleet.all()).address());
        }
        return true;
    }

    private boolean weather() {
        network.weather(random.nextDouble() * 0.1, random.nextDouble() * 0.3, random.nextDouble() * 0.1);
        healLater(random.nextLong(LONGEST_WEATHER));
        return true;
    }

    /**
     * A second disk is lost only when the group has taken the first replacement in as a voter: losing a majority of
     * disks at once loses what was on them, whatever the system does.
     */
    private boolean loseDisk() {
        VirtualNode node = anyOf(fleet.control);
        boolean allAlive = fleet.control.stream().allMatch(VirtualNode::isAlive);
        if (!allAlive || !isRepaired(ControlSettings.GLOBAL_GROUP) || !isRepaired("region")) {
            return false;
        }
        VirtualDisk disk = fleet.disks.get(node.address());
        node.kill();
        disk.lose();
        time.after(random.nextLong(LONGEST_OUTAGE), node::startIfDead);
        return true;
    }

    private boolean isRepaired(String group) {
        return fleet.control.stream()
                .flatMap(node -> node.core(ControlCore.class).stream())
                .map(core -> core.replica(group).orElseThrow().status())
                .filter(status -> status.getRole().equals("LEADER"))
                .anyMatch(status -> hasAllDisks(group, status));
    }

    /** Whether the voters are the disks that are there now, each holding all that is committed. */
    private boolean hasAllDisks(String group, GroupStatus status) {
        Set<Long> present =
                fleet.disks.values().stream().map(disk -> disk.identity(group)).collect(Collectors.toSet());
        Set<Long> voters = status.getVotersList().stream()
                .filter(voter -> !voter.getLearner())
                .map(Voter::getIdentity)
                .collect(Collectors.toSet());
        return voters.equals(present) && status.getCommit() == status.getLastIndex();
    }

    private boolean failSync() {
        VirtualNode node = anyOf(fleet.control);
        if (!node.isAlive()) {
            return false;
        }
        fleet.disks.get(node.address()).failNextSync();
        return true;
    }

    private boolean crashEngine() {
        List<Address> addresses = fleet.engineAddresses();
        fleet.engines.get(addresses.get(random.nextInt(addresses.size()))).crash(random.nextLong(LONGEST_OUTAGE));
        return true;
    }

    /** Silences one upstream of a kind, or several, or all. */
    private boolean silenceUpstreams() {
        List<UpstreamLink> links = random.nextBoolean() ? fleet.engineLinks() : fleet.serviceLinks();
        int first = random.nextInt(links.size());
        int count = 1 + random.nextInt(links.size());
        long duration = SHORTEST_SILENCE + random.nextLong(SILENCE_SPREAD);
        boolean someAttempts = random.nextInt(PARTIAL_SILENCE_ONE_IN) == 0;
        for (int number = 0; number < count; number++) {
            links.get((first + number) % links.size()).fallSilent(duration, someAttempts);
        }
        return true;
    }
}
