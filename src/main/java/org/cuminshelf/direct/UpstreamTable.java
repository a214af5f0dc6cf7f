package org.cuminshelf.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.backpressure.LeavingUpstreams;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DirectoryVersions;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;

/**
 * The upstreams that this entry knows.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>All control processes were just killed and know nobody yet. An upstream that none lists any more is kept for
 *       {@link #UNLISTED_RETENTION_NANOS}, in which a living one has announced itself several times.</li>
 *   <li>A delayed announcement of an upstream that is gone arrives late and brings it back. Starts that ended are
 *       remembered for {@link #ENDED_RETENTION_NANOS} and never taken in again.</li>
 *   <li>An upstream starts again under its name, and what it held and how fast it was is believed of the new start:
 *       prompts count on parts that it lost. Each start has a row of its own, and the newest ends those before.</li>
 *   <li>Another upstream has the address. It refuses, its identity being another, and the old one ends here.</li>
 * </ul>
 */
final class UpstreamTable {

    private static final long UNLISTED_RETENTION_NANOS = Durations.nanos(6_000);
    private static final long ENDED_RETENTION_NANOS = Durations.nanos(60_000);
    /** What another entry told counts for as long; it tells ten times a second. */
    private static final long LOAD_RETENTION_NANOS = Durations.nanos(1_000);

    /**
     * Starts of a name that ended.
     *
     * @param lastStartMillis when the last of them started, in Unix milliseconds
     * @param endedAtNanos   when that was told, in nanoseconds
     */
    private record EndedInstances(long lastStartMillis, long endedAtNanos) {}

    /**
     * What another entry told last.
     *
     * @param receivedAtNanos   when, in nanoseconds
     * @param instances the upstreams where it has something under way
     */
    private record ReportedLoad(long receivedAtNanos, Set<UpstreamInstance> instances) {}

    /** In the order in which they became known, so that equal inputs give equal decisions. */
    private final Map<String, UpstreamInstance> instances = new LinkedHashMap<>();

    private final Map<String, List<UpstreamInstance>> byService = new HashMap<>();
    /** The newest start of each name. */
    private final Map<String, UpstreamInstance> newestByName = new HashMap<>();

    private final LinkedHashMap<String, EndedInstances> endedByName = new LinkedHashMap<>();
    private final DirectoryVersions directoryVersions = DirectoryVersions.none();
    private final Map<Address, ReportedLoad> loadByEntry = new HashMap<>();
    private final LeavingUpstreams leavers;
    private final DecisionLog log;

    UpstreamTable(LeavingUpstreams leavers, DecisionLog log) {
        this.leavers = leavers;
        this.log = log;
    }

    Collection<UpstreamInstance> instances() {
        return instances.values();
    }

    List<UpstreamInstance> instancesOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    Optional<UpstreamInstance> instance(String id) {
        return Optional.ofNullable(instances.get(id));
    }

    long directoryIncarnation(Address control) {
        return directoryVersions.incarnation(control);
    }

    long directoryVersion(Address control) {
        return directoryVersions.version(control);
    }

    void onUpdate(long now, Address control, Update update) {
        if (directoryVersions.isStale(control, update)) {
            return;
        }
        directoryVersions.recordUpdate(control, update);
        if (update.getWholeDirectory()) {
            instances.values().forEach(instance -> unlist(now, instance, control));
        }
        update.getUpstreamsList().forEach(heartbeat -> applyHeartbeat(now, control, heartbeat));
    }

    private void applyHeartbeat(long now, Address control, UpstreamBeat heartbeat) {
        if (heartbeat.getDeleted()) {
            Optional.ofNullable(newestByName.get(heartbeat.getName()))
                    .filter(instance -> instance.startedAtMillis <= heartbeat.getBornMs())
                    .ifPresent(instance -> instance.shutdownAnnounced = true);
            markEnded(now, heartbeat.getName(), heartbeat.getBornMs(), "deleted");
            return;
        }
        if (isObsolete(heartbeat)) {
            return;
        }
        UpstreamInstance instance = instances.get(heartbeat.getId());
        if (heartbeat.getLapsed()) {
            if (instance != null) {
                unlist(now, instance, control);
            }
            return;
        }
        boolean known = instance != null;
        if (!known) {
            instance = add(now, heartbeat);
        }
        boolean changed = instance.applyHeartbeat(heartbeat);
        instance.listedBy.add(control);
        instance.unlistedSinceNanos = Core.NEVER;
        if (changed || !known) {
            log.note(
                    "upstream",
                    instance.id,
                    "state",
                    instance.draining ? "leaving" : "serving",
                    "service",
                    instance.service,
                    "role",
                    instance.role,
                    "address",
                    instance.address,
                    "sequence",
                    instance.heartbeatSequence,
                    "told-by",
                    control);
        }
    }

    /** Whether a word is of a start that ended, or that a newer one of the same name followed. */
    private boolean isObsolete(UpstreamBeat heartbeat) {
        EndedInstances ended = endedByName.get(heartbeat.getName());
        UpstreamInstance newest = newestByName.get(heartbeat.getName());
        return ended != null && heartbeat.getBornMs() <= ended.lastStartMillis
                || newest != null && heartbeat.getBornMs() < newest.startedAtMillis;
    }

    private UpstreamInstance add(long now, UpstreamBeat heartbeat) {
        UpstreamInstance previous = newestByName.get(heartbeat.getName());
        if (previous != null) {
            markEnded(now, previous, "it started again");
        }
        UpstreamInstance instance = new UpstreamInstance(now, heartbeat);
        if (leavers.contains(instance.id)) {
            instance.startDraining();
        }
        instances.put(instance.id, instance);
        newestByName.put(instance.name, instance);
        byService.computeIfAbsent(instance.service, key -> new ArrayList<>()).add(instance);
        return instance;
    }

    private static void unlist(long now, UpstreamInstance instance, Address control) {
        instance.listedBy.remove(control);
        if (instance.listedBy.isEmpty() && instance.unlistedSinceNanos == Core.NEVER) {
            instance.unlistedSinceNanos = now;
        }
    }

    /** A start said that it leaves, to this entry or to another one; it gets no new work. */
    void markDraining(long now, String id, boolean reportedDirectly, String source) {
        if (leavers.add(now, id, reportedDirectly)) {
            instance(id).ifPresent(UpstreamInstance::startDraining);
            log.note("upstream", id, "outcome", "leaving-stated", "source", source);
        }
    }

    /** A start ended; it is never taken in again. */
    void markEnded(long now, UpstreamInstance instance, String reason) {
        markEnded(now, instance.name, instance.startedAtMillis, reason);
    }

    /** All starts of a name up to a time ended. */
    private void markEnded(long now, String name, long lastStartMillis, String reason) {
        EndedInstances previous = endedByName.remove(name);
        endedByName.put(
                name,
                new EndedInstances(
                        previous == null ? lastStartMillis : Math.max(lastStartMillis, previous.lastStartMillis), now));
        UpstreamInstance instance = newestByName.get(name);
        if (instance != null && instance.startedAtMillis <= lastStartMillis) {
            instance.draining = true;
            remove(instance);
            log.note("upstream", instance.id, "state", "ended", "reason", reason);
        }
    }

    private void remove(UpstreamInstance instance) {
        instances.remove(instance.id);
        newestByName.remove(instance.name, instance);
        byService.get(instance.service).remove(instance);
    }

    /**
     * Takes what another entry has under way. Only upstreams that it names, or named before, are touched: with all of
     * them looked at, this took four tenths of the processor time of an entry's decisions at 33 entries.
     */
    void applyLoad(long now, Address entry, EntryLoad load) {
        Set<UpstreamInstance> reported = new HashSet<>();
        for (UpstreamLoad upstreamLoad : load.getUpstreamsList()) {
            UpstreamInstance instance = instances.get(upstreamLoad.getId());
            if (instance != null) {
                instance.applyLoad(entry, upstreamLoad, LoadGossip.queuedPrompts(now, upstreamLoad));
                reported.add(instance);
            }
        }
        ReportedLoad previous = loadByEntry.put(entry, new ReportedLoad(now, reported));
        if (previous == null) {
            return;
        }
        for (UpstreamInstance instance : previous.instances) {
            if (!reported.contains(instance)) {
                instance.removeLoad(entry);
            }
        }
    }

    /** Forgets what is too old. */
    void tick(long now) {
        List<UpstreamInstance> silent = instances.values().stream()
                .filter(instance -> instance.unlistedSinceNanos != Core.NEVER
                        && now - instance.unlistedSinceNanos > UNLISTED_RETENTION_NANOS)
                .toList();
        silent.forEach(this::removeSilent);
        Iterator<EndedInstances> oldest = endedByName.values().iterator();
        while (oldest.hasNext() && now - oldest.next().endedAtNanos > ENDED_RETENTION_NANOS) {
            oldest.remove();
        }
        loadByEntry.entrySet().removeIf(entry -> {
            boolean outdated = now - entry.getValue().receivedAtNanos > LOAD_RETENTION_NANOS;
            if (outdated) {
                entry.getValue().instances.forEach(instance -> instance.removeLoad(entry.getKey()));
            }
            return outdated;
        });
    }

    /** It fell silent; unlike a start that ended it may announce itself again. */
    private void removeSilent(UpstreamInstance instance) {
        remove(instance);
        log.note("upstream", instance.id, "state", "silent", "service", instance.service);
    }
}
