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
import java.util.OptionalLong;
import java.util.Set;
import org.cuminshelf.backpressure.LeavingUpstreams;
import org.cuminshelf.core.Address;
import org.cuminshelf.core.Core;
import org.cuminshelf.core.DirectoryVersions;
import org.cuminshelf.core.Durations;
import org.cuminshelf.message.EntryLoad;
import org.cuminshelf.message.Role;
import org.cuminshelf.message.Update;
import org.cuminshelf.message.UpstreamBeat;
import org.cuminshelf.message.UpstreamLoad;

/**
 * The upstream instances known to this entry, from the directories of the control processes and from responses.
 *
 * <p>Failures it guards against:
 * <ul>
 *   <li>All control processes restart at once with empty directories. An instance that none of them lists is kept for
 *       {@link #UNLISTED_RETENTION_NANOS}, in which a live one sends several heartbeats.</li>
 *   <li>A delayed heartbeat revives an instance that has ended. Ended instances are remembered for
 *       {@link #ENDED_RETENTION_NANOS} and not added again.</li>
 *   <li>An upstream restarts under its name, and the state of the old instance, such as its cached prompt prefixes, its
 *       speed and its running work, is attributed to the new one. Each instance has its own entry in this table, and
 *       the newest one replaces those before it.</li>
 *   <li>Another upstream takes over the address. It rejects requests for the old instance id, which ends the old
 *       instance here.</li>
 * </ul>
 */
final class UpstreamTable {

    private static final long UNLISTED_RETENTION_NANOS = Durations.nanos(6_000);
    private static final long ENDED_RETENTION_NANOS = Durations.nanos(60_000);
    /** Validity of a load report of another entry; entries report ten times a second. */
    static final long LOAD_RETENTION_NANOS = Durations.nanos(1_000);

    /**
     * The ended instances of one upstream name: all that started up to a time.
     *
     * @param lastStartMillis start of the latest of them, in Unix milliseconds
     * @param endedAtNanos    when this entry learned of its end, in nanoseconds
     */
    private record EndedInstances(long lastStartMillis, long endedAtNanos) {}

    /**
     * The last load report of another entry.
     *
     * @param receivedAtNanos when it was received, in nanoseconds
     * @param instances       the instances that it names
     */
    private record ReportedLoad(long receivedAtNanos, Set<UpstreamInstance> instances) {}

    /** By id, in the order in which they were added, so that decisions are deterministic. */
    private final Map<String, UpstreamInstance> instances = new LinkedHashMap<>();

    private final Map<String, List<UpstreamInstance>> byService = new HashMap<>();
    /** The newest instance of each upstream name. */
    private final Map<String, UpstreamInstance> newestByName = new HashMap<>();

    private final LinkedHashMap<String, EndedInstances> endedByName = new LinkedHashMap<>();
    private final DirectoryVersions directoryVersions = DirectoryVersions.none();
    private final Map<Address, ReportedLoad> loadByEntry = new HashMap<>();
    private final VersionHistory versionHistory = new VersionHistory();
    private final RoleChangeForecast roleChanges = new RoleChangeForecast();
    private final LeavingUpstreams leavingUpstreams;
    private final DecisionLog log;

    UpstreamTable(LeavingUpstreams leavingUpstreams, DecisionLog log) {
        this.leavingUpstreams = leavingUpstreams;
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

    /** Returns when an engine generates that may go on with a stream, see {@link RoleChangeForecast}. */
    OptionalLong millisUntilGenerating(long now, DirectCall call) {
        return roleChanges.millisUntilGenerating(now, call, instancesOf(call.service));
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
        if (!heartbeat.getService().isEmpty()) {
            // Control also tells of upstreams that have ended lately.
            versionHistory.onSeen(now, heartbeat.getService(), heartbeat.getVersion());
        }
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
        Role roleBefore = instance.role;
        boolean wasChanging = instance.roleChanging;
        boolean changed = instance.applyHeartbeat(heartbeat);
        roleChanges.onHeartbeat(now, instance, roleBefore, wasChanging);
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
                    "version",
                    instance.version,
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

    /** Whether a heartbeat is from an instance that has ended or that a newer one of the same name has replaced. */
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
        if (leavingUpstreams.contains(instance.id)) {
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

    /** Marks an instance that announced its shutdown, to this entry or another one; it gets no new work. */
    void markDraining(long now, String id, boolean reportedDirectly, String source) {
        if (leavingUpstreams.add(now, id, reportedDirectly)) {
            instance(id).ifPresent(UpstreamInstance::startDraining);
            log.note("upstream", id, "outcome", "leaving-stated", "source", source);
        }
    }

    /** Removes an instance that has ended; it is not added again. */
    void markEnded(long now, UpstreamInstance instance, String reason) {
        markEnded(now, instance.name, instance.startedAtMillis, reason);
    }

    /** Removes all instances of a name that started up to a time. */
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

    /** Returns the software versions of a service of which an upstream may have served since a time in nanoseconds. */
    Set<String> versionsSince(long sinceNanos, String service) {
        Set<String> versions = versionHistory.since(sinceNanos, service);
        instancesOf(service).forEach(instance -> versions.add(instance.version));
        return versions;
    }

    private void remove(UpstreamInstance instance) {
        instances.remove(instance.id);
        newestByName.remove(instance.name, instance);
        byService.get(instance.service).remove(instance);
    }

    /**
     * Applies another entry's load report. Only instances named in this report or the previous one are visited: with 33
     * entries, visiting all instances took four tenths of the CPU time that an entry spends on decisions.
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

    /** Removes unlisted instances, remembered ends and load reports that are too old. */
    void tick(long now) {
        List<UpstreamInstance> expired = instances.values().stream()
                .filter(instance -> instance.unlistedSinceNanos != Core.NEVER
                        && now - instance.unlistedSinceNanos > UNLISTED_RETENTION_NANOS)
                .toList();
        expired.forEach(this::removeUnlisted);
        Iterator<EndedInstances> oldest = endedByName.values().iterator();
        while (oldest.hasNext() && now - oldest.next().endedAtNanos > ENDED_RETENTION_NANOS) {
            oldest.remove();
        }
        instances.values().forEach(instance -> versionHistory.onSeen(now, instance.service, instance.version));
        versionHistory.forgetBefore(now - ENDED_RETENTION_NANOS);
        loadByEntry.entrySet().removeIf(entry -> {
            boolean outdated = now - entry.getValue().receivedAtNanos > LOAD_RETENTION_NANOS;
            if (outdated) {
                entry.getValue().instances.forEach(instance -> instance.removeLoad(entry.getKey()));
            }
            return outdated;
        });
    }

    /** Removes an instance without heartbeats; unlike an ended one it may be added again. */
    private void removeUnlisted(UpstreamInstance instance) {
        remove(instance);
        log.note("upstream", instance.id, "state", "silent", "service", instance.service);
    }
}
