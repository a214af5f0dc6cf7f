package org.cuminshelf.trial;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.Envelope;

/**
 * The network between virtual processes: delays, loss with a broken connection, duplicates, partitions, and connections
 * that go silent.
 *
 * <p>It keeps what TCP keeps: what was sent to one incarnation of a process never reaches the next.
 */
final class VirtualNetwork {

    private static final long SHORTEST_DELAY = Durations.nanos(1) / 10;
    private static final long USUAL_SPREAD = Durations.nanos(1);
    private static final long LONG_SPREAD = Durations.nanos(1_500);
    /** Some messages come when their sender has long lost its authority. */
    private static final long VERY_LATE_SPREAD = Durations.nanos(12_000);

    private static final int VERY_LATE_ONE_IN = 10;
    private static final long SILENCE_FOUND_AFTER = Durations.nanos(3_500);

    private record Path(Address from, Address to) {}

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Map<Address, VirtualNode> nodes = new TreeMap<>();
    private final Set<Path> cut = new HashSet<>();
    private final Map<Path, Long> silentUntil = new HashMap<>();
    private double loss;
    private double slow;
    private double duplicate;
    private long messages;

    VirtualNetwork(VirtualTime time, UniformRandomProvider random) {
        this.time = time;
        this.random = random;
    }

    void add(VirtualNode node) {
        nodes.put(node.address(), node);
    }

    long messages() {
        return messages;
    }

    /** Sets the shares of messages that are lost, slow and duplicated. */
    void weather(double lostShare, double slowShare, double duplicateShare) {
        loss = lostShare;
        slow = slowShare;
        duplicate = duplicateShare;
    }

    void cut(Address from, Address to) {
        cut.add(new Path(from, to));
    }

    /** Ends the cut of one direction between two processes. */
    void restore(Address from, Address to) {
        cut.remove(new Path(from, to));
    }

    void heal() {
        cut.clear();
        silentUntil.clear();
        weather(0, 0, 0);
    }

    /** Makes the connection between two processes silent until a new one is opened or heartbeats find it out. */
    void silence(Address from, Address to) {
        silentUntil.put(new Path(from, to), time.now() + SILENCE_FOUND_AFTER);
    }

    void send(Address from, Address to, Envelope message, boolean fresh) {
        messages++;
        Path path = new Path(from, to);
        if (fresh) {
            silentUntil.remove(path);
        }
        VirtualNode target = nodes.get(to);
        boolean silent = silentUntil.getOrDefault(path, 0L) > time.now();
        if (target == null || silent || cut.contains(path) || random.nextDouble() < loss) {
            return;
        }
        long incarnation = target.incarnation();
        time.after(delay(), () -> arrive(path, target, incarnation, message));
        if (random.nextDouble() < duplicate) {
            time.after(delay(), () -> arrive(path, target, incarnation, message));
        }
    }

    private void arrive(Path path, VirtualNode target, long incarnation, Envelope message) {
        if (!cut.contains(path) && target.incarnation() == incarnation) {
            target.deliver(message);
        }
    }

    private long delay() {
        boolean isSlow = random.nextDouble() < slow;
        boolean isVeryLate = isSlow && random.nextInt(VERY_LATE_ONE_IN) == 0;
        long spread = isVeryLate ? VERY_LATE_SPREAD : isSlow ? LONG_SPREAD : USUAL_SPREAD;
        return SHORTEST_DELAY + random.nextLong(spread);
    }
}
